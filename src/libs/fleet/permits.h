#pragma once

#include "cell.h"
#include "output.h"
#include "permit.h"

#include <common/common.h>

#include <map>
#include <utility>

namespace CassiaRelay::Fleet {

/**
 * Bounds the work of all daemons on a target that is not warm.
 *
 * The steward of a target is the member that comes first for it by rendezvous hash. It answers only in the view of the asker.
 * When the view changes, holders tell the new steward what they hold before it grants anything.
 */
class Permits
{
public:
    Permits(VmId self, Incarnation incarnation);

    /** Asks the steward; exactly one PermitDecided follows. */
    Outputs request(const PermitRequest &request, MonotonicTime now);
    Outputs returnPermit(WorkId work, const TargetId &target, bool succeeded);
    Outputs onAsk(const VmId &from, const Schema::PermitAsk &ask, MonotonicTime now);
    Outputs onAnswer(const Schema::PermitAnswer &answer);
    void onReturn(const VmId &from, const Schema::PermitReturn &returned);
    /** Takes over a new view, ends what has passed its deadline, refuses what was not answered. */
    Outputs tick(const Cell &cell, MonotonicTime now);

    /** Permits that this daemon has granted for the target as its steward. */
    std::size_t outstanding(const TargetId &target) const;

private:
    /** What this daemon asked for as a user of targets. */
    struct RequestEntry {
        PermitRequest request;
        MonotonicTime answerDeadline;
        bool held = false;
    };
    /** Work of one holder. */
    using Holder = std::pair<VmId, WorkId>;
    /** What this daemon granted as the steward of a target. */
    struct OwnedTarget {
        Incarnation incarnation;
        std::map<Holder, MonotonicTime> expiryTimes;
    };

    VmId ownerOf(const TargetId &target) const;
    Schema::PermitAsk askMessage(const RequestEntry &entry, MonotonicTime now) const;
    Outputs adopt(const Cell &cell, MonotonicTime now);
    void expire(MonotonicTime now);

    VmId m_self;
    Incarnation m_incarnation;
    Cell m_cell;
    MonotonicTime m_handoverEnd; ///< end of the time in which holders report to a new steward
    std::map<WorkId, RequestEntry> m_requests;
    std::map<TargetId, OwnedTarget> m_ownedTargets;
};

} // namespace CassiaRelay::Fleet
