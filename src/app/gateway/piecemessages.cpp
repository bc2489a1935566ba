#include "piecemessages.h"

#include <algorithm>

namespace CassiaRelay::GatewayDaemon {

namespace {

std::int64_t millisecondsUntil(MonotonicTime time, MonotonicTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time - now).count();
}

Schema::PieceFailureName toName(Gateway::PieceFailure failure)
{
    switch (failure) {
    case Gateway::PieceFailure::Late:
        return Schema::PieceFailureName::Late;
    case Gateway::PieceFailure::InputGone:
        return Schema::PieceFailureName::InputGone;
    case Gateway::PieceFailure::NoRoom:
        return Schema::PieceFailureName::NoRoom;
    case Gateway::PieceFailure::Withdrawn:
        return Schema::PieceFailureName::Withdrawn;
    case Gateway::PieceFailure::Failed:
        break;
    }
    return Schema::PieceFailureName::Failed;
}

Gateway::PieceFailure fromName(Schema::PieceFailureName name)
{
    switch (name) {
    case Schema::PieceFailureName::Late:
        return Gateway::PieceFailure::Late;
    case Schema::PieceFailureName::InputGone:
        return Gateway::PieceFailure::InputGone;
    case Schema::PieceFailureName::NoRoom:
        return Gateway::PieceFailure::NoRoom;
    case Schema::PieceFailureName::Withdrawn:
        return Gateway::PieceFailure::Withdrawn;
    case Schema::PieceFailureName::Failed:
        break;
    }
    return Gateway::PieceFailure::Failed;
}

} // namespace

Schema::PieceOrder toMessage(const Gateway::PieceOrder &pieceOrder, MonotonicTime now)
{
    Schema::PieceOrder message;
    message.request = pieceOrder.request.value();
    message.service = pieceOrder.service.value();
    message.stage = static_cast<std::int64_t>(pieceOrder.stage);
    message.rank = pieceOrder.rank;
    message.patienceMs = millisecondsUntil(pieceOrder.hardDeadline, now);
    message.usefulMs = millisecondsUntil(pieceOrder.softDeadline, now);
    message.resultBytes = static_cast<std::int64_t>(pieceOrder.resultBytes);
    message.pieceKey = pieceOrder.inputKey;
    if (pieceOrder.preferredDomain) {
        message.preferredDomain = pieceOrder.preferredDomain->value();
    }
    if (pieceOrder.inputBytes) {
        message.inputBytes = static_cast<std::int64_t>(*pieceOrder.inputBytes);
    }
    if (!pieceOrder.allowedRegions.empty()) {
        message.regions.emplace();
        for (const Gateway::Region &region : pieceOrder.allowedRegions) {
            message.regions->push_back(region.value());
        }
    }
    message.inputs = pieceOrder.inputs;
    if (!pieceOrder.inputTargets.empty()) {
        message.inputTargets.emplace();
        for (const TargetId &target : pieceOrder.inputTargets) {
            message.inputTargets->push_back(target.value());
        }
    }
    message.pieces.assign(pieceOrder.pieces.begin(), pieceOrder.pieces.end());
    if (pieceOrder.organisation) {
        message.organisation = pieceOrder.organisation->value();
    }
    if (pieceOrder.caller) {
        message.caller = static_cast<std::int64_t>(pieceOrder.caller->value());
    }
    return message;
}

Gateway::PieceOrder fromMessage(const Schema::PieceOrder &message, MonotonicTime now)
{
    Gateway::PieceOrder pieceOrder;
    pieceOrder.request = RequestId(message.request);
    pieceOrder.service = Gateway::ServiceName(message.service);
    pieceOrder.stage = static_cast<std::size_t>(message.stage);
    pieceOrder.rank = static_cast<int>(message.rank);
    pieceOrder.hardDeadline = now + std::chrono::milliseconds(message.patienceMs);
    pieceOrder.softDeadline = now + std::chrono::milliseconds(message.usefulMs);
    pieceOrder.resultBytes = static_cast<std::size_t>(message.resultBytes);
    pieceOrder.inputKey = message.pieceKey.value_or(std::string());
    if (message.preferredDomain) {
        pieceOrder.preferredDomain = FailureDomain(*message.preferredDomain);
    }
    if (message.inputBytes && *message.inputBytes >= 0) {
        pieceOrder.inputBytes = static_cast<std::size_t>(*message.inputBytes);
    }
    for (const std::string &region : message.regions.value_or(std::vector<std::string>())) {
        pieceOrder.allowedRegions.emplace_back(region);
    }
    pieceOrder.inputs = message.inputs.value_or(std::vector<std::string>());
    for (const std::string &target : message.inputTargets.value_or(std::vector<std::string>())) {
        pieceOrder.inputTargets.emplace_back(target);
    }
    pieceOrder.pieces.assign(message.pieces.begin(), message.pieces.end());
    if (message.organisation) {
        pieceOrder.organisation = OrganisationId(*message.organisation);
    }
    if (message.caller) {
        pieceOrder.caller = Fingerprint(static_cast<std::uint64_t>(*message.caller));
    }
    return pieceOrder;
}

Schema::PieceResults toMessage(const std::vector<Gateway::PieceCompletion> &completions)
{
    Schema::PieceResults message;
    for (const Gateway::PieceCompletion &completion : completions) {
        Schema::PieceResult result;
        result.piece = completion.piece;
        std::visit(Overloaded {
                       [&result](const Gateway::StageResult &stageResult) {
                           result.handle = stageResult.handle;
                           result.target = stageResult.target.value();
                       },
                       [&result](Gateway::PieceFailure failure) { result.failure = toName(failure); },
                   },
                   completion.outcome);
        if (completion.retryAfter) {
            result.retryAfterMs = std::chrono::duration_cast<std::chrono::milliseconds>(*completion.retryAfter).count();
        }
        message.results.push_back(std::move(result));
    }
    return message;
}

std::vector<Gateway::PieceCompletion> fromMessage(const Schema::PieceResults &message)
{
    std::vector<Gateway::PieceCompletion> completions;
    for (const Schema::PieceResult &result : message.results) {
        Gateway::PieceCompletion completion;
        completion.piece = static_cast<int>(result.piece);
        if (result.handle && result.target) {
            completion.outcome = Gateway::StageResult { *result.handle, TargetId(*result.target) };
        } else {
            completion.outcome = fromName(result.failure.value_or(Schema::PieceFailureName::Failed));
        }
        if (result.retryAfterMs && *result.retryAfterMs >= 0) {
            completion.retryAfter = std::chrono::milliseconds(*result.retryAfterMs);
        }
        completions.push_back(std::move(completion));
    }
    return completions;
}

Schema::ServiceLoad toMessage(const Gateway::ServiceLoadReport &report)
{
    Schema::ServiceLoad message;
    message.service = report.service.value();
    for (const Duration time : report.completionTimes) {
        message.waitMs.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }
    message.targets = static_cast<std::int64_t>(report.targets);
    message.waiting = static_cast<std::int64_t>(report.waitingPieces);
    if (report.freeBytes) {
        message.freeBytes = static_cast<std::int64_t>(*report.freeBytes);
    }
    return message;
}

Gateway::ServiceLoadReport fromMessage(const Schema::ServiceLoad &message)
{
    Gateway::ServiceLoadReport report;
    report.service = Gateway::ServiceName(message.service);
    for (const std::int64_t milliseconds : message.waitMs) {
        if (report.completionTimes.size() >= Gateway::ServiceLoadReport::MAX_RANKS) {
            break;
        }
        report.completionTimes.emplace_back(std::chrono::milliseconds(std::max<std::int64_t>(0, milliseconds)));
    }
    report.targets = static_cast<std::size_t>(std::max<std::int64_t>(0, message.targets));
    report.waitingPieces = static_cast<std::size_t>(std::max<std::int64_t>(0, message.waiting));
    if (message.freeBytes) {
        report.freeBytes = static_cast<std::size_t>(std::max<std::int64_t>(0, *message.freeBytes));
    }
    return report;
}

} // namespace CassiaRelay::GatewayDaemon
