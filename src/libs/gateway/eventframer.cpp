#include "eventframer.h"

#include <algorithm>
#include <charconv>
#include <utility>

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

// Returns the value of the first id field at or after the position, and moves the position behind it; no value if there is none.
std::optional<std::string_view> nextId(std::string_view events, std::size_t &position)
{
    while (position < events.size()) {
        const std::size_t end = std::min(events.find('\n', position), events.size());
        const std::string_view line = events.substr(position, end - position);
        position = end + 1;
        if (line.substr(0, ID_FIELD.size()) == ID_FIELD) {
            return trimmed(line.substr(ID_FIELD.size()));
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> numberOf(std::string_view id)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    return error == std::errc() && end == id.data() + id.size() ? std::optional(number) : std::nullopt;
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
    if (std::exchange(m_awaitsContinuation, false) && !follow(events)) {
        m_isOutOfOrder = true;
        return {};
    }
    updateLastEventId(events);
    return events;
}

void EventFramer::beginContinuation()
{
    m_partialEvent.clear();
    m_scannedBytes = 0;
    m_awaitsContinuation = true;
    m_isOutOfOrder = false;
}

bool EventFramer::awaitsContinuation() const
{
    return m_awaitsContinuation;
}

bool EventFramer::isOutOfOrder() const
{
    return m_isOutOfOrder;
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

// The numbers of successive events differ by a step that depends on the target.
bool EventFramer::follow(std::string_view events) const
{
    if (!m_lastEventId) {
        return true;
    }
    std::size_t position = 0;
    const std::optional<std::string_view> first = nextId(events, position);
    if (!first) {
        return false;
    }
    const std::optional<std::uint64_t> last = numberOf(*m_lastEventId);
    const std::optional<std::uint64_t> next = numberOf(*first);
    if (!last) {
        return *first != *m_lastEventId;
    }
    return next && *next > *last && *next - *last <= m_largestStep;
}

void EventFramer::updateLastEventId(std::string_view events)
{
    std::size_t position = 0;
    while (const std::optional<std::string_view> id = nextId(events, position)) {
        const std::optional<std::uint64_t> last = numberOf(m_lastEventId.value_or(std::string()));
        const std::optional<std::uint64_t> next = numberOf(*id);
        if (last && next && *next > *last) {
            m_largestStep = std::max(m_largestStep, *next - *last);
        }
        m_lastEventId = std::string(*id);
    }
}

} // namespace CassiaRelay::Gateway
