#include "members.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds GREETING_TIMEOUT { 1000 };     // three missed greetings
constexpr std::chrono::milliseconds ROUND { 300 };                 // interval of the greetings
constexpr std::chrono::milliseconds RECENTLY_HEARD { 150 };        // half a round; the other daemon has just sent its greeting
constexpr std::size_t GREETINGS_PER_ROUND = 8;                     // all others in a cell; a tenth of the fleet with 81 daemons
constexpr std::size_t MAX_NAMED = 32;                              // about 600 bytes; twelve greetings name 380 daemons
constexpr std::chrono::milliseconds FOLLOW_TIME { 2000 };          // longer than a stage takes
constexpr double MIN_OWNER_CAPACITY = 0.5;                         // share of the highest capacity
constexpr double MIN_CAPACITY = 0.01;                              // a member that names less still counts
constexpr std::chrono::milliseconds FAILED_OWNER_BACKOFF { 1000 }; // a stopped daemon is detected within this time
constexpr std::chrono::seconds CANDIDATE_LIFETIME { 10 };          // a restarted VM is back within seconds

} // namespace

Members::Members(VmId self, Endpoint endpoint, double capacity)
    : m_self(std::move(self))
    , m_endpoint(std::move(endpoint))
    , m_address(m_endpoint.text())
    , m_capacity(capacity)
    , m_knownDaemonsHash(stableHash(m_address))
    , m_lastNamed(m_self) // daemons that start together name different ones first
{
}

const VmId &Members::self() const
{
    return m_self;
}

void Members::setSeeds(std::vector<Endpoint> seeds)
{
    for (auto candidate = m_candidates.begin(); candidate != m_candidates.end();) {
        candidate = candidate->second.isSeed ? m_candidates.erase(candidate) : std::next(candidate);
    }
    for (Endpoint &seed : seeds) {
        const std::string key = seed.text();
        if (key == m_address) {
            continue;
        }
        m_candidates[key] = { std::move(seed), {}, true };
    }
}

bool Members::onGreeting(const Member &member, const std::vector<Endpoint> &known, MonotonicTime now)
{
    for (const Endpoint &endpoint : known) {
        const std::string address = endpoint.text();
        if (address != m_address) {
            m_candidates.try_emplace(address, Candidate { endpoint, now, false });
        }
    }
    if (member.vm == m_self) {
        return false;
    }
    const auto found = m_members.find(member.vm);
    if (found == m_members.end()) {
        const std::string address = member.endpoint.text();
        m_members.emplace(member.vm, State { member, address, now });
        m_knownDaemonsHash ^= stableHash(address);
        updateMaxKnownCount();
        return true;
    }
    State &state = found->second;
    if (member.incarnation < state.member.incarnation) {
        return false;
    }
    const bool isChanged = member.incarnation != state.member.incarnation || member.isLeaving != state.member.isLeaving
        || member.blockedServices != state.member.blockedServices;
    const std::string address = member.endpoint.text();
    if (address != state.address) {
        m_knownDaemonsHash ^= stableHash(state.address) ^ stableHash(address);
        state.address = address;
    }
    state.member = member;
    state.heardAt = now;
    return isChanged;
}

std::vector<Member> Members::expire(MonotonicTime now)
{
    std::vector<Member> gone;
    for (auto state = m_members.begin(); state != m_members.end();) {
        if (std::max(state->second.heardAt, state->second.followedSince) + greetingTimeout(state->second, now) > now) {
            ++state;
            continue;
        }
        gone.push_back(state->second.member);
        m_candidates.try_emplace(state->second.address, Candidate { state->second.member.endpoint, now, false });
        m_knownDaemonsHash ^= stableHash(state->second.address);
        state = m_members.erase(state);
    }
    for (auto candidate = m_candidates.begin(); candidate != m_candidates.end();) {
        const bool isOld = !candidate->second.isSeed && candidate->second.addedAt + CANDIDATE_LIFETIME <= now;
        candidate = isOld ? m_candidates.erase(candidate) : std::next(candidate);
    }
    return gone;
}

// Chooses those that have not been heard or greeted for the longest time. A response carries the same information as a greeting, so a
// daemon that has just been heard is not greeted.
std::vector<Endpoint> Members::endpointsToGreet(MonotonicTime now)
{
    std::vector<Endpoint> endpoints;
    std::vector<State *> waiting;
    std::set<std::string_view> memberAddresses;
    for (auto &[vm, state] : m_members) {
        memberAddresses.insert(state.address);
        if (state.heardAt + RECENTLY_HEARD > now && !m_isLeaving) {
            continue;
        }
        if (state.followedUntil > now) {
            state.greetedAt = now;
            endpoints.push_back(state.member.endpoint);
            continue;
        }
        waiting.push_back(&state);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const State *left, const State *right) {
        return std::max(left->heardAt, left->greetedAt) < std::max(right->heardAt, right->greetedAt);
    });
    waiting.resize(std::min(waiting.size(), GREETINGS_PER_ROUND));
    for (State *state : waiting) {
        state->greetedAt = now;
        endpoints.push_back(state->member.endpoint);
    }
    std::vector<Candidate *> candidates;
    for (auto &[address, candidate] : m_candidates) {
        if (memberAddresses.count(address) == 0) {
            candidates.push_back(&candidate);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate *left, const Candidate *right) {
        return left->greetedAt < right->greetedAt;
    });
    candidates.resize(std::min(candidates.size(), GREETINGS_PER_ROUND));
    for (Candidate *candidate : candidates) {
        candidate->greetedAt = now;
        endpoints.push_back(candidate->endpoint);
    }
    return endpoints;
}

std::vector<Member> Members::alive() const
{
    std::vector<Member> members;
    for (const auto &[vm, state] : m_members) {
        members.push_back(state.member);
    }
    return members;
}

std::uint64_t Members::knownDaemonsHash() const
{
    return m_knownDaemonsHash;
}

std::vector<Endpoint> Members::daemonsToName(const Endpoint &receiver)
{
    const std::string address = receiver.text();
    const auto found =
        std::find_if(m_members.begin(), m_members.end(), [&address](const auto &entry) { return entry.second.address == address; });
    const auto reports = [&found, this](std::uint64_t hash) {
        return found != m_members.end() && found->second.member.knownDaemonsHash && *found->second.member.knownDaemonsHash == hash;
    };
    if (reports(m_knownDaemonsHash)) {
        return {};
    }
    // A daemon that has just started shares limits among the daemons it knows of, so it must learn of all of them at once.
    if (!reports(stableHash(address)) && m_members.size() > MAX_NAMED) {
        return nextDaemonsToName();
    }
    std::vector<Endpoint> all;
    all.reserve(m_members.size());
    for (const auto &[vm, state] : m_members) {
        all.push_back(state.member.endpoint);
    }
    return all;
}

std::vector<Endpoint> Members::nextDaemonsToName()
{
    std::vector<Endpoint> part;
    part.reserve(MAX_NAMED);
    auto next = m_members.upper_bound(m_lastNamed);
    while (part.size() < MAX_NAMED) {
        if (next == m_members.end()) {
            next = m_members.begin();
        }
        part.push_back(next->second.member.endpoint);
        m_lastNamed = next->first;
        ++next;
    }
    return part;
}

std::optional<std::uint64_t> Members::bansHashOf(const Endpoint &receiver) const
{
    const std::string address = receiver.text();
    const auto found =
        std::find_if(m_members.begin(), m_members.end(), [&address](const auto &entry) { return entry.second.address == address; });
    return found == m_members.end() ? std::nullopt : found->second.member.bansHash;
}

bool Members::takeEvidenceTurn(const Endpoint &receiver, MonotonicTime now)
{
    const std::string address = receiver.text();
    const auto found =
        std::find_if(m_members.begin(), m_members.end(), [&address](const auto &entry) { return entry.second.address == address; });
    if (found == m_members.end()) {
        return true;
    }
    if (found->second.toldAt + ROUND * static_cast<int>(roundsToGreetAll() - 1) > now) {
        return false;
    }
    found->second.toldAt = now;
    return true;
}

void Members::onHeard(const VmId &vm, MonotonicTime now)
{
    const auto found = m_members.find(vm);
    if (found != m_members.end()) {
        found->second.heardAt = now;
    }
}

void Members::follow(const VmId &vm, MonotonicTime now)
{
    const auto found = m_members.find(vm);
    if (found == m_members.end()) {
        return;
    }
    State &state = found->second;
    if (state.followedUntil <= now) {
        state.followedSince = now;
    }
    state.followedUntil = now + FOLLOW_TIME;
}

void Members::setBlockedServices(std::set<ServiceName> services)
{
    m_blockedServices = std::move(services);
}

const std::set<ServiceName> &Members::blockedServices() const
{
    return m_blockedServices;
}

void Members::onBlocked(const VmId &vm, const ServiceName &service)
{
    const auto found = m_members.find(vm);
    if (found != m_members.end()) {
        found->second.member.blockedServices.insert(service);
    }
}

void Members::avoid(const VmId &vm, MonotonicTime now)
{
    const auto found = m_members.find(vm);
    if (found != m_members.end()) {
        found->second.avoidedUntil = now + FAILED_OWNER_BACKOFF;
    }
}

// Each member wins a part of all keys that is proportional to its capacity.
double Members::weightedRank(const Member &member, std::uint64_t key)
{
    const double uniform = (static_cast<double>(stableHash(member.vm.value(), key)) + 1) / std::pow(2.0, 64);
    return std::pow(uniform, 1 / std::max(member.capacity, MIN_CAPACITY));
}

// Rendezvous hashing; no value means this daemon.
template<typename Condition>
std::optional<Member> Members::highestRanked(const ServiceName &service, Condition isAvailable) const
{
    const bool isReached =
        m_blockedServices.count(service) == 0 || std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
            return !entry.second.member.isLeaving && entry.second.member.blockedServices.count(service) == 0 && isAvailable(entry.second);
        });
    const auto isCandidate = [&](const State &state) {
        return isAvailable(state) && (!isReached || state.member.blockedServices.count(service) == 0);
    };
    const bool isSelfCandidate = !m_isLeaving && (!isReached || m_blockedServices.count(service) == 0);
    const std::uint64_t seed = stableHash(service.value());
    double maxCapacity = isSelfCandidate ? m_capacity : 0;
    for (const auto &[vm, state] : m_members) {
        if (!state.member.isLeaving && isCandidate(state)) {
            maxCapacity = std::max(maxCapacity, state.member.capacity);
        }
    }
    const double minCapacity = MIN_OWNER_CAPACITY * maxCapacity;
    std::uint64_t highest = !isSelfCandidate || m_capacity < minCapacity ? 0 : stableHash(m_self.value(), seed);
    const Member *first = nullptr;
    for (const auto &[vm, state] : m_members) {
        const std::uint64_t rank = stableHash(vm.value(), seed);
        if (state.member.isLeaving || state.member.capacity < minCapacity || rank <= highest || !isCandidate(state)) {
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
    avoid(vm, now);
    return true;
}

std::optional<double> Members::ownedShare(const ServiceName &service, int maxVms) const
{
    if (owner(service)) {
        return std::nullopt;
    }
    // Without candidates, this is the only daemon.
    const int known = maxKnownCount().value_or(m_candidates.empty() ? 1 : maxVms);
    return static_cast<double>(count()) / std::max(known, count());
}

bool Members::owns(std::uint64_t key) const
{
    const std::uint64_t ownRank = stableHash(m_self.value(), key);
    return !m_isLeaving && std::none_of(m_members.begin(), m_members.end(), [key, ownRank](const auto &entry) {
        return !entry.second.member.isLeaving && stableHash(entry.first.value(), key) > ownRank;
    });
}

std::vector<Member> Members::ranked(const std::string &key, std::size_t maxCount) const
{
    const std::uint64_t seed = stableHash(key);
    std::vector<std::pair<std::uint64_t, const Member *>> ranks;
    ranks.reserve(m_members.size());
    for (const auto &[vm, state] : m_members) {
        if (!state.member.isLeaving) {
            ranks.emplace_back(stableHash(vm.value(), seed), &state.member);
        }
    }
    const std::size_t count = std::min(maxCount, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end(), std::greater<>());
    std::vector<Member> first;
    first.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        first.push_back(*ranks[index].second);
    }
    return first;
}

void Members::setLeaving()
{
    m_isLeaving = true;
}

int Members::count() const
{
    return static_cast<int>(m_members.size()) + 1;
}

std::optional<int> Members::maxKnownCount() const
{
    return m_maxKnownCount > 0 ? std::optional(m_maxKnownCount) : std::nullopt;
}

// With more daemons than fit into one round, a daemon is heard every few rounds.
Duration Members::greetingTimeout(const State &state, MonotonicTime now) const
{
    if (state.followedUntil > now) {
        return GREETING_TIMEOUT;
    }
    return GREETING_TIMEOUT * static_cast<int>(roundsToGreetAll());
}

std::size_t Members::roundsToGreetAll() const
{
    return std::max<std::size_t>(1, (m_members.size() + GREETINGS_PER_ROUND - 1) / GREETINGS_PER_ROUND);
}

// The first greeting lists all daemons, long before each of them was heard.
void Members::updateMaxKnownCount()
{
    const bool hasCandidates =
        std::any_of(m_candidates.begin(), m_candidates.end(), [](const auto &entry) { return !entry.second.isSeed; });
    if (!hasCandidates) {
        m_maxKnownCount = std::max(m_maxKnownCount, count());
        return;
    }
    std::set<std::string_view> addresses;
    for (const auto &[vm, state] : m_members) {
        addresses.insert(state.address);
    }
    for (const auto &[address, candidate] : m_candidates) {
        if (!candidate.isSeed) {
            addresses.insert(address);
        }
    }
    m_maxKnownCount = std::max(m_maxKnownCount, static_cast<int>(addresses.size()) + 1);
}

} // namespace CassiaRelay::Gateway
