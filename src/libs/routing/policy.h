#pragma once

#include "targetstate.h"

#include <variant>

namespace CassiaRelay::Routing {

/** Admission, limits and choice by expected wait. */
struct ManagedPolicy {
};

/** Baseline: any target, at once. */
struct RandomPolicy {
};

/** Baseline: one target after the other, at once. */
struct RoundRobinPolicy {
    std::size_t next = 0;
};

/** Baseline: the target with the least work of this daemon, at once. */
struct LeastInFlightPolicy {
};

using Policy = std::variant<ManagedPolicy, RandomPolicy, RoundRobinPolicy, LeastInFlightPolicy>;

Policy makePolicy(Schema::PolicyKind kind);
bool isManaged(const Policy &policy);
/** Choice of a baseline among members, which are indexes into states; empty for the managed policy. */
std::optional<std::size_t> chooseUnmanaged(Policy &policy,
                                           const std::vector<std::size_t> &members,
                                           const std::vector<TargetState> &states,
                                           RandomSource &random);

} // namespace CassiaRelay::Routing
