#pragma once

#include <cstddef>

namespace CassiaRelay::Gateway {

/**
 * Memory that responses take while they are buffered, of all requests of a daemon together.
 *
 * A response may grow while it is shorter than the memory that is left. So the longest ones are cut off when memory gets short, and
 * short responses always find room, however many others grow without end.
 */
class ResponseBuffers
{
public:
    explicit ResponseBuffers(std::size_t limit = DEFAULT_LIMIT);

    std::size_t bytes() const;
    bool mayHold(std::size_t bytes) const;

    static constexpr std::size_t DEFAULT_LIMIT = 32U * 1024 * 1024;

private:
    friend class ResponseBuffer;

    std::size_t m_limit;
    std::size_t m_bytes = 0;
};

/** What one request takes of the memory. */
class ResponseBuffer
{
public:
    explicit ResponseBuffer(ResponseBuffers &all);
    ~ResponseBuffer();
    ResponseBuffer(const ResponseBuffer &) = delete;
    ResponseBuffer &operator=(const ResponseBuffer &) = delete;

    /** Returns false if the response is too long for the memory that is left; its bytes count until they are dropped. */
    bool setBytes(std::size_t bytes);

private:
    ResponseBuffers &m_all;
    std::size_t m_bytes = 0;
};

} // namespace CassiaRelay::Gateway
