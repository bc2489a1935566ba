#pragma once

#include <common/common.h>

#include <string>
#include <tuple>
#include <variant>

namespace CassiaRelay::Fleet {

/** Identifies a non-repeatable stage of a request, which runs at most once, by the idempotency key of the caller. */
struct GrantKey {
    OrganisationId organisation;
    std::string idempotencyKey;
    StageName stage;

    friend bool operator<(const GrantKey &left, const GrantKey &right)
    {
        return std::tie(left.organisation, left.idempotencyKey, left.stage)
            < std::tie(right.organisation, right.idempotencyKey, right.stage);
    }
    friend bool operator==(const GrantKey &left, const GrantKey &right)
    {
        return std::tie(left.organisation, left.idempotencyKey, left.stage)
            == std::tie(right.organisation, right.idempotencyKey, right.stage);
    }
};

/** Identifies a claim of one daemon; unique within the incarnation of the daemon. */
using ClaimId = StrongId<struct ClaimTag, std::uint64_t>;

/** Request for the right to run a stage. */
struct GrantClaim {
    ClaimId id;
    GrantKey key;
    Fingerprint fingerprint; ///< hash of organisation and body; a key that is re-sent with another body is refused
    MonotonicTime deadline;
};

/** The claim holds the grant: this daemon may send the stage. */
struct GrantHeld {
    MonotonicTime startBefore; ///< the stage must start before this time; checked again immediately before the first byte is written
};

/** The stage has already run for this or another daemon; carries its result. */
struct GrantReplayed {
    std::string result; ///< JSON text
};

/** The stage must not be sent under this claim. */
struct GrantRefused {
    Refusal refusal;
};

using GrantDecision = std::variant<GrantHeld, GrantReplayed, GrantRefused>;

/** How a granted stage ended. */
enum class GrantEnd {
    Succeeded,
    NotRun, ///< proven: no byte was sent, or the target refused it before it ran
    Unknown,
};

} // namespace CassiaRelay::Fleet
