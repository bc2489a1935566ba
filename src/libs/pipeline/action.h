#pragma once

#include <common/common.h>
#include <fleet/fleet.h>
#include <routing/routing.h>
#include <settings/settings.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace CassiaRelay::Pipeline {

/** Identifies one attempt of one stage; responses with another id are ignored. */
using AttemptId = StrongId<struct AttemptTag>;

/** Asks the dispatcher for a slot. */
struct SubmitWork {
    Routing::WorkItem item;
    StageName stage;
};

/** Withdraws a work item that has no slot yet. */
struct WithdrawWork {
    WorkId work;
};

/** Tells the dispatcher that the slot of the work item is free. */
struct ReleaseWork {
    WorkId work;
    Routing::AttemptOutcome outcome = Routing::AttemptOutcome::Cancelled;
    Duration serviceTime {};
};

/** Sends the call to the target. */
struct SendAttempt {
    AttemptId attempt;
    TargetId target;
    std::string path;
    std::string body;
    Schema::StageKind kind = Schema::StageKind::Call;
    MonotonicTime deadline;
    bool repeatable = true;
    /**
     * Latest time to send the call. Checked again right before the first byte is written; if it has passed, the attempt
     * fails as AttemptOutcome::Unreachable.
     */
    MonotonicTime sendBefore;
};

/** Cancels a call whose response is no longer needed. */
struct CancelAttempt {
    AttemptId attempt;
};

/** Asks the cell for the right to run a non-repeatable stage; answered through RequestMachine::onGrant. */
struct AcquireGrant {
    Fleet::GrantKey key;
    Fingerprint fingerprint;
    MonotonicTime deadline;
};

/** Ends the held grant. */
struct FinishGrant {
    Fleet::GrantEnd end = Fleet::GrantEnd::Unknown;
    std::string result; ///< JSON text if the stage succeeded
};

/** Sends the next part of the answer to a streaming caller. */
struct DeliverText {
    std::string text;
};

/** The complete answer; the last action of a request that succeeded. */
struct Answer {
    nlohmann::json results;
    std::string text;
};

/** The last action of a request that did not succeed. */
struct Refuse {
    Refusal refusal;
};

/** Schedules a call of RequestMachine::onTimer; replaces an earlier timer. */
struct ArmTimer {
    MonotonicTime at;
};

using Action = std::variant<SubmitWork,
                            WithdrawWork,
                            ReleaseWork,
                            SendAttempt,
                            CancelAttempt,
                            AcquireGrant,
                            FinishGrant,
                            DeliverText,
                            Answer,
                            Refuse,
                            ArmTimer>;
using Actions = std::vector<Action>;

} // namespace CassiaRelay::Pipeline
