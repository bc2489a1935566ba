#include "eventlog.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::size_t QUEUE_CAPACITY = 1024; // several seconds of lines at the usual rate, less than 1 MB
constexpr std::size_t MAX_VALUE_BYTES = 512; // of a field; values may come from outside
constexpr int MAX_LINES_PER_SECOND = 100;    // per event type; about 20 KB/s

bool isPlain(char character)
{
    return character > ' ' && character < 0x7f && character != '"' && character != '=';
}

// Bytes that could end the line, or are not ASCII, are replaced.
void appendField(std::string &line, const LogField &field)
{
    const std::string_view value = std::string_view(field.value).substr(0, MAX_VALUE_BYTES);
    line += field.name;
    line += '=';
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        line += value;
    } else {
        line += '"';
        for (const char character : value) {
            const bool isKept = isPlain(character) || character == ' ' || character == '=';
            line += isKept ? character : (character == '"' || character == '\n' ? '\'' : '?');
        }
        line += '"';
    }
    if (value.size() < field.value.size()) {
        line += "...";
    }
}

} // namespace

EventLog::EventLog(Schema::LogLevel level)
    : m_isDebug(level == Schema::LogLevel::Debug)
{
    spdlog::init_thread_pool(QUEUE_CAPACITY, 1);
    m_logger = std::make_shared<spdlog::async_logger>(
        "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    m_logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
    const bool isWarningOrAbove = level == Schema::LogLevel::Warning || level == Schema::LogLevel::Error;
    m_logger->set_level(isWarningOrAbove ? spdlog::level::warn : spdlog::level::info);
    spdlog::register_logger(m_logger);
    spdlog::flush_every(std::chrono::seconds(1));
}

EventLog::~EventLog()
{
    m_logger->flush();
    m_logger.reset();
    spdlog::shutdown();
}

void EventLog::write(std::string_view event, const LogFields &fields, MonotonicTime now)
{
    if (takeLineQuota(event, 1, now)) {
        m_logger->info(formatLine(event, fields));
    }
}

void EventLog::writeTrace(std::string_view event, const std::vector<std::string> &lines, MonotonicTime now)
{
    if (!takeLineQuota(event, static_cast<int>(lines.size()), now)) {
        return;
    }
    for (const std::string &line : lines) {
        m_logger->info(line);
    }
}

bool EventLog::isDebug() const
{
    return m_isDebug;
}

void EventLog::flush(MonotonicTime now)
{
    for (auto &[event, rate] : m_rates) {
        if (rate.suppressed == 0) {
            continue;
        }
        m_logger->info(formatLine("suppressed", { { "of", event }, { "lines", std::to_string(rate.suppressed) } }));
        rate.suppressed = 0;
        rate.windowStartedAt = now;
    }
    m_logger->flush();
}

std::uint64_t EventLog::droppedLines() const
{
    return spdlog::thread_pool()->overrun_counter();
}

bool EventLog::takeLineQuota(std::string_view event, int lines, MonotonicTime now)
{
    auto rate = m_rates.find(event);
    if (rate == m_rates.end()) {
        rate = m_rates.emplace(std::string(event), Rate {}).first;
    }
    Rate &current = rate->second;
    if (now - current.windowStartedAt >= std::chrono::seconds(1)) {
        current.windowStartedAt = now;
        current.lines = 0;
    }
    if (current.lines + lines > MAX_LINES_PER_SECOND) {
        current.suppressed += static_cast<std::uint64_t>(lines);
        return false;
    }
    current.lines += lines;
    return true;
}

std::string formatLine(std::string_view event, const LogFields &fields)
{
    std::string line;
    appendField(line, { "event", std::string(event) });
    for (const LogField &field : fields) {
        line += ' ';
        appendField(line, field);
    }
    return line;
}

} // namespace CassiaRelay::GatewayDaemon
