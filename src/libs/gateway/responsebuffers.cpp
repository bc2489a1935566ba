#include "responsebuffers.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::size_t SHORT_RESPONSE_BYTES = 16U * 1024; // one read from a connection; is let through even when no memory is left

} // namespace

ResponseBuffers::ResponseBuffers(std::size_t limit)
    : m_limit(limit)
{
}

std::size_t ResponseBuffers::bytes() const
{
    return m_bytes;
}

bool ResponseBuffers::mayHold(std::size_t bytes) const
{
    return bytes <= SHORT_RESPONSE_BYTES || bytes + m_bytes <= m_limit;
}

ResponseBuffer::ResponseBuffer(ResponseBuffers &all)
    : m_all(all)
{
}

ResponseBuffer::~ResponseBuffer()
{
    m_all.m_bytes -= m_bytes;
}

bool ResponseBuffer::setBytes(std::size_t bytes)
{
    m_all.m_bytes = m_all.m_bytes - m_bytes + bytes;
    m_bytes = bytes;
    return m_all.mayHold(bytes);
}

} // namespace CassiaRelay::Gateway
