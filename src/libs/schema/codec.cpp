#include "codec.h"

#include "boundedjson.h"

#include <common/common.h>

namespace CassiaRelay::Schema {

namespace {

template<typename Message>
constexpr const char *KIND = nullptr;
template<>
constexpr const char *KIND<Hello> = "hello";
template<>
constexpr const char *KIND<Heartbeat> = "heartbeat";
template<>
constexpr const char *KIND<DocumentRequest> = "documentRequest";
template<>
constexpr const char *KIND<DocumentReply> = "documentReply";
template<>
constexpr const char *KIND<ViewPull> = "viewPull";
template<>
constexpr const char *KIND<ViewAnswer> = "viewAnswer";
template<>
constexpr const char *KIND<ViewNews> = "viewNews";
template<>
constexpr const char *KIND<GrantRequest> = "grantRequest";
template<>
constexpr const char *KIND<GrantReply> = "grantReply";
template<>
constexpr const char *KIND<GrantRelease> = "grantRelease";
template<>
constexpr const char *KIND<GrantFinish> = "grantFinish";
template<>
constexpr const char *KIND<HolderQuery> = "holderQuery";
template<>
constexpr const char *KIND<HolderReply> = "holderReply";
template<>
constexpr const char *KIND<PermitAsk> = "permitAsk";
template<>
constexpr const char *KIND<PermitAnswer> = "permitAnswer";
template<>
constexpr const char *KIND<PermitReturn> = "permitReturn";
template<>
constexpr const char *KIND<QuarantineReport> = "quarantineReport";

// Tries the alternatives one after the other until one has the kind of the message.
template<std::size_t Index = 0>
std::optional<PeerMessage> fromKind(const std::string &kind, const json &body)
{
    if constexpr (Index < std::variant_size_v<PeerMessage>) {
        using Message = std::variant_alternative_t<Index, PeerMessage>;
        if (kind == KIND<Message>) {
            return body.get<Message>();
        }
        return fromKind<Index + 1>(kind, body);
    } else {
        return std::nullopt;
    }
}

} // namespace

std::string encode(const PeerMessage &message)
{
    json document = json::object();
    std::visit([&document](const auto &body) { document[KIND<std::decay_t<decltype(body)>>] = body; }, message);
    return toCbor(document);
}

std::optional<PeerMessage> decode(std::string_view bytes)
{
    try {
        const json document = parseBoundedCbor(bytes);
        if (!document.is_object() || document.size() != 1) {
            throw Error(ErrorKind::BadRequest, "peer message is not an object with one field");
        }
        return fromKind(document.begin().key(), document.begin().value());
    } catch (const std::exception &failure) {
        throw Error(
            ErrorKind::BadRequest, std::string("peer message cannot be read: ") + failure.what(), "run the same release on all VMs");
    }
}

} // namespace CassiaRelay::Schema
