#include "targetratelimits.h"

#include <algorithm>
#include <cmath>

namespace CassiaRelay::Gateway {

namespace {

// Share of a limit that is used. The rest covers the permits that two daemons issue while they disagree on who is the issuer.
constexpr double SAFETY_FACTOR = 0.9;
constexpr double MIN_RATE = 0.1;                                   // requests per second; only a response shows that a limit of 0 has ended
constexpr std::chrono::milliseconds MAX_ACCUMULATION { 250 };      // unused rate that can be issued at once, in addition to one request
constexpr std::chrono::seconds ENDED_LIMIT_LIFETIME { 60 };        // other daemons learn of the end of a limit well within this time
constexpr std::chrono::minutes LIMIT_LIFETIME { 10 };              // of a limit that no response has confirmed
constexpr std::chrono::milliseconds DENIED_INTERVAL_PER_VM { 20 }; // 50 requests per second reach an issuer without permits
constexpr std::chrono::milliseconds MAX_TRANSFER_TIME { 1000 };    // of a greeting, with both responses
constexpr int MAX_WANTED_PERMITS = 64;
constexpr std::size_t MAX_REPORTS = 256; // in one message

double usedRate(double perSecond, double share)
{
    return std::max(perSecond, MIN_RATE) * SAFETY_FACTOR * share;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::vector<RateLimitReport> newest(std::vector<RateLimitReport> reports, std::size_t maxCount)
{
    std::sort(reports.begin(), reports.end(), [](const RateLimitReport &left, const RateLimitReport &right) {
        return left.statedAt > right.statedAt;
    });
    reports.resize(std::min(reports.size(), maxCount));
    return reports;
}

} // namespace

void TargetRateLimits::setShareFunction(ShareFunction shareFunction, MonotonicTime now)
{
    m_shareFunction = std::move(shareFunction);
    updateShares(now);
}

// A new issuer starts without tokens, because the one before may have issued permits a moment ago: refill() leaves none to other daemons.
void TargetRateLimits::updateShares(MonotonicTime now)
{
    for (auto &[key, limit] : m_limits) {
        refill(limit, now);
    }
    for (auto &[service, state] : m_services) {
        state.issuedShare = m_shareFunction ? m_shareFunction(service) : 1;
    }
}

void TargetRateLimits::apply(const TargetRecord &target, const RateLimitStatement &statement, MonotonicTime now)
{
    put({ target.id, target.startedAt, target.service, statement.perSecond, now }, now);
}

// Each transfer makes a statement seem younger by the time that it takes. A report with the same limit must therefore be clearly newer, or
// daemons would renew an old statement for each other without end.
void TargetRateLimits::merge(const RateLimitReport &report, MonotonicTime now)
{
    const auto known = m_limits.find({ report.target, report.startedAt });
    if (known != m_limits.end()) {
        const RateLimitReport &current = known->second.report;
        const Duration minAdvance = current.perSecond == report.perSecond ? Duration(MAX_TRANSFER_TIME) : Duration::zero();
        if (report.statedAt <= current.statedAt + minAdvance) {
            return;
        }
    }
    put(report, now);
}

void TargetRateLimits::put(const RateLimitReport &report, MonotonicTime now)
{
    const auto known = m_limits.find({ report.target, report.startedAt });
    if (known == m_limits.end()) {
        // Most targets never name a limit.
        if (report.perSecond) {
            serviceState(report.service);
            m_limits[{ report.target, report.startedAt }] = { report, 0, now, {} };
        }
        return;
    }
    Limit &limit = known->second;
    refill(limit, now);
    limit.report = report;
    refill(limit, now);
}

bool TargetRateLimits::isLimited(const TargetRecord &target) const
{
    const Limit *limit = find(target);
    return limit && limit->report.perSecond;
}

std::optional<double> TargetRateLimits::perSecond(const TargetId &target, StartTime startedAt) const
{
    const auto found = m_limits.find({ target, startedAt });
    return found == m_limits.end() ? std::nullopt : found->second.report.perSecond;
}

bool TargetRateLimits::canSend(const TargetRecord &target, MonotonicTime now) const
{
    const Limit *limit = find(target);
    if (!limit || !limit->report.perSecond) {
        return true;
    }
    const bool hasPermit =
        std::any_of(limit->permits.begin(), limit->permits.end(), [now](const PermitBatch &batch) { return batch.expiresAt > now; });
    return hasPermit || tokens(*limit, now) >= 1;
}

void TargetRateLimits::recordSent(const TargetRecord &target, MonotonicTime now)
{
    Limit *limit = find(target.id, target.startedAt);
    if (!limit || !limit->report.perSecond) {
        return;
    }
    serviceState(target.service).sent.add(now);
    std::deque<PermitBatch> &permits = limit->permits;
    while (!permits.empty() && (permits.front().expiresAt <= now || permits.front().count == 0)) {
        permits.pop_front();
    }
    if (!permits.empty()) {
        if (--permits.front().count == 0) {
            permits.pop_front();
        }
        return;
    }
    refill(*limit, now);
    limit->tokens = std::max(0.0, limit->tokens - 1);
}

bool TargetRateLimits::isIssuer(const ServiceName &service) const
{
    return issuedShare(service).has_value();
}

bool TargetRateLimits::canRequestPermits(const ServiceName &service, MonotonicTime now) const
{
    const auto state = m_services.find(service);
    return state != m_services.end() && !state->second.issuedShare && state->second.nextRequestAt <= now;
}

void TargetRateLimits::onPermitsAnswered(const ServiceName &service, int received, int vmCount, MonotonicTime now)
{
    serviceState(service).nextRequestAt = received > 0 ? now : now + DENIED_INTERVAL_PER_VM * vmCount;
}

int TargetRateLimits::wantedPermits(const ServiceName &service, MonotonicTime now)
{
    return std::min(static_cast<int>(serviceState(service).sent.count(now)) + 1, MAX_WANTED_PERMITS);
}

std::vector<RequestPermits> TargetRateLimits::takeUnusedPermits(const ServiceName &service, MonotonicTime now)
{
    std::vector<RequestPermits> unused;
    for (auto &[key, limit] : m_limits) {
        if (limit.report.service != service) {
            continue;
        }
        RequestPermits permits { key.first, key.second, 0 };
        for (const PermitBatch &batch : std::exchange(limit.permits, {})) {
            permits.count += batch.expiresAt > now ? batch.count : 0;
        }
        if (permits.count > 0) {
            unused.push_back(permits);
        }
    }
    return unused;
}

void TargetRateLimits::addPermits(const RequestPermits &permits, MonotonicTime now)
{
    Limit *limit = find(permits.target, permits.startedAt);
    if (limit && permits.count > 0) {
        limit->permits.push_back({ permits.count, now + PERMIT_LIFETIME });
    }
}

void TargetRateLimits::takeBack(const std::vector<RequestPermits> &unused, MonotonicTime now)
{
    for (const RequestPermits &permits : unused) {
        Limit *limit = find(permits.target, permits.startedAt);
        if (!limit || !isIssuer(limit->report.service)) {
            continue;
        }
        refill(*limit, now);
        limit->tokens += std::max(0, permits.count);
        refill(*limit, now);
    }
}

// Takes one permit after the other from the target that can give most, so that the targets are used evenly.
std::vector<RequestPermits> TargetRateLimits::issue(const std::vector<TargetRecord> &targets, int wanted, MonotonicTime now)
{
    std::map<Key, RequestPermits> issued;
    std::vector<Limit *> limits;
    for (const TargetRecord &target : targets) {
        Limit *limit = find(target.id, target.startedAt);
        if (!limit || !limit->report.perSecond || !isIssuer(target.service)) {
            continue;
        }
        refill(*limit, now);
        limits.push_back(limit);
    }
    for (int count = 0; count < std::min(wanted, MAX_WANTED_PERMITS); ++count) {
        const auto most = std::max_element(
            limits.begin(), limits.end(), [](const Limit *left, const Limit *right) { return left->tokens < right->tokens; });
        if (most == limits.end() || (*most)->tokens < 1) {
            break;
        }
        (*most)->tokens -= 1;
        const RateLimitReport &report = (*most)->report;
        RequestPermits &permits =
            issued.try_emplace({ report.target, report.startedAt }, RequestPermits { report.target, report.startedAt, 0 }).first->second;
        ++permits.count;
    }
    std::vector<RequestPermits> result;
    result.reserve(issued.size());
    for (auto &[key, permits] : issued) {
        result.push_back(std::move(permits));
    }
    return result;
}

std::vector<RateLimitReport> TargetRateLimits::reports(const ServiceName &service) const
{
    std::vector<RateLimitReport> found;
    for (const auto &[key, limit] : m_limits) {
        if (limit.report.service == service) {
            found.push_back(limit.report);
        }
    }
    return newest(std::move(found), MAX_REPORTS);
}

std::vector<RateLimitReport> TargetRateLimits::newestReports(std::size_t maxCount) const
{
    std::vector<RateLimitReport> found;
    for (const auto &[key, limit] : m_limits) {
        found.push_back(limit.report);
    }
    return newest(std::move(found), maxCount);
}

void TargetRateLimits::removeExpired(MonotonicTime now)
{
    for (auto limit = m_limits.begin(); limit != m_limits.end();) {
        const RateLimitReport &report = limit->second.report;
        const Duration lifetime = report.perSecond ? Duration(LIMIT_LIFETIME) : Duration(ENDED_LIMIT_LIFETIME);
        limit = report.statedAt + lifetime <= now ? m_limits.erase(limit) : std::next(limit);
    }
}

TargetRateLimits::Limit *TargetRateLimits::find(const TargetId &target, StartTime startedAt)
{
    const auto found = m_limits.find({ target, startedAt });
    return found == m_limits.end() ? nullptr : &found->second;
}

const TargetRateLimits::Limit *TargetRateLimits::find(const TargetRecord &target) const
{
    // The key would be a copy of the id, and most targets never name a limit.
    if (m_limits.empty()) {
        return nullptr;
    }
    const auto found = m_limits.find({ target.id, target.startedAt });
    return found == m_limits.end() ? nullptr : &found->second;
}

std::optional<double> TargetRateLimits::issuedShare(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::optional<double>(1) : found->second.issuedShare;
}

// Tokens that are available now: the last value, plus the rate since then, up to the capacity.
double TargetRateLimits::tokens(const Limit &limit, MonotonicTime now) const
{
    const std::optional<double> share = issuedShare(limit.report.service);
    if (!share || !limit.report.perSecond) {
        return 0;
    }
    const double rate = usedRate(*limit.report.perSecond, *share);
    const double capacity = 1 + rate * seconds(MAX_ACCUMULATION);
    return std::min(capacity, limit.tokens + rate * std::max(0.0, seconds(now - limit.refilledAt)));
}

void TargetRateLimits::refill(Limit &limit, MonotonicTime now)
{
    limit.tokens = tokens(limit, now);
    limit.refilledAt = std::max(limit.refilledAt, now);
}

TargetRateLimits::ServiceState &TargetRateLimits::serviceState(const ServiceName &service)
{
    const auto known = m_services.find(service);
    if (known != m_services.end()) {
        return known->second;
    }
    ServiceState &state = m_services[service];
    state.issuedShare = m_shareFunction ? m_shareFunction(service) : 1;
    return state;
}

} // namespace CassiaRelay::Gateway
