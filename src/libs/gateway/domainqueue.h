#pragma once

#include "spilloverpolicy.h"

namespace CassiaRelay::Gateway {

/** Queue of one failure domain: its own pieces, those that left it, and those of other domains that it takes in behind them. */
class DomainQueue
{
public:
    DomainQueue(const DomainLoad &load, const CallTimes &times);

    const DomainLoad &load() const;
    /** Appends a piece of the domain's own work. @param index larger than that of each earlier piece */
    void addOwn(std::size_t index);
    /** Returns the expected time until this piece of the domain finishes there; no value if the domain can't run it. */
    std::optional<Duration> finishOfOwn(std::size_t index);
    /** Returns the expected time until one more piece would finish; no value if the domain can't run it. */
    std::optional<Duration> finishOfNext();
    void removeOwn(std::size_t index);
    void takeIn();

private:
    std::size_t length() const;

    const DomainLoad &m_load;
    CallForecast m_forecast;
    std::vector<std::size_t> m_own;  ///< indices of its pieces, in ascending order
    std::vector<std::size_t> m_left; ///< indices of the pieces that left, in ascending order
    std::size_t m_takenIn = 0;
};

} // namespace CassiaRelay::Gateway
