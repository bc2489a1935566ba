#include "eventframer.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::string_view ID_FIELD = "id:";

// Position after the last blank line, or 0.
std::size_t endOfLastEvent(std::string_view text, std::size_t from)
{
    const std::size_t start = from < 3 ? 0 : from - 3;
    std::size_t end = 0;
    const std::size_t plain = text.rfind("\n\n");
    if (plain != std::string_view::npos && plain >= start) {
        end = plain + 2;
    }
    const std::size_t carriage = text.rfind("\r\n\r\n");
    if (carriage != std::string_view::npos && carriage >= start && carriage + 4 > end) {
        end = carriage + 4;
    }
    return end;
}

std::string_view withoutBlanks(std::string_view value)
{
    const std::size_t first = value.find_first_not_of(' ');
    const std::size_t last = value.find_last_not_of("\r ");
    return first == std::string_view::npos ? std::string_view() : value.substr(first, last - first + 1);
}

} // namespace

std::string EventFramer::add(std::string_view bytes)
{
    m_rest.append(bytes);
    const std::size_t end = endOfLastEvent(m_rest, m_searched);
    m_searched = m_rest.size();
    if (end == 0) {
        return {};
    }
    std::string events = m_rest.substr(0, end);
    m_rest.erase(0, end);
    m_searched = m_rest.size();
    noteEvents(events);
    return events;
}

void EventFramer::discardRest()
{
    m_rest.clear();
    m_searched = 0;
}

bool EventFramer::hasRest() const
{
    return !m_rest.empty();
}

std::size_t EventFramer::restBytes() const
{
    return m_rest.size();
}

const std::optional<std::string> &EventFramer::lastEventId() const
{
    return m_lastEventId;
}

void EventFramer::noteEvents(std::string_view events)
{
    std::size_t start = 0;
    while (start < events.size()) {
        const std::size_t end = std::min(events.find('\n', start), events.size());
        const std::string_view line = events.substr(start, end - start);
        if (line.substr(0, ID_FIELD.size()) == ID_FIELD) {
            m_lastEventId = std::string(withoutBlanks(line.substr(ID_FIELD.size())));
        }
        start = end + 1;
    }
}

} // namespace CassiaRelay::Gateway
