#pragma once

#include "workitem.h"

#include <common/common.h>

#include <variant>
#include <vector>

namespace CassiaRelay::Routing {

/** The work item has a slot on the target and starts now. */
struct Assign {
    WorkId work;
    TargetId target;
};

/** The work item will not run; it holds no slot. */
struct Reject {
    WorkId work;
    Refusal refusal;
};

/** Asks the owner of a target that is not warm whether the work item may run there; answered through Dispatcher::onPermit. */
struct RequestPermit {
    WorkId work;
    TargetId target;
    Incarnation incarnation;
    int bound = 0; ///< concurrency limit of the target right after its start
    MonotonicTime deadline;
};

/** Returns the permit of a work item that has ended or was never started. */
struct ReturnPermit {
    WorkId work;
    TargetId target;
    bool succeeded = false;
};

/** The connection to the target was lost while it ran a request with this fingerprint; whether the target crashed is not known yet. */
struct ReportLoss {
    Fingerprint fingerprint;
    TargetId target;
};

/** Withdraws a reported loss: the target still runs, so the connection was lost for another reason. */
struct RetractLoss {
    Fingerprint fingerprint;
    TargetId target;
};

/** A suspect request succeeded without crashing its target. */
struct ReportSurvived {
    Fingerprint fingerprint;
};

using Decision = std::variant<Assign, Reject, RequestPermit, ReturnPermit, ReportLoss, RetractLoss, ReportSurvived>;
using Decisions = std::vector<Decision>;

/** Whether, and how, a request may run after connections were lost while targets ran it. */
enum class QuarantineState {
    Cleared,
    Suspect,     ///< runs only on a target that runs nothing else
    Quarantined, ///< is refused
};

} // namespace CassiaRelay::Routing
