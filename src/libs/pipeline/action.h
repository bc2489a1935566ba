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

/** Names one attempt of one stage; answers that carry another id are dropped. */
using AttemptId = StrongId<struct AttemptTag>;

/** Asks the dispatcher for a slot. */
struct SubmitWork {
    Routing::WorkItem item;
    StageName stage;
};

/** Takes back work that has no slot yet. */
struct WithdrawWork {
    WorkId work;
};

/** Tells the dispatcher that the slot of the work is free. */
struct ReleaseWork {
    WorkId work;
    Routing::AttemptOutcome outcome = Routing::AttemptOutcome::Cancelled;
    Duration serviceTime {};
};

/** Calls the target now. */
struct SendAttempt {
    AttemptId attempt;
    TargetId target;
    std::string path;
    std::string body;
    Schema::StageKind kind = Schema::StageKind::Call;
    MonotonicTime deadline;
    bool repeatable = true;
    /** Checked again immediately before the first byte is written; too late is AttemptOutcome::Unreachable. */
    MonotonicTime sendBefore;
};

/** Ends a call whose answer is no longer wanted. */
struct CancelAttempt {
    AttemptId attempt;
};

/** Asks the cell for the right to run a non-repeatable stage; answered by RequestMachine::onGrant. */
struct AcquireGrant {
    Fleet::GrantKey key;
    Fingerprint fingerprint;
    MonotonicTime deadline;
};

/** Ends the grant that was held. */
struct FinishGrant {
    Fleet::GrantEnd end = Fleet::GrantEnd::Unknown;
    std::string result; ///< JSON text when it succeeded
};

/** Hands the next part of the answer to a streaming caller. */
struct DeliverText {
    std::string text;
};

/** The whole answer; the last action of a request that succeeded. */
struct Answer {
    nlohmann::json results;
    std::string text;
};

/** The last action of a request that did not succeed. */
struct Refuse {
    Refusal refusal;
};

/** Calls onTimer at that time; replaces an earlier one. */
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
