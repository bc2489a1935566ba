#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace CassiaRelay::Gateway {

/** Splits a byte stream into complete server-sent events, so that a caller never receives part of an event. */
class EventFramer
{
public:
    /** Appends bytes. @return the events that are complete now; empty when there are none */
    std::string add(std::string_view bytes);
    /** Discards the partial event at the end; another run of the request sends it again. */
    void discardPartialEvent();
    bool hasPartialEvent() const;
    std::size_t partialEventBytes() const;
    /** Id of the last complete event that has one. */
    const std::optional<std::string> &lastEventId() const;

private:
    void updateLastEventId(std::string_view events);

    std::string m_partialEvent;
    std::size_t m_scannedBytes = 0; ///< bytes of the partial event that were searched for its end
    std::optional<std::string> m_lastEventId;
};

} // namespace CassiaRelay::Gateway
