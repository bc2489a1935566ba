#include "domainqueue.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

std::size_t countBelow(const std::vector<std::size_t> &sorted, std::size_t index)
{
    return static_cast<std::size_t>(std::lower_bound(sorted.begin(), sorted.end(), index) - sorted.begin());
}

} // namespace

DomainQueue::DomainQueue(const DomainLoad &load, const CallTimes &times)
    : m_load(load)
    , m_forecast(load.slots, times)
{
}

const DomainLoad &DomainQueue::load() const
{
    return m_load;
}

void DomainQueue::addOwn(std::size_t index)
{
    m_own.push_back(index);
}

std::optional<Duration> DomainQueue::finishOfOwn(std::size_t index)
{
    return m_forecast.finish(countBelow(m_own, index) - countBelow(m_left, index), length());
}

std::optional<Duration> DomainQueue::finishOfNext()
{
    return m_forecast.finish(length(), length() + 1);
}

void DomainQueue::removeOwn(std::size_t index)
{
    m_left.insert(std::lower_bound(m_left.begin(), m_left.end(), index), index);
}

void DomainQueue::takeIn()
{
    ++m_takenIn;
}

std::size_t DomainQueue::length() const
{
    return m_own.size() - m_left.size() + m_takenIn;
}

} // namespace CassiaRelay::Gateway
