#pragma once

#include "workitem.h"

#include <common/common.h>

#include <variant>
#include <vector>

namespace CassiaRelay::Routing {

/** The work has a slot on the target and starts now. */
struct Assign {
    WorkId work;
    TargetId target;
};

/** The work will not run; it holds no slot. */
struct Reject {
    WorkId work;
    Refusal refusal;
};

/** Asks the steward of a target that is not warm whether the work may run there; answered by Dispatcher::onPermit. */
struct RequestPermit {
    WorkId work;
    TargetId target;
    Incarnation incarnation;
    int bound = 0; ///< concurrent work that the target bears when freshly started
    MonotonicTime deadline;
};

/** The work that had a permit has ended, or never started. */
struct ReturnPermit {
    WorkId work;
    TargetId target;
    bool succeeded = false;
};

/** The target was lost while it ran a request with this fingerprint; whether it died is not known yet. */
struct ReportLoss {
    Fingerprint fingerprint;
    TargetId target;
};

/** The target of a reported loss lives: the loss had another reason. */
struct RetractLoss {
    Fingerprint fingerprint;
    TargetId target;
};

/** A suspected request ended without harm to its target. */
struct ReportSurvived {
    Fingerprint fingerprint;
};

using Decision = std::variant<Assign, Reject, RequestPermit, ReturnPermit, ReportLoss, RetractLoss, ReportSurvived>;
using Decisions = std::vector<Decision>;

/** What the cell knows of a request that was aboard a target that died. */
enum class QuarantineState {
    Cleared,
    Suspect,     ///< runs alone on a target
    Quarantined, ///< is refused
};

} // namespace CassiaRelay::Routing
