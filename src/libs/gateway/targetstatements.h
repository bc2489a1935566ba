#pragma once

#include "targetrecord.h"

#include <map>
#include <optional>

namespace CassiaRelay::Gateway {

/** What a target has said in its responses about the requests that it wants. */
struct TargetStatement {
    bool isLeaving = false;
    std::optional<Duration> pause {};     ///< it has turned a request away and wants nothing from this daemon for so long
    std::optional<double> maxRefusals {}; ///< it is brittle: more refusals per second for want of room than these make it crash
};

/**
 * Remembers what targets have said about the requests that they want. Each start of a target counts for itself, but all targets of a
 * service are brittle at the same time. What is said holds while the target is not listed, because its entry may come back unchanged.
 */
class TargetStatements
{
public:
    void apply(const TargetRecord &target, const TargetStatement &statement, MonotonicTime now);
    void setLeaving(const TargetRecord &target, MonotonicTime now);
    /** Whether the target has said that it is leaving. */
    bool isLeaving(const TargetRecord &target) const;
    /** When the target wants requests of this daemon again; in the past if it wants them now. */
    MonotonicTime pausedUntil(const TargetRecord &target) const;
    /** Refusals per second that targets of the service bear, as the latest response says; no value if they are not brittle. */
    std::optional<double> maxRefusals(const ServiceName &service) const;
    void removeExpired(MonotonicTime now);

private:
    struct State {
        bool isLeaving = false;
        MonotonicTime pausedUntil;
        MonotonicTime saidAt;
    };

    const State *find(const TargetRecord &target) const;

    std::map<std::pair<TargetId, StartTime>, State> m_states;
    std::map<ServiceName, double> m_maxRefusals; ///< of services whose targets are brittle
};

} // namespace CassiaRelay::Gateway
