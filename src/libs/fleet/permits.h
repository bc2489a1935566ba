#pragma once

#include "cell.h"
#include "output.h"
#include "permit.h"

#include <common/common.h>

#include <map>
#include <utility>

namespace CassiaRelay::Fleet {

/**
 * Limits the concurrent work of all daemons on a target that is not warm.
 *
 * The owner of a target is the member with the highest rendezvous hash for it. It grants permits only to daemons in its own view.
 * After a change of the view, holders report their permits to the new owner before it grants any.
 */
class Permits
{
public:
    Permits(VmId self, Incarnation incarnation);

    /** Requests a permit from the owner of the target. Exactly one PermitDecided follows. */
    Outputs request(const PermitRequest &request, MonotonicTime now);
    Outputs returnPermit(WorkId work, const TargetId &target, bool succeeded);
    Outputs onAsk(const VmId &from, const Schema::PermitAsk &ask, MonotonicTime now);
    Outputs onAnswer(const Schema::PermitAnswer &answer);
    void onReturn(const VmId &from, const Schema::PermitReturn &returned);
    /** Switches to a new view, expires permits past their deadline and denies requests that were not answered in time. */
    Outputs tick(const Cell &cell, MonotonicTime now);

    /** Number of permits that this daemon, as the owner of the target, has granted and that were neither returned nor expired. */
    std::size_t outstanding(const TargetId &target) const;

private:
    /** A permit that this daemon requested or holds. */
    struct RequestEntry {
        PermitRequest request;
        MonotonicTime answerDeadline;
        bool held = false;
    };
    /** Daemon that holds a permit, and the unit of work that the permit is for. */
    using Holder = std::pair<VmId, WorkId>;
    /** Permits that this daemon granted as the owner of a target. */
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
    MonotonicTime m_handoverEnd; ///< until then, holders report their permits to a new owner and it grants none
    std::map<WorkId, RequestEntry> m_requests;
    std::map<TargetId, OwnedTarget> m_ownedTargets;
};

} // namespace CassiaRelay::Fleet
