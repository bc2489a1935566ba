#include "handovermessages.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr const char *DECLINED_FIELD = "Cell-Declined";

std::int64_t millisecondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

} // namespace

void removeCellFields(std::vector<HttpField> &fields)
{
    const auto isOfCell = [](const HttpField &field) {
        return boost::beast::iequals(field.name, HANDOVER_FIELD) || boost::beast::iequals(field.name, LEAVING_TARGET_FIELD)
            || boost::beast::iequals(field.name, ORIGIN_FIELD);
    };
    fields.erase(std::remove_if(fields.begin(), fields.end(), isOfCell), fields.end());
}

std::string handoverText(const Gateway::HandOverRequest &action,
                         const Gateway::RelayRequest &request,
                         const VmId &sender,
                         MonotonicTime now)
{
    Schema::HandedOverRequest message;
    message.vm = sender.value();
    message.configuration = request.table->version();
    message.ageMs = millisecondsBetween(request.arrivedAt, now);
    message.leftMs = millisecondsBetween(now, action.deadline);
    message.attempts = action.handover.attempts;
    for (const TargetId &target : action.handover.triedTargets) {
        message.tried.push_back(target.value());
    }
    message.resumeAfter = action.resumeAfter;
    message.takesOrigin = true;
    if (action.handover.origin) {
        message.service = action.handover.origin->service.value();
        message.version = action.handover.origin->softwareVersion;
    }
    return nlohmann::json(message).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

Schema::HandedOverRequest parseHandover(const std::string &text)
{
    return nlohmann::json::parse(text).get<Schema::HandedOverRequest>();
}

Gateway::Handover toHandover(const Schema::HandedOverRequest &message)
{
    Gateway::Handover handover;
    handover.attempts = static_cast<int>(message.attempts);
    for (const std::string &target : message.tried) {
        handover.triedTargets.insert(TargetId(target));
    }
    if (message.service && message.version) {
        handover.origin = Gateway::StreamOrigin { Gateway::ServiceName(*message.service), *message.version };
    }
    handover.takesOrigin = message.takesOrigin.value_or(false);
    return handover;
}

std::string originText(const Gateway::StreamOrigin &origin)
{
    Schema::RelayedStream message;
    message.service = origin.service.value();
    message.version = origin.softwareVersion;
    return nlohmann::json(message).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

std::optional<Gateway::StreamOrigin> readOrigin(const Net::HttpCallHead &head)
{
    const auto field = head.fields.find(ORIGIN_FIELD);
    if (field == head.fields.end()) {
        return std::nullopt;
    }
    const auto message = nlohmann::json::parse(std::string(field->value())).get<Schema::RelayedStream>();
    return Gateway::StreamOrigin { Gateway::ServiceName(message.service), message.version };
}

Net::HttpResponse declineResponse(Gateway::DeclineReason reason)
{
    Net::HttpResponse response;
    response.status = STATUS_UNAVAILABLE;
    response.contentType.clear();
    response.fields.push_back({ DECLINED_FIELD, std::string(toString(reason)) });
    return response;
}

std::optional<Gateway::DeclineReason> declineReason(const Net::HttpCallHead &head)
{
    const auto field = head.fields.find(DECLINED_FIELD);
    if (field == head.fields.end()) {
        return std::nullopt;
    }
    for (const Gateway::DeclineReason reason : { Gateway::DeclineReason::Blocked, Gateway::DeclineReason::Unreachable }) {
        if (field->value() == toString(reason)) {
            return reason;
        }
    }
    return Gateway::DeclineReason::Unavailable;
}

} // namespace CassiaRelay::GatewayDaemon
