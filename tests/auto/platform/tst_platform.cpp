#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/platform.h>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using nlohmann::json;

namespace {

const Platform::Adapter ADAPTER;
const MonotonicTime START = MonotonicTime() + std::chrono::hours(1);

std::string base64(const std::string &text)
{
    constexpr const char *ALPHABET = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8U | (index + byte < text.size() ? static_cast<unsigned char>(text[index + byte]) : 0U);
        }
        for (std::size_t symbol = 0; symbol < 4; ++symbol) {
            encoded += index + symbol > text.size() ? '=' : ALPHABET[group >> (18U - 6U * symbol) & 63U];
        }
    }
    return encoded;
}

json item(const std::string &key, const std::string &value)
{
    return { { "key", key }, { "value", base64(value) }, { "revision", 3 } };
}

StorePage page(const json &items)
{
    return ADAPTER.readPage(json { { "items", items }, { "truncated", false }, { "currentRev", 9 } }.dump());
}

const json TARGET_ENTRY { { "service", "svc" }, { "address", "10.0.0.9:8080" }, { "zone", "east" }, { "slots", 8 },
                          { "state", "ready" }, { "coldRemainingMs", 250.5 },   { "born", 17 },     { "seq", 4 },
                          { "version", "v1.2" } };

json targetEntryWith(const std::string &name, const json &value)
{
    json changed = TARGET_ENTRY;
    changed[name] = value;
    return changed;
}

const HttpField *find(const std::vector<HttpField> &fields, const std::string &name)
{
    for (const HttpField &field : fields) {
        if (field.name == name) {
            return &field;
        }
    }
    return nullptr;
}

} // namespace

BOOST_AUTO_TEST_CASE(serverEntryDescribesATarget)
{
    const StorePage listed = page(json::array({ item("servers/i-1", TARGET_ENTRY.dump()) }));
    BOOST_REQUIRE_EQUAL(listed.entries.size(), 1U);
    const TargetRecord record = std::get<TargetPublished>(listed.entries[0]).record;
    BOOST_TEST(record.id.value() == "i-1");
    BOOST_TEST(record.endpoint.text() == "10.0.0.9:8080");
    BOOST_TEST(record.failureDomain.value() == "east");
    BOOST_TEST(record.startedAt.time_since_epoch().count() == 17);
    BOOST_TEST(record.softwareVersion == TARGET_ENTRY.at("version").get<std::string>());
    BOOST_TEST(record.coldFor.count() == 250);
    BOOST_TEST(!record.isLeaving);
    BOOST_TEST(listed.revision == 9);
}

BOOST_AUTO_TEST_CASE(invalidEntriesDoNotAffectTheOthers)
{
    const std::vector<std::string> invalid { "not json",
                                             "[]",
                                             "{}",
                                             targetEntryWith("state", "resting").dump(),
                                             targetEntryWith("state", 3).dump(),
                                             targetEntryWith("address", "nowhere").dump(),
                                             targetEntryWith("born", "yesterday").dump(),
                                             targetEntryWith("version", 2).dump(),
                                             targetEntryWith("slots", json::array()).dump(),
                                             std::string("\xff\xfe\x00\x01", 4) };
    json items = json::array({ item("servers/good", TARGET_ENTRY.dump()) });
    for (std::size_t index = 0; index < invalid.size(); ++index) {
        items.push_back(item("servers/odd" + std::to_string(index), invalid[index]));
    }
    items.push_back({ { "key", "servers/text" }, { "value", "no base64!" } });
    items.push_back({ { "key", "servers/number" }, { "value", 5 } });
    items.push_back(item("other/key", "{}"));
    std::size_t published = 0;
    std::size_t rejected = 0;
    std::size_t removed = 0;
    for (const StoreEntry &entry : page(items).entries) {
        published += std::holds_alternative<TargetPublished>(entry) ? 1 : 0;
        rejected += std::holds_alternative<InvalidEntry>(entry) ? 1 : 0;
        removed += std::holds_alternative<TargetRemoved>(entry) ? 1 : 0;
    }
    BOOST_TEST(published == 1U);
    BOOST_TEST(rejected == invalid.size() + 2);
    BOOST_TEST(removed == rejected);
}

BOOST_AUTO_TEST_CASE(changesCarryRemovals)
{
    const json events { { { "key", "servers/i-1" }, { "revision", 4 }, { "removed", true } },
                        { { "key", "op/evacuate/east" }, { "revision", 5 }, { "removed", true } },
                        item("op/evacuate/west", "{}") };
    const StoreChanges changes = ADAPTER.readChanges(json { { "events", events }, { "currentRev", 6 } }.dump());
    BOOST_REQUIRE_EQUAL(changes.entries.size(), 3U);
    BOOST_TEST(std::get<TargetRemoved>(changes.entries[0]).id.value() == "i-1");
    BOOST_TEST(std::get<DomainRestored>(changes.entries[1]).domain.value() == "east");
    BOOST_TEST(std::get<DomainDisabled>(changes.entries[2]).domain.value() == "west");
    BOOST_TEST(changes.revision == 6);
    BOOST_CHECK_THROW(ADAPTER.readChanges("{}"), Error);
    BOOST_CHECK_THROW(ADAPTER.readChanges("<html>"), Error);
}

// Decoding every configuration of a quick succession once made a small VM adopt the newest one too late.
BOOST_AUTO_TEST_CASE(onlyTheNewestValidConfigurationOfAResponseIsDecoded)
{
    const auto configuration = [](int version) {
        return item("op/config", json { { "version", version }, { "routes", json::array() }, { "services", json::array() } }.dump());
    };
    const auto entriesOf = [](const json &events) {
        return ADAPTER.readChanges(json { { "events", events }, { "currentRev", 6 } }.dump()).entries;
    };
    const std::vector<StoreEntry> valid =
        entriesOf({ configuration(4), item("op/evacuate/west", "{}"), configuration(5), configuration(6) });
    BOOST_REQUIRE_EQUAL(valid.size(), 2U);
    BOOST_TEST(std::holds_alternative<DomainDisabled>(valid[0]));
    BOOST_TEST(std::get<ConfigurationPublished>(valid[1]).configuration.version == 6);
    const std::vector<StoreEntry> invalid = entriesOf({ configuration(4), configuration(5), item("op/config", "not json") });
    BOOST_REQUIRE_EQUAL(invalid.size(), 2U);
    BOOST_TEST(std::get<ConfigurationPublished>(invalid[0]).configuration.version == 5);
    BOOST_TEST(std::holds_alternative<InvalidEntry>(invalid[1]));
}

BOOST_AUTO_TEST_CASE(nextPageStartsAfterTheLastKey)
{
    const json items { item("servers/a", TARGET_ENTRY.dump()), item("servers/b", TARGET_ENTRY.dump()) };
    const StorePage first = ADAPTER.readPage(json { { "items", items }, { "truncated", true }, { "currentRev", 9 } }.dump());
    BOOST_TEST(first.nextAfter == "servers/b");
    BOOST_TEST(ADAPTER.listRequest(first.nextAfter).path.find("after=servers/b") != std::string::npos);
}

// Regression (review/7): a key went into the query as it was. Only unreserved characters (RFC 3986) and the slash stand for themselves.
BOOST_AUTO_TEST_CASE(keyIsEncodedInTheQuery)
{
    BOOST_TEST(ADAPTER.listRequest("servers/desk 3 old").path == "/api/kv-range?prefix=&after=servers/desk%203%20old");
    BOOST_TEST(ADAPTER.listRequest("a&b=c#d%e+f?\r\n\xC3\xA9~-._").path
               == "/api/kv-range?prefix=&after=a%26b%3Dc%23d%25e%2Bf%3F%0D%0A%C3%A9~-._");
}

BOOST_AUTO_TEST_CASE(eraOfTheStoreIsDecoded)
{
    BOOST_TEST(ADAPTER.storeEra({ { "store-era", "12" } }).value_or(0) == 12);
    BOOST_TEST(!ADAPTER.storeEra({ { "Store-Era", "x" } }).has_value());
    BOOST_TEST(!ADAPTER.storeEra({}).has_value());
}

BOOST_AUTO_TEST_CASE(configurationIsDecoded)
{
    const json document {
        { "version", 7 },
        { "routes",
          { { { "name", "r" },
              { "host", "h.example" },
              { "prefix", "/p/" },
              { "kind", "stream" },
              { "timeoutMs", 15000 },
              { "targetLatencyMs", 1400 },
              { "priority", 1 },
              { "maxAttempts", 2 },
              { "resumable", true },
              { "trafficSplit", { { { "service", "a" }, { "weight", 90 } }, { { "service", "b" }, { "weight", 10 } } } },
              { "stages", { { { "service", "s" }, { "after", json::array() }, { "bytes", 800000 } } } } } } },
        { "services",
          { { { "name", "s" },
              { "maxConns", 270 },
              { "pieces", { { "batch", 14 }, { "callMs", 240.0 }, { "itemMs", 15.5 }, { "headroomMb", 17.0 }, { "handleS", 4.0 } } } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "clinic" }, { "apiKeys", { "k" } }, { "priority", 1 } } } }
    };
    const StorePage listed = page(json::array({ item("op/config", document.dump()) }));
    const Configuration configuration = std::get<ConfigurationPublished>(listed.entries.at(0)).configuration;
    const Route &route = configuration.routes.at(0);
    BOOST_TEST(configuration.version == 7);
    BOOST_TEST((route.kind == RouteKind::Stream));
    BOOST_TEST(route.objective.count() == 1400);
    BOOST_TEST(route.services.size() == 2U);
    BOOST_TEST(route.isResumable);
    BOOST_TEST(route.stages.at(0).resultBytes == 800000U);
    BOOST_TEST((configuration.services.at(0).pieces->perPiece == std::chrono::microseconds(15500)));
    BOOST_TEST(configuration.services.at(0).pieces->resultBytes == 17000000U);
    BOOST_TEST(configuration.services.at(0).maxConnections.value_or(0) == 270);
    BOOST_TEST(configuration.limits.idleTimeout.count() == 15000);
    BOOST_TEST(configuration.organisations.at(0).rank.value_or(0) == 1);

    json unknownKind = document;
    unknownKind["routes"][0]["kind"] = "maybe";
    BOOST_TEST(std::holds_alternative<InvalidEntry>(page(json::array({ item("op/config", unknownKind.dump()) })).entries.at(0)));
}

BOOST_AUTO_TEST_CASE(callerFieldsAreDecoded)
{
    const CallerRequestHead head = ADAPTER.readCallerHead({ { "Host", "h.example" },
                                                            { "x-cassiarelay-request-id", "id-1" },
                                                            { "X-Cassiarelay-Deadline-Ms", "1500" },
                                                            { "Authorization", "Bearer secret" },
                                                            { "X-Cassiarelay-Token-Counts", "1460,80" },
                                                            { "X-Cassiarelay-Prompt-Prefix", "5c:800,91:410" },
                                                            { "X-Cassiarelay-Pieces", "2,0,1" },
                                                            { "Last-Event-Id", "12" },
                                                            { "Resumes", "id-0" },
                                                            { "X-Cassiarelay-Piece-Key", "key" } });
    BOOST_TEST(head.id.value() == "id-1");
    BOOST_TEST(head.requestTimeout->count() == 1500);
    BOOST_TEST(*head.key == "secret");
    BOOST_TEST(head.resumeAfter.value() == "12");
    BOOST_TEST(head.resumedStream.value().value() == "id-0");
    BOOST_TEST(head.prompt.promptTokens == 1460);
    BOOST_TEST(head.prompt.parts.size() == 2U);
    BOOST_TEST((head.pieceCounts == std::vector<int> { 2, 0, 1 }));
    BOOST_TEST(!ADAPTER.readCallerHead({ { "X-Cassiarelay-Deadline-Ms", "soon" } }).requestTimeout.has_value());
    BOOST_TEST(!ADAPTER.readCallerHead({ { "Authorization", "Basic secret" } }).key.has_value());
}

BOOST_AUTO_TEST_CASE(keyAndReservedFieldsAreNotForwarded)
{
    TargetRequestHead head;
    head.timeLeft = std::chrono::milliseconds(900);
    head.expectedTarget = TargetId("i-1");
    head.organisation = OrganisationId("clinic");
    const std::vector<HttpField> fields = ADAPTER.targetFields({ { "Authorization", "Bearer secret" },
                                                                 { "X-Cassiarelay-Tenant", "forged" },
                                                                 { "X-Cassiarelay-Hold", "forged" },
                                                                 { "X-Cassiarelay-Pin-Ms", "1" },
                                                                 { "X-Cassiarelay-Kv-Backup", "1" },
                                                                 { "Kv-From", "1" },
                                                                 { "Connection", "close, X-Hop" },
                                                                 { "X-Hop", "1" },
                                                                 { "Transfer-Encoding", "chunked" },
                                                                 { "X-Cassiarelay-Model", "m" },
                                                                 { "X-Other", "kept" } },
                                                               head);
    for (const char *name : { "Authorization",
                              "X-Cassiarelay-Hold",
                              "X-Cassiarelay-Pin-Ms",
                              "X-Cassiarelay-Kv-Backup",
                              "Kv-From",
                              "Connection",
                              "X-Hop",
                              "Transfer-Encoding" }) {
        BOOST_TEST(!find(fields, name), name);
    }
    BOOST_TEST(find(fields, "X-Cassiarelay-Tenant")->value == "clinic");
    BOOST_TEST(find(fields, "X-Cassiarelay-Expect-Instance")->value == "i-1");
    BOOST_TEST(find(fields, "X-Cassiarelay-Deadline-Ms")->value == "900");
    BOOST_TEST(find(fields, "X-Other"));
    BOOST_TEST(find(fields, "X-Cassiarelay-Model"));
    BOOST_TEST(!find(fields, "X-Cassiarelay-Inputs"));
}

BOOST_AUTO_TEST_CASE(responsesAreDecoded)
{
    const TargetResponse response = ADAPTER.readTargetResponse(503,
                                                               { { "X-Cassiarelay-Not-Executed", "1" },
                                                                 { "X-Cassiarelay-Instance-Load", "3,1,8" },
                                                                 { "Connection", "close" },
                                                                 { "Content-Length", "0" } });
    BOOST_TEST(response.head.isNotRun);
    BOOST_TEST(!response.head.isStamped);
    BOOST_TEST(response.load->waiting == 1);
    BOOST_TEST(!find(response.head.fields, "Connection"));
    BOOST_TEST(!find(response.head.fields, "Content-Length"));
}

// A load field with the pace as a fourth figure used to be discarded entirely; a bad fourth figure must not have that effect either.
BOOST_AUTO_TEST_CASE(paceInTheLoadFieldIsOptional)
{
    const auto load = [](const std::string &text) {
        return ADAPTER.readTargetResponse(200, { { "X-Cassiarelay-Instance-Load", text } }).load.value();
    };
    BOOST_TEST(load("3,1,8,250").pacePercent.value() == 250);
    BOOST_TEST(!load("3,1,8").pacePercent);
    for (const std::string bad : { "-5", "fast", "", "1e3", "99999999999999999999" }) {
        const ReportedLoad partial = load("3,1,8," + bad);
        BOOST_TEST(!partial.pacePercent);
        BOOST_TEST(partial.running == 3);
        BOOST_TEST(partial.waiting == 1);
        BOOST_TEST(partial.slots == 8);
    }
}

BOOST_AUTO_TEST_CASE(rateLimitOfATargetIsDecoded)
{
    const auto stated = [](unsigned status, const std::vector<HttpField> &fields) {
        return ADAPTER.readTargetResponse(status, fields).rateLimit;
    };
    const HttpField stamp { "X-Cassiarelay-Response-Stamp", "s" };
    const HttpField notRun { "X-Cassiarelay-Not-Executed", "1" };
    BOOST_TEST(stated(200, { stamp, { "Server-Limit", "0.5" } }).value().perSecond.value() == 0.5);
    BOOST_TEST(stated(503, { notRun, { "server-limit", " 12 " } }).value().perSecond.value() == 12);
    BOOST_TEST(stated(200, { stamp, { "Server-Limit", "0" } }).value().perSecond.value() == 0);
    BOOST_REQUIRE(stated(200, { stamp }));
    BOOST_TEST(!stated(200, { stamp })->perSecond);
    // Neither a limit that can't be read nor a response that may come from elsewhere ends a limit.
    for (const std::string value : { "", "-1", "many", "1x", "inf", "nan" }) {
        BOOST_TEST(!stated(200, { stamp, { "Server-Limit", value } }).has_value());
    }
    BOOST_TEST(!stated(421, { notRun, { "Server-Limit", "1" } }).has_value());
    BOOST_TEST(!stated(200, {}).has_value());
}

BOOST_AUTO_TEST_CASE(stageCallsCarryEachPieceOnce)
{
    StageCall call;
    call.target.id = TargetId("i-1");
    call.items = { { { RequestId("a"), 0, 2 }, "key", {}, START + std::chrono::milliseconds(900) },
                   { { RequestId("b"), 2, 0 }, "", { "h1", "h2" }, START - std::chrono::seconds(1) } };
    const PlatformRequest request = ADAPTER.stageRequest(call, START);
    const json body = json::parse(request.body);
    BOOST_TEST(body["items"][0]["leftMs"] == 900);
    BOOST_TEST(body["items"][0]["key"] == "key");
    BOOST_TEST(body["items"][1]["leftMs"] == 0);
    BOOST_TEST(body["items"][1]["inputs"].size() == 2U);
    BOOST_TEST(!body["items"][1].contains("key"));
    const auto outcomes = ADAPTER.readStageResults(call, R"({"items":[{"handle":"h"},{"reason":"gone"}]})");
    BOOST_TEST(std::get<StageResult>(outcomes[0]).handle == "h");
    BOOST_TEST((std::get<PieceFailure>(outcomes[1]) == PieceFailure::InputGone));
    BOOST_CHECK_THROW(ADAPTER.readStageResults(call, R"({"items":[{"handle":"h"}]})"), Error);
}

// Regression (review/6): results were freed at whatever target had got the address of their maker. Any other target answers 421.
BOOST_AUTO_TEST_CASE(requestToFreeResultsNamesTheTarget)
{
    const PlatformRequest request = ADAPTER.freeRequest(TargetId("i-1"), { "h1", "h2" });
    BOOST_REQUIRE(request.fields.size() == 1U);
    BOOST_TEST(request.fields[0].name == "X-Cassiarelay-Expect-Instance");
    BOOST_TEST(request.fields[0].value == "i-1");
    BOOST_TEST(json::parse(request.body)["handles"].size() == 2U);
}

// Results go on in a list, in which a comma or a blank would make one handle into two.
BOOST_AUTO_TEST_CASE(handleThatIsNoListItemIsNotTaken)
{
    StageCall call;
    call.target.id = TargetId("i-1");
    for (const std::string handle : { "10.1.64.7:8080/91bd", "a,b", "a b", "a\tb", "", "a\x7F" }) {
        call.items.emplace_back();
    }
    const json body { { "items",
                        { { { "handle", "10.1.64.7:8080/91bd" } },
                          { { "handle", "a,b" } },
                          { { "handle", "a b" } },
                          { { "handle", "a\tb" } },
                          { { "handle", "" } },
                          { { "handle", "a\x7F" } } } } };
    const std::vector<PieceOutcome> outcomes = ADAPTER.readStageResults(call, body.dump());
    BOOST_REQUIRE(outcomes.size() == 6U);
    BOOST_TEST(std::holds_alternative<StageResult>(outcomes[0]));
    for (std::size_t index = 1; index < outcomes.size(); ++index) {
        BOOST_TEST(std::holds_alternative<PieceFailure>(outcomes[index]), "handle " << index);
    }
}

BOOST_AUTO_TEST_CASE(leavingIsReadFromResponsesOfTheTarget)
{
    const HttpField leaving { "Server-Leaving", "1" };
    BOOST_TEST(Platform::Adapter().readTargetResponse(200, { { "X-Cassiarelay-Response-Stamp", "s" }, leaving }).statement->isLeaving);
    BOOST_TEST(Platform::Adapter().readTargetResponse(503, { { "X-Cassiarelay-Not-Executed", "1" }, leaving }).statement->isLeaving);
    BOOST_TEST(!Platform::Adapter().readTargetResponse(200, { { "X-Cassiarelay-Response-Stamp", "s" } }).statement->isLeaving);
    // Another target has the address now.
    BOOST_TEST(!Platform::Adapter().readTargetResponse(421, { { "X-Cassiarelay-Not-Executed", "1" }, leaving }).statement.has_value());
}

// A request that was handed over reaches its target as if its caller had sent it there.
BOOST_AUTO_TEST_CASE(peerFieldsAreThoseThatTheCallerSentEndToEnd)
{
    const std::vector<HttpField> fields = Platform::Adapter().peerFields({ { "Host", "host.example" },
                                                                           { "Authorization", "Bearer key" },
                                                                           { "Connection", "close, X-Hop" },
                                                                           { "X-Hop", "1" },
                                                                           { "Content-Length", "3" },
                                                                           { "X-Cassiarelay-Expect-Instance", "i-1" },
                                                                           { "X-Cassiarelay-Deadline-Ms", "100" } },
                                                                         VmId("front-2"));
    BOOST_REQUIRE(fields.size() == 4U);
    BOOST_TEST(fields[0].name == "Host");
    BOOST_TEST(fields[1].value == "Bearer key");
    BOOST_TEST(fields[2].name == "X-Cassiarelay-Deadline-Ms");
    // A target that has got the address of the other daemon doesn't run the request.
    BOOST_TEST(fields[3].name == "X-Cassiarelay-Expect-Instance");
    BOOST_TEST(fields[3].value == "front-2");
}

BOOST_AUTO_TEST_CASE(pauseIsReadFromRefusalsOfTheTarget)
{
    const auto pause = [](unsigned status, const std::string &value) {
        return Platform::Adapter()
            .readTargetResponse(status, { { "X-Cassiarelay-Not-Executed", "1" }, { "Retry-After", value } })
            .statement->pause;
    };
    BOOST_REQUIRE(pause(503, "1.5"));
    BOOST_TEST((*pause(503, "1.5") == std::chrono::milliseconds(1500)));
    BOOST_TEST(pause(503, "1e300").has_value());
    BOOST_TEST(!pause(429, "1").has_value());
    for (const std::string value : { "", "-1", "soon", "inf", "Fri, 04 Dec 2026 14:00:00 GMT" }) {
        BOOST_TEST(!pause(503, value).has_value());
    }
}

BOOST_AUTO_TEST_CASE(brittlenessIsReadFromResponsesOfTheTarget)
{
    const auto maxRefusals = [](const std::string &value) {
        return Platform::Adapter()
            .readTargetResponse(200, { { "X-Cassiarelay-Response-Stamp", "s" }, { "Server-Brittle", value } })
            .statement->maxRefusals;
    };
    BOOST_TEST(maxRefusals("5").value() == 5);
    BOOST_TEST(maxRefusals("0").value() == 0);
    BOOST_TEST(!maxRefusals("").has_value());
    BOOST_TEST(!Platform::Adapter().readTargetResponse(200, { { "X-Cassiarelay-Response-Stamp", "s" } }).statement->maxRefusals);
}
