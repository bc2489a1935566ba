#pragma once

#include <cstddef>
#include <cstdint>
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
    /**
     * Another response goes on with the stream: discards the partial event at the end, which is sent again. The next event must follow the
     * last one.
     */
    void beginContinuation();
    /** Whether no event of the response that goes on has come yet. */
    bool awaitsContinuation() const;
    /** Whether the events of the response that goes on do not follow the last event; they are not returned by add(). */
    bool isOutOfOrder() const;
    bool hasPartialEvent() const;
    std::size_t partialEventBytes() const;
    /** Id of the last complete event that has one. */
    const std::optional<std::string> &lastEventId() const;

private:
    bool follow(std::string_view events) const;
    void updateLastEventId(std::string_view events);

    std::string m_partialEvent;
    std::size_t m_scannedBytes = 0; ///< bytes of the partial event that were searched for its end
    std::optional<std::string> m_lastEventId;
    std::uint64_t m_largestStep = 1; ///< between the numbers of successive events
    bool m_awaitsContinuation = false;
    bool m_isOutOfOrder = false;
};

} // namespace CassiaRelay::Gateway
