#include "celladapter.h"

#include "controlplane.h"
#include "workrouter.h"

namespace CassiaRelay::Daemon {

CellLink cellLinkTo(ControlPlane &control)
{
    CellLink link;
    link.requestPermit = [&control](const Routing::RequestPermit &need) {
        control.requestPermit({ need.work, need.target, need.incarnation, need.bound, need.deadline });
    };
    link.returnPermit = [&control](const Routing::ReturnPermit &permit) {
        control.returnPermit(permit.work, permit.target, permit.succeeded);
    };
    link.reportLoss = [&control](const Routing::ReportLoss &report) { control.reportLoss(report.fingerprint, report.target); };
    link.retractLoss = [&control](const Routing::RetractLoss &report) { control.retractLoss(report.fingerprint, report.target); };
    link.reportSurvived = [&control](const Routing::ReportSurvived &report) { control.reportSurvived(report.fingerprint); };
    return link;
}

Routing::QuarantineState toRouting(Fleet::QuarantineState state)
{
    switch (state) {
    case Fleet::QuarantineState::Clear:
        return Routing::QuarantineState::Cleared;
    case Fleet::QuarantineState::Suspect:
        return Routing::QuarantineState::Suspect;
    case Fleet::QuarantineState::Quarantined:
        return Routing::QuarantineState::Quarantined;
    }
    return Routing::QuarantineState::Cleared;
}

Routing::CellDemand toRouting(const VmId &self, const Fleet::DemandChanged &changed)
{
    Routing::CellDemand shares;
    shares.self = self;
    for (const auto &[pool, members] : changed.demand) {
        std::vector<Routing::MemberDemand> &demands = shares.pools[pool];
        for (const Fleet::MemberLoad &member : members) {
            demands.push_back({ member.vm, member.demand, member.isReachable });
        }
    }
    return shares;
}

std::vector<Fleet::PoolDemand> toFleet(const std::vector<Routing::PoolDemand> &demand)
{
    std::vector<Fleet::PoolDemand> converted;
    converted.reserve(demand.size());
    for (const Routing::PoolDemand &entry : demand) {
        converted.push_back({ entry.pool, entry.demand });
    }
    return converted;
}

} // namespace CassiaRelay::Daemon
