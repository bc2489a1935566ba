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

/** One named value of a log line. */
struct LogField {
    std::string_view name;
    std::string value;
};
using LogFields = std::vector<LogField>;

/**
 * Structured log on standard output: one line of name=value pairs for each event.
 *
 * Never blocks: a writer thread takes lines from a bounded queue, and the oldest are dropped when it is full. Each kind of event has a
 * bound of lines a second; what was left out is counted in an event=suppressed line.
 */
class EventLog
{
public:
    explicit EventLog(Schema::LogLevel level);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(std::string_view event, const LogFields &fields, MonotonicTime now);
    /** Several lines about one request that belong together; they are written or suppressed as a whole. */
    void writeTrace(std::string_view event, const std::vector<std::string> &lines, MonotonicTime now);
    bool isDebug() const;
    /** Writes the counts of suppressed lines. Call about once a second. */
    void flush(MonotonicTime now);
    /** Lines that were lost because the writer was too slow. */
    std::uint64_t droppedLines() const;

private:
    /** Lines of one kind of event in the current second. */
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

/** name=value pairs; values with blanks are quoted. */
std::string formatLine(std::string_view event, const LogFields &fields);

} // namespace CassiaRelay::GatewayDaemon
