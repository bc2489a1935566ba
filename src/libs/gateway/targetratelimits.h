#pragma once

#include "configuration.h"
#include "slidingwindowcounter.h"
#include "targetrecord.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace CassiaRelay::Gateway {

/** What a response of a target says about the request rate that the target accepts from all daemons together. */
struct RateLimitStatement {
    std::optional<double> perSecond; ///< no value: the target names no limit
};

/** The newest statement of one incarnation of a target that a daemon knows. */
struct RateLimitReport {
    TargetId target;
    StartTime startedAt;
    ServiceName service;
    std::optional<double> perSecond;
    MonotonicTime statedAt;
};

/** Permits to send requests to one incarnation of a target. */
struct RequestPermits {
    TargetId target;
    StartTime startedAt;
    int count = 0;
};

/**
 * Request rate limits that targets have named, as one daemon knows them.
 *
 * A limit applies to all daemons together. One daemon, the issuer, issues a permit for each request to the limited targets of a service.
 * The others get permits from it and use them within PERMIT_LIFETIME. Without a permit, no request is sent to a limited target.
 */
class TargetRateLimits
{
public:
    /** Returns the share of the limits that this daemon may issue; no value if another daemon is the issuer of the service. */
    using ShareFunction = std::function<std::optional<double>(const ServiceName &)>;

    static constexpr std::chrono::milliseconds PERMIT_LIFETIME { 1000 };

    /** Without a function, this daemon issues all permits itself. */
    void setShareFunction(ShareFunction shareFunction, MonotonicTime now);
    /** Call whenever the result of the share function may have changed. */
    void updateShares(MonotonicTime now);

    /** Applies what a response to this daemon stated. */
    void apply(const TargetRecord &target, const RateLimitStatement &statement, MonotonicTime now);
    /** Applies the report of another daemon unless a newer statement is known. */
    void merge(const RateLimitReport &report, MonotonicTime now);
    bool isLimited(const TargetRecord &target) const;
    /** Returns the limit that the target named last; no value if it names none. */
    std::optional<double> perSecond(const TargetId &target, StartTime startedAt) const;
    /** Whether a request may be sent to the target now. */
    bool canSend(const TargetRecord &target, MonotonicTime now) const;
    /** Counts a request that is sent to the target now. */
    void recordSent(const TargetRecord &target, MonotonicTime now);
    bool isIssuer(const ServiceName &service) const;

    /** Whether another daemon may be asked for permits now. After a denial, the interval grows with the number of daemons. */
    bool canRequestPermits(const ServiceName &service, MonotonicTime now) const;
    /** Call when the issuer has answered or has not answered in time. @param vmCount daemons that share the issuer */
    void onPermitsAnswered(const ServiceName &service, int received, int vmCount, MonotonicTime now);
    /** Number of permits to ask for: one for the next request, and those that were used within the last PERMIT_LIFETIME. */
    int wantedPermits(const ServiceName &service, MonotonicTime now);
    /** Removes and returns the permits of the service that have not been used or expired. */
    std::vector<RequestPermits> takeUnusedPermits(const ServiceName &service, MonotonicTime now);
    void addPermits(const RequestPermits &permits, MonotonicTime now);
    /** Takes back unused permits of another daemon, so that they can be issued again. */
    void takeBack(const std::vector<RequestPermits> &unused, MonotonicTime now);
    /** Issues permits for the given targets to another daemon; none if this daemon is not the issuer. */
    std::vector<RequestPermits> issue(const std::vector<TargetRecord> &targets, int wanted, MonotonicTime now);

    /** Returns the newest statements about targets of the service, including those that ended a limit. */
    std::vector<RateLimitReport> reports(const ServiceName &service) const;
    /** Returns the newest statements about all targets, including those that ended a limit. */
    std::vector<RateLimitReport> newestReports(std::size_t maxCount) const;
    void removeExpired(MonotonicTime now);

private:
    using Key = std::pair<TargetId, StartTime>;
    struct PermitBatch {
        int count = 0;
        MonotonicTime expiresAt;
    };
    struct Limit {
        RateLimitReport report;
        double tokens = 0;               ///< permits that can be issued, if this daemon is the issuer
        MonotonicTime refilledAt;        ///< time up to which the tokens are computed
        std::deque<PermitBatch> permits; ///< received from the issuer
    };
    struct ServiceState {
        std::optional<double> issuedShare = 1;
        SlidingWindowCounter sent { PERMIT_LIFETIME }; ///< requests of this daemon to limited targets
        MonotonicTime nextRequestAt {};
    };

    void put(const RateLimitReport &report, MonotonicTime now);
    Limit *find(const TargetId &target, StartTime startedAt);
    const Limit *find(const TargetRecord &target) const;
    std::optional<double> issuedShare(const ServiceName &service) const;
    double tokens(const Limit &limit, MonotonicTime now) const;
    void refill(Limit &limit, MonotonicTime now);
    ServiceState &serviceState(const ServiceName &service);

    ShareFunction m_shareFunction;
    std::map<Key, Limit> m_limits;
    std::map<ServiceName, ServiceState> m_services;
};

} // namespace CassiaRelay::Gateway
