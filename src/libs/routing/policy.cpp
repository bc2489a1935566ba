#include "policy.h"

#include <algorithm>

namespace CassiaRelay::Routing {

Policy makePolicy(Schema::PolicyKind kind)
{
    switch (kind) {
    case Schema::PolicyKind::Managed:
        return ManagedPolicy {};
    case Schema::PolicyKind::Random:
        return RandomPolicy {};
    case Schema::PolicyKind::RoundRobin:
        return RoundRobinPolicy {};
    case Schema::PolicyKind::LeastInFlight:
        return LeastInFlightPolicy {};
    }
    return ManagedPolicy {};
}

bool isManaged(const Policy &policy)
{
    return std::holds_alternative<ManagedPolicy>(policy);
}

std::optional<std::size_t> chooseUnmanaged(Policy &policy,
                                           const std::vector<std::size_t> &members,
                                           const std::vector<TargetState> &states,
                                           RandomSource &random)
{
    std::vector<std::size_t> candidates;
    for (const std::size_t target : members) {
        if (states[target].isPublished && states[target].published.acceptsWork()) {
            candidates.push_back(target);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto hasLessInFlight = [&states](std::size_t left, std::size_t right) { return states[left].inFlight < states[right].inFlight; };
    return std::visit(Overloaded {
                          [](const ManagedPolicy &) { return std::optional<std::size_t>(); },
                          [&](const RandomPolicy &) {
                              return std::optional(
                                  candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)]);
                          },
                          [&](RoundRobinPolicy &roundRobin) { return std::optional(candidates[roundRobin.next++ % candidates.size()]); },
                          [&](const LeastInFlightPolicy &) {
                              return std::optional(*std::min_element(candidates.begin(), candidates.end(), hasLessInFlight));
                          },
                      },
                      policy);
}

} // namespace CassiaRelay::Routing
