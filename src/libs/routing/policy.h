#pragma once

#include "targetstate.h"

#include <variant>

namespace CassiaRelay::Routing {

/** Admission control, limits, and selection by expected wait. */
struct ManagedPolicy {
};

/** Baseline for comparison: assigns to a random target immediately. */
struct RandomPolicy {
};

/** Baseline for comparison: assigns to the targets in turn, immediately. */
struct RoundRobinPolicy {
    std::size_t next = 0;
};

/** Baseline for comparison: assigns to the target with the fewest work items of this daemon in flight, immediately. */
struct LeastInFlightPolicy {
};

using Policy = std::variant<ManagedPolicy, RandomPolicy, RoundRobinPolicy, LeastInFlightPolicy>;

Policy makePolicy(Schema::PolicyKind kind);
bool isManaged(const Policy &policy);
/**
 * Selects a target for a baseline policy. Empty if no member accepts work or the policy is managed.
 * @param members indexes into states
 */
std::optional<std::size_t> chooseUnmanaged(Policy &policy,
                                           const std::vector<std::size_t> &members,
                                           const std::vector<TargetState> &states,
                                           RandomSource &random);

} // namespace CassiaRelay::Routing
