#include "eventframer.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::string_view ID_FIELD = "id:";

// Position after the last blank line; 0 when there is none. Searches from shortly before the given position, because a blank line may
// have begun in bytes that were searched earlier.
std::size_t endOfLastEvent(std::string_view text, std::size_t from)
{
    const std::size_t start = from < 3 ? 0 : from - 3;
    std::size_t end = 0;
    const std::size_t lfBlankLine = text.rfind("\n\n");
    if (lfBlankLine != std::string_view::npos && lfBlankLine >= start) {
        end = lfBlankLine + 2;
    }
    const std::size_t crlfBlankLine = text.rfind("\r\n\r\n");
    if (crlfBlankLine != std::string_view::npos && crlfBlankLine >= start && crlfBlankLine + 4 > end) {
        end = crlfBlankLine + 4;
    }
    return end;
}

std::string_view trimmed(std::string_view value)
{
    const std::size_t first = value.find_first_not_of(' ');
    const std::size_t last = value.find_last_not_of("\r ");
    return first == std::string_view::npos ? std::string_view() : value.substr(first, last - first + 1);
}

} // namespace

std::string EventFramer::add(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    const std::size_t end = endOfLastEvent(m_partialEvent, m_scannedBytes);
    m_scannedBytes = m_partialEvent.size();
    if (end == 0) {
        return {};
    }
    std::string events = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    m_scannedBytes = m_partialEvent.size();
    updateLastEventId(events);
    return events;
}

void EventFramer::discardPartialEvent()
{
    m_partialEvent.clear();
    m_scannedBytes = 0;
}

bool EventFramer::hasPartialEvent() const
{
    return !m_partialEvent.empty();
}

std::size_t EventFramer::partialEventBytes() const
{
    return m_partialEvent.size();
}

const std::optional<std::string> &EventFramer::lastEventId() const
{
    return m_lastEventId;
}

void EventFramer::updateLastEventId(std::string_view events)
{
    std::size_t start = 0;
    while (start < events.size()) {
        const std::size_t end = std::min(events.find('\n', start), events.size());
        const std::string_view line = events.substr(start, end - start);
        if (line.substr(0, ID_FIELD.size()) == ID_FIELD) {
            m_lastEventId = std::string(trimmed(line.substr(ID_FIELD.size())));
        }
        start = end + 1;
    }
}

} // namespace CassiaRelay::Gateway
