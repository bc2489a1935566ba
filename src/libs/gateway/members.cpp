#include "members.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds GREETING_TIMEOUT { 1000 };     // three missed greetings
constexpr std::chrono::milliseconds FAILED_OWNER_BACKOFF { 1000 }; // a stopped daemon is detected within this time
constexpr std::chrono::seconds CANDIDATE_LIFETIME { 10 };          // a restarted VM is back within seconds

} // namespace

Members::Members(VmId self, Endpoint endpoint)
    : m_self(std::move(self))
    , m_endpoint(std::move(endpoint))
{
}

void Members::setSeeds(std::vector<Endpoint> seeds)
{
    for (auto candidate = m_candidates.begin(); candidate != m_candidates.end();) {
        candidate = candidate->second.isSeed ? m_candidates.erase(candidate) : std::next(candidate);
    }
    for (Endpoint &seed : seeds) {
        if (seed.text() == m_endpoint.text()) {
            continue;
        }
        const std::string key = seed.text();
        m_candidates[key] = { std::move(seed), {}, true };
    }
}

bool Members::onGreeting(const Member &member, const std::vector<Endpoint> &known, MonotonicTime now)
{
    for (const Endpoint &endpoint : known) {
        if (endpoint.text() != m_endpoint.text()) {
            m_candidates.try_emplace(endpoint.text(), Candidate { endpoint, now, false });
        }
    }
    if (member.vm == m_self) {
        return false;
    }
    const auto found = m_members.find(member.vm);
    if (found == m_members.end()) {
        m_members.emplace(member.vm, State { member, now, {} });
        return true;
    }
    State &state = found->second;
    if (member.incarnation < state.member.incarnation) {
        return false;
    }
    const bool isChanged = member.incarnation != state.member.incarnation || member.isLeaving != state.member.isLeaving;
    state.member = member;
    state.heardAt = now;
    return isChanged;
}

std::vector<Member> Members::expire(MonotonicTime now)
{
    std::vector<Member> gone;
    for (auto state = m_members.begin(); state != m_members.end();) {
        if (state->second.heardAt + GREETING_TIMEOUT > now) {
            ++state;
            continue;
        }
        gone.push_back(state->second.member);
        m_candidates.try_emplace(state->second.member.endpoint.text(), Candidate { state->second.member.endpoint, now, false });
        state = m_members.erase(state);
    }
    for (auto candidate = m_candidates.begin(); candidate != m_candidates.end();) {
        const bool isOld = !candidate->second.isSeed && candidate->second.addedAt + CANDIDATE_LIFETIME <= now;
        candidate = isOld ? m_candidates.erase(candidate) : std::next(candidate);
    }
    return gone;
}

std::vector<Endpoint> Members::endpointsToGreet()
{
    std::vector<Endpoint> list;
    std::set<std::string> listed;
    for (const auto &[vm, state] : m_members) {
        listed.insert(state.member.endpoint.text());
        // Of two daemons, the one with the lower id sends the greeting; the response carries the same information.
        if (m_self < vm || m_isLeaving) {
            list.push_back(state.member.endpoint);
        }
    }
    for (const auto &[key, candidate] : m_candidates) {
        if (listed.count(key) == 0) {
            list.push_back(candidate.endpoint);
        }
    }
    return list;
}

std::vector<Member> Members::alive() const
{
    std::vector<Member> members;
    for (const auto &[vm, state] : m_members) {
        members.push_back(state.member);
    }
    return members;
}

// Rendezvous hashing; no value means this daemon.
template<typename Condition>
std::optional<Member> Members::highestRanked(const ServiceName &service, Condition isCandidate) const
{
    const std::uint64_t seed = stableHash(service.value());
    std::uint64_t highest = m_isLeaving ? 0 : stableHash(m_self.value(), seed);
    const Member *first = nullptr;
    for (const auto &[vm, state] : m_members) {
        const std::uint64_t rank = stableHash(vm.value(), seed);
        if (state.member.isLeaving || rank <= highest || !isCandidate(state)) {
            continue;
        }
        highest = rank;
        first = &state.member;
    }
    return first ? std::optional(*first) : std::nullopt;
}

std::optional<Member> Members::owner(const ServiceName &service) const
{
    return highestRanked(service, [](const State &) { return true; });
}

std::optional<Member> Members::availableOwner(const ServiceName &service, MonotonicTime now) const
{
    return highestRanked(service, [now](const State &state) { return state.avoidedUntil <= now; });
}

// An order that timed out shows that the work was late, not that its owner is gone. If it counted as a failure, each daemon would
// schedule its own pieces, their calls would fill the queues of the targets, and more orders would time out.
bool Members::onOrderFailed(const VmId &vm, MonotonicTime hardDeadline, MonotonicTime now)
{
    if (now >= hardDeadline) {
        return false;
    }
    const auto found = m_members.find(vm);
    if (found != m_members.end()) {
        found->second.avoidedUntil = now + FAILED_OWNER_BACKOFF;
    }
    return true;
}

void Members::setLeaving()
{
    m_isLeaving = true;
}

int Members::count() const
{
    return static_cast<int>(m_members.size()) + 1;
}

} // namespace CassiaRelay::Gateway
