#pragma once

#include <common/common.h>
#include <schema/schema.h>
#include <spdlog/logger.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace CassiaRelay::GatewayDaemon {

/** One name=value pair of a log line. */
struct LogField {
    std::string_view name;
    std::string value;
};
using LogFields = std::vector<LogField>;

/**
 * Structured event log that writes one line of name=value pairs per event to standard output.
 *
 * Logging never blocks the caller: a background thread writes the lines from a bounded queue, which drops its oldest lines when it is
 * full. The number of lines per second is limited for each event type; an event=suppressed line reports how many were left out.
 */
class EventLog
{
public:
    explicit EventLog(Schema::LogLevel level);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(std::string_view event, const LogFields &fields, MonotonicTime now);
    /** Writes the trace of one request; its lines are written or suppressed together. */
    void writeTrace(std::string_view event, const std::vector<std::string> &lines, MonotonicTime now);
    bool isDebug() const;
    /** Logs the number of suppressed lines of each event type and flushes the output. Call about once per second. */
    void flush(MonotonicTime now);
    /** Returns the number of lines dropped because the queue was full. */
    std::uint64_t droppedLines() const;

private:
    /** Line counts of one event type in the current one-second window. */
    struct Rate {
        MonotonicTime windowStartedAt;
        int lines = 0;
        std::uint64_t suppressed = 0;
    };

    bool takeLineQuota(std::string_view event, int lines, MonotonicTime now);

    std::shared_ptr<spdlog::logger> m_logger;
    bool m_isDebug = false;
    std::map<std::string, Rate, std::less<>> m_rates;
};

/**
 * Formats an event as name=value pairs. Values that are empty or contain spaces, quotes, '=' or line breaks are quoted; quotes and line
 * breaks in them are replaced by apostrophes.
 */
std::string formatLine(std::string_view event, const LogFields &fields);

} // namespace CassiaRelay::GatewayDaemon
