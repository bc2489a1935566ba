#include "targetgroup.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr int RING_POINTS = 16;
constexpr int MAX_RING_STEPS = 8;
/** Prefix affinity is ignored if the expected wait of the preferred target is more than this many times that of the alternative. */
constexpr double AFFINITY_LOAD_BOUND = 1.25;

bool isAvoided(const WorkItem &item, const TargetState &state)
{
    return item.avoidedTarget && *item.avoidedTarget == state.published.id;
}

} // namespace

void TargetGroup::rebuild(const std::vector<std::size_t> &members, const std::vector<TargetState> &states)
{
    m_available.clear();
    m_positions.assign(states.size(), -1);
    m_ring.clear();
    for (const std::size_t target : members) {
        std::uint64_t point = stableHash(states[target].published.id.value());
        for (int copy = 0; copy < RING_POINTS; ++copy) {
            point = stableHash(states[target].published.id.value(), point);
            m_ring.emplace_back(point, target);
        }
    }
    std::sort(m_ring.begin(), m_ring.end());
}

void TargetGroup::setAvailable(std::size_t target, bool available)
{
    if (isAvailable(target) == available) {
        return;
    }
    if (available) {
        m_positions[target] = static_cast<std::int32_t>(m_available.size());
        m_available.push_back(target);
        return;
    }
    const auto position = static_cast<std::size_t>(std::exchange(m_positions[target], -1));
    const std::size_t last = m_available.back();
    m_available.pop_back();
    if (last != target) {
        m_available[position] = last;
        m_positions[last] = static_cast<std::int32_t>(position);
    }
}

bool TargetGroup::isEmpty() const
{
    return m_available.empty();
}

const std::vector<std::size_t> &TargetGroup::available() const
{
    return m_available;
}

std::optional<std::size_t> TargetGroup::choose(const WorkItem &item, const std::vector<TargetState> &states, RandomSource &random) const
{
    const std::optional<std::size_t> byWait = chooseByWait(item, states, random);
    if (!byWait || item.affinityKey == 0) {
        return byWait;
    }
    const std::optional<std::size_t> byAffinity = chooseByAffinity(item, states);
    if (!byAffinity || states[*byAffinity].expectedWait() > AFFINITY_LOAD_BOUND * states[*byWait].expectedWait()) {
        return byWait;
    }
    return byAffinity;
}

std::optional<std::size_t> TargetGroup::chooseByAffinity(const WorkItem &item, const std::vector<TargetState> &states) const
{
    auto point = std::lower_bound(m_ring.begin(), m_ring.end(), std::pair<std::uint64_t, std::size_t>(item.affinityKey, 0));
    for (int step = 0; step < MAX_RING_STEPS && !m_ring.empty(); ++step, ++point) {
        if (point == m_ring.end()) {
            point = m_ring.begin();
        }
        if (isAvailable(point->second) && !isAvoided(item, states[point->second])) {
            return point->second;
        }
    }
    return std::nullopt;
}

// Power of two choices: compares the expected waits of two random targets.
std::optional<std::size_t> TargetGroup::chooseByWait(const WorkItem &item,
                                                     const std::vector<TargetState> &states,
                                                     RandomSource &random) const
{
    if (m_available.empty()) {
        return std::nullopt;
    }
    const auto draw = [this, &random] { return std::uniform_int_distribution<std::size_t>(0, m_available.size() - 1)(random); };
    std::size_t first = draw();
    std::size_t second = draw();
    const std::size_t next = (first + 1) % m_available.size();
    first = isAvoided(item, states[m_available[first]]) ? next : first;
    second = first == second || isAvoided(item, states[m_available[second]]) ? (first + 1) % m_available.size() : second;
    if (isAvoided(item, states[m_available[first]])) {
        return std::nullopt;
    }
    const std::size_t left = m_available[first];
    const std::size_t right = m_available[second];
    return !isAvoided(item, states[right]) && states[right].expectedWait() < states[left].expectedWait() ? right : left;
}

bool TargetGroup::isAvailable(std::size_t target) const
{
    return target < m_positions.size() && m_positions[target] >= 0;
}

} // namespace CassiaRelay::Routing
