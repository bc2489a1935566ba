#pragma once

#include <fleet/fleet.h>
#include <routing/routing.h>

#include <vector>

namespace CassiaRelay::Daemon {

class ControlPlane;

/** Entry points of the control plane as the router uses them. */
struct CellLink;

CellLink cellLinkTo(ControlPlane &control);

Routing::QuarantineState toRouting(Fleet::QuarantineState state);
Routing::CellDemand toRouting(const VmId &self, const Fleet::DemandChanged &changed);
std::vector<Fleet::PoolDemand> toFleet(const std::vector<Routing::PoolDemand> &demand);

} // namespace CassiaRelay::Daemon
