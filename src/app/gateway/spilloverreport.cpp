#include "spilloverreport.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::size_t MAX_SERIES = 512;        // 16 domains of 32 stage services; an order names its domain, so the number needs a bound
constexpr const char *OTHER_DOMAINS = "other"; // label beyond the bound

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

SpilloverReport::SpilloverReport(Metrics::Registry &metrics, EventLog &log)
    : m_metrics(metrics)
    , m_log(log)
{
}

void SpilloverReport::add(const Gateway::ServiceName &service, const std::vector<Gateway::SpilloverFlow> &flows, MonotonicTime now)
{
    for (const Gateway::SpilloverFlow &flow : flows) {
        Counters &counters = countersFor(service, flow.from);
        if (flow.from == flow.to) {
            counters.piecesKept.add(flow.pieces);
            continue;
        }
        counters.piecesSentOut.add(flow.pieces);
        counters.bytesSentOut.add(flow.bytes);
        counters.savedMilliseconds.add(
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(flow.saved).count()));
        log(service, flow, now);
    }
}

SpilloverReport::Counters &SpilloverReport::countersFor(const Gateway::ServiceName &service, const FailureDomain &domain)
{
    const auto known = m_counters.find({ service, domain });
    if (known != m_counters.end()) {
        return known->second;
    }
    if (m_counters.size() >= MAX_SERIES && domain.value() != OTHER_DOMAINS) {
        return countersFor(service, FailureDomain(OTHER_DOMAINS));
    }
    const Metrics::Labels labels { { "service", service.value() }, { "domain", domain.value() } };
    const Counters counters { m_metrics.counter("cassiarelay_spillover_pieces_sent_out_total", labels),
                              m_metrics.counter("cassiarelay_spillover_pieces_kept_total", labels),
                              m_metrics.counter("cassiarelay_spillover_bytes_sent_out_total", labels),
                              m_metrics.counter("cassiarelay_spillover_saved_milliseconds_total", labels) };
    return m_counters.emplace(std::pair(service, domain), counters).first->second;
}

// The figures come from the scheduler that decides, so they have no age.
void SpilloverReport::log(const Gateway::ServiceName &service, const Gateway::SpilloverFlow &flow, MonotonicTime now)
{
    m_log.write("pieces sent out of domain",
                { { "service", service.value() },
                  { "from", flow.from.value() },
                  { "to", flow.to.value() },
                  { "request", flow.first ? flow.first->value() : std::string() },
                  { "pieces", std::to_string(flow.pieces) },
                  { "waiting", std::to_string(flow.waiting) },
                  { "bytes", std::to_string(flow.bytes) },
                  { "home_ms", flow.finishAtHome ? millisecondsText(*flow.finishAtHome) : "never" },
                  { "there_ms", flow.finishThere ? millisecondsText(*flow.finishThere) : "" },
                  { "saved_ms", millisecondsText(flow.saved) } },
                now);
}

} // namespace CassiaRelay::GatewayDaemon
