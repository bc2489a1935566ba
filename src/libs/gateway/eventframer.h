#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace CassiaRelay::Gateway {

/** Cuts a stream of bytes into whole events, so that a caller never gets a part of one. */
class EventFramer
{
public:
    /** Whole events that became complete with these bytes; empty when none did. */
    std::string add(std::string_view bytes);
    /** Drops the incomplete rest, which another run will send again. */
    void discardPartialEvent();
    bool hasPartialEvent() const;
    std::size_t partialEventBytes() const;
    /** Id of the last whole event. */
    const std::optional<std::string> &lastEventId() const;

private:
    void updateLastEventId(std::string_view events);

    std::string m_partialEvent;
    std::size_t m_scannedBytes = 0; ///< bytes of the rest that hold no end of an event
    std::optional<std::string> m_lastEventId;
};

} // namespace CassiaRelay::Gateway
