#pragma once

#include "eventlog.h"

#include <gateway/gateway.h>
#include <metrics/metrics.h>

#include <map>

namespace CassiaRelay::GatewayDaemon {

/** Reports which pieces left their failure domain: metrics by service and preferred domain, and a log line for each decision. */
class SpilloverReport
{
public:
    SpilloverReport(Metrics::Registry &metrics, EventLog &log);

    void add(const Gateway::ServiceName &service, const std::vector<Gateway::SpilloverFlow> &flows, MonotonicTime now);

private:
    struct Counters {
        Metrics::Counter &piecesSentOut;
        Metrics::Counter &piecesKept;
        Metrics::Counter &bytesSentOut;
        Metrics::Counter &savedMilliseconds;
    };

    Counters &countersFor(const Gateway::ServiceName &service, const FailureDomain &domain);
    void log(const Gateway::ServiceName &service, const Gateway::SpilloverFlow &flow, MonotonicTime now);

    Metrics::Registry &m_metrics;
    EventLog &m_log;
    std::map<std::pair<Gateway::ServiceName, FailureDomain>, Counters> m_counters;
};

} // namespace CassiaRelay::GatewayDaemon
