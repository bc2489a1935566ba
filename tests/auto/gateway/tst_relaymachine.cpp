#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

struct Fixture {
    explicit Fixture(int targetCount = 3)
    {
        for (int number = 0; number < targetCount; ++number) {
            targets.put(target("t" + std::to_string(number), "engine"), START);
        }
    }

    RelayMachine machine(const Route &requestRoute, std::vector<int> pieces = {}, std::int64_t promptTokens = 0)
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = { requestRoute };
        configuration.services = { stageService("stage") };
        RelayRequest request;
        request.table = std::make_shared<const RouteTable>(configuration);
        request.route = request.table->route("host.example", "/jobs/x");
        request.id = RequestId("request-1");
        request.service = ServiceName("engine");
        request.arrivedAt = START;
        request.deadline = START + seconds(15);
        request.timeoutAt = START + requestRoute.timeout;
        request.pieceCounts = std::move(pieces);
        request.inputKey = "input";
        request.fingerprint = Fingerprint(7);
        request.prompt.promptTokens = promptTokens;
        return { request, context };
    }

    TargetRegistry targets { {}, {}, 1 };
    RetryBudget retries { { 0.2, 1000, seconds(10) } };
    CrashTracker crashes;
    StageLatencyEstimator stageLatency;
    ReachabilityTracker reachability;
    Members members { VmId("vm-0"), {} };
    RelayContext context { targets, retries, crashes, stageLatency, reachability, members, 1 };
};

/** A fleet in which the owner of a service selects the targets of streams. */
struct PlacedFixture : Fixture {
    explicit PlacedFixture(std::uint16_t daemons = 13)
    {
        context.scheduling.placesForFleet = true;
        for (std::uint16_t number = 1; number < daemons; ++number) {
            members.onGreeting({ VmId("vm-" + std::to_string(number)), { "10.0.0.1", number }, 1, false }, {}, START);
        }
    }

    static PlacedTarget placed(const std::string &target, std::uint64_t id)
    {
        return { VmId("vm-1"), ServiceName("engine"), PlacementId(id), TargetId(target) };
    }

    std::vector<PlacementReport> takeReports()
    {
        return context.placementReports.take({ VmId("vm-1"), ServiceName("engine") });
    }
};

ResponseHead head(unsigned status, bool stamped = true, bool notRun = false)
{
    ResponseHead result;
    result.status = status;
    result.isStamped = stamped;
    result.isNotRun = notRun;
    return result;
}

template<typename Action>
const Action *find(const RelayActions &actions)
{
    for (const RelayAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

AttemptNumber sentAttempt(const RelayActions &actions)
{
    const auto *send = find<SendRequest>(actions);
    BOOST_REQUIRE(send);
    return send->attempt;
}

RelayActions respond(RelayMachine &machine, AttemptNumber attempt, unsigned status, const std::string &body)
{
    machine.onHead(attempt, head(status), START);
    machine.onBody(attempt, body, START);
    return machine.onFinished(attempt, START);
}

} // namespace

BOOST_AUTO_TEST_SUITE(relaymachine)

BOOST_AUTO_TEST_CASE(completeResponseIsForwarded)
{
    Fixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Unsafe));
    const AttemptNumber attempt = sentAttempt(machine.start(START));
    const RelayActions last = respond(machine, attempt, 200, "body");
    BOOST_REQUIRE(find<ForwardResponse>(last));
    BOOST_TEST(find<ForwardResponse>(last)->body == "body");
    BOOST_TEST(machine.isFinished());
    BOOST_TEST(machine.onTimer(START + seconds(20)).empty());
}

// A request that may run only once is neither sent again nor reported as not run, whatever fails after it was sent.
BOOST_AUTO_TEST_CASE(unsafeRequestIsNeverRetried)
{
    for (const AttemptFailure failure : { AttemptFailure::ConnectionLost, AttemptFailure::TimedOut, AttemptFailure::InvalidResponse }) {
        Fixture fixture;
        RelayMachine machine = fixture.machine(route(RouteKind::Unsafe, 3));
        const AttemptNumber attempt = sentAttempt(machine.start(START));
        const RelayActions last = machine.onFailed(attempt, failure, "lost", START);
        BOOST_TEST(!find<SendRequest>(last));
        BOOST_REQUIRE(find<RefuseRequest>(last));
        BOOST_TEST(find<RefuseRequest>(last)->status != 503U);
    }
}

BOOST_AUTO_TEST_CASE(unsentRequestIsSentToAnotherTarget)
{
    Fixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Unsafe));
    const RelayActions first = machine.start(START);
    const RelayActions second = machine.onFailed(sentAttempt(first), AttemptFailure::NotSent, "refused", START);
    BOOST_TEST(sentAttempt(second) == 2);
    BOOST_TEST(find<SendRequest>(second)->target.id != find<SendRequest>(first)->target.id);
}

BOOST_AUTO_TEST_CASE(requestWithoutTargetIsRefusedAsNotRun)
{
    Fixture fixture(0);
    RelayMachine machine = fixture.machine(route(RouteKind::Unsafe));
    const RelayActions last = machine.start(START);
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
    BOOST_TEST(find<RefuseRequest>(last)->retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(requestRefusedByItsTargetIsReportedAsNotRun)
{
    Fixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Unsafe));
    const AttemptNumber attempt = sentAttempt(machine.start(START));
    machine.onHead(attempt, head(503, false, true), START);
    const RelayActions last = machine.onFinished(attempt, START);
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
}

BOOST_AUTO_TEST_CASE(safeRequestTriesAnotherTargetAndFallsBackToTheFirstResponse)
{
    Fixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Safe, 2));
    const AttemptNumber first = sentAttempt(machine.start(START));
    const AttemptNumber second = sentAttempt(respond(machine, first, 500, "broken"));
    const RelayActions last = machine.onFailed(second, AttemptFailure::ConnectionLost, "lost", START);
    BOOST_REQUIRE(find<ForwardResponse>(last));
    BOOST_TEST(find<ForwardResponse>(last)->head.status == 500U);
}

BOOST_AUTO_TEST_CASE(successWithoutStampIsNotForwarded)
{
    Fixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Unsafe));
    const AttemptNumber attempt = sentAttempt(machine.start(START));
    const RelayActions last = machine.onHead(attempt, head(200, false), START);
    BOOST_TEST(find<CancelAttempt>(last));
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 502U);
}

BOOST_AUTO_TEST_CASE(streamIsForwardedInCompleteEvents)
{
    Fixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Stream));
    const AttemptNumber attempt = sentAttempt(machine.start(START));
    machine.onHead(attempt, head(200), START);
    BOOST_TEST(!find<ForwardHead>(machine.onBody(attempt, "id: 1\nda", START)));
    const RelayActions actions = machine.onBody(attempt, "ta: a\n\nid: 2\n", START);
    BOOST_REQUIRE(find<ForwardHead>(actions));
    BOOST_TEST(find<ForwardEvents>(actions)->events == "id: 1\ndata: a\n\n");
    BOOST_TEST(find<EndStream>(machine.onFinished(attempt, START)) == nullptr);
    BOOST_TEST(machine.isFinished());
}

BOOST_AUTO_TEST_CASE(lostStreamIsAborted)
{
    Fixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Stream, 3));
    const AttemptNumber attempt = sentAttempt(machine.start(START));
    machine.onHead(attempt, head(200), START);
    machine.onBody(attempt, "id: 1\ndata: a\n\n", START);
    const RelayActions last = machine.onFailed(attempt, AttemptFailure::ConnectionLost, "reset", START);
    BOOST_TEST(find<AbortStream>(last));
    BOOST_TEST(!find<SendRequest>(last));
}

BOOST_AUTO_TEST_CASE(resumableStreamContinuesAfterTheLastCompleteEvent)
{
    Fixture fixture;
    Route resumable = route(RouteKind::Stream, 2);
    resumable.isResumable = true;
    RelayMachine machine = fixture.machine(resumable);
    const AttemptNumber first = sentAttempt(machine.start(START));
    machine.onHead(first, head(200), START);
    machine.onBody(first, "id: 1\ndata: a\n\nid: 2\nda", START);
    const RelayActions again = machine.onFailed(first, AttemptFailure::ConnectionLost, "reset", START);
    BOOST_TEST(find<SendRequest>(again)->resumeAfter.value_or("") == "1");
    const AttemptNumber second = sentAttempt(again);
    machine.onHead(second, head(200), START);
    const RelayActions more = machine.onBody(second, "id: 2\ndata: b\n\n", START);
    BOOST_TEST(!find<ForwardHead>(more));
    BOOST_TEST(find<ForwardEvents>(more)->events == "id: 2\ndata: b\n\n");
    BOOST_TEST(find<EndStream>(machine.onFinished(second, START)));
}

namespace {

// Two targets of version 1 and two of version 2.
struct VersionFixture : Fixture {
    VersionFixture()
        : Fixture(0)
    {
        for (const std::string number : { "0", "1", "2", "3" }) {
            put(number, number < "2" ? "v1" : "v2");
        }
    }

    void put(const std::string &number, const std::string &version, milliseconds startedAfter = milliseconds(0))
    {
        TargetRecord record = target("t" + number, "engine");
        record.softwareVersion = version;
        record.startedAt += startedAfter;
        targets.put(record, START);
    }

    void setReachable(bool isReachable)
    {
        const ServiceName service("engine");
        reachability.recordFailure(service, START);
        m_probedAt += seconds(1);
        for (const ReachabilityProbe &probe : reachability.takeProbes(targets, m_probedAt)) {
            reachability.onProbed(probe, isReachable, m_probedAt);
        }
    }

    /** Starts a request while this daemon reaches no target. */
    AttemptNumber handOver(RelayMachine &machine)
    {
        members.onGreeting({ VmId("vm-1"), { "10.0.0.1", 1001 }, 1, false }, {}, START);
        setReachable(false);
        const RelayActions actions = machine.start(START);
        BOOST_REQUIRE(find<HandOverRequest>(actions));
        return find<HandOverRequest>(actions)->attempt;
    }

    RelayMachine stream(int maxAttempts, bool resumed = false)
    {
        Route resumable = route(RouteKind::Stream, maxAttempts);
        resumable.isResumable = true;
        if (!resumed) {
            return machine(resumable);
        }
        RelayRequest request = machine(resumable).request();
        request.resumeAfter = "3";
        request.resumedStream = RequestId("first-request");
        return { request, context };
    }

private:
    MonotonicTime m_probedAt = START;
};

std::string sentVersion(const RelayActions &actions)
{
    const auto *send = find<SendRequest>(actions);
    return send ? send->target.softwareVersion : "none";
}

} // namespace

// A stream went on at whichever target was best, also of another software version.
BOOST_AUTO_TEST_CASE(streamGoesOnOnlyAtTheVersionThatBeganIt)
{
    for (const bool hasEvents : { true, false }) {
        for (int repetition = 0; repetition < 20; ++repetition) {
            VersionFixture fixture;
            RelayMachine machine = fixture.stream(4);
            const RelayActions first = machine.start(START);
            const std::string version = sentVersion(first);
            machine.onHead(sentAttempt(first), head(200), START);
            if (hasEvents) {
                machine.onBody(sentAttempt(first), "id: 1\ndata: a\n\n", START);
            }
            const RelayActions second = machine.onFailed(sentAttempt(first), AttemptFailure::ConnectionLost, "reset", START);
            BOOST_TEST(sentVersion(second) == version);
            const RelayActions third = machine.onFailed(sentAttempt(second), AttemptFailure::ConnectionLost, "reset", START);
            BOOST_TEST(sentVersion(third) == "none");
            BOOST_TEST(!(hasEvents && !find<AbortStream>(third)));
        }
    }
}

BOOST_AUTO_TEST_CASE(streamTriesNoOtherVersionAfterRefusals)
{
    VersionFixture fixture;
    RelayMachine machine = fixture.stream(4);
    const RelayActions first = machine.start(START);
    machine.onHead(sentAttempt(first), head(421, false, true), START);
    const RelayActions second = machine.onFinished(sentAttempt(first), START);
    BOOST_TEST(sentVersion(second) == sentVersion(first));
    const RelayActions third = machine.onFailed(sentAttempt(second), AttemptFailure::NotSent, "refused", START);
    BOOST_REQUIRE(find<RefuseRequest>(third));
    BOOST_TEST(find<RefuseRequest>(third)->status == 503U);
}

BOOST_AUTO_TEST_CASE(callersResumeAtTheVersionThatBeganTheStream)
{
    for (const std::string version : { "v1", "v2" }) {
        for (int repetition = 0; repetition < 20; ++repetition) {
            VersionFixture fixture;
            RelayMachine machine = fixture.stream(2, true);
            machine.setOrigin({ ServiceName("engine"), version });
            const RelayActions first = machine.start(START);
            BOOST_TEST(sentVersion(first) == version);
            BOOST_TEST(find<SendRequest>(first)->resumeAfter.value_or("") == "3");
            BOOST_REQUIRE(find<RecordStream>(first));
            BOOST_TEST(find<RecordStream>(first)->stream.value() == "first-request");
            BOOST_TEST(sentVersion(machine.onFailed(sentAttempt(first), AttemptFailure::ConnectionLost, "reset", START)) == version);
        }
    }
}

// A target that has lost the inputs of a request gets it again if the route allows no other one.
BOOST_AUTO_TEST_CASE(targetThatRestartedWithAnotherVersionIsNotUsedAgain)
{
    for (const std::string version : { "same", "v3" }) {
        VersionFixture fixture;
        Route staged = route(RouteKind::Stream, 1);
        staged.isResumable = true;
        staged.stages = { { ServiceName("stage"), {}, 1000 } };
        RelayMachine machine = fixture.machine(staged, { 1 });
        machine.start(START);
        const std::vector<PieceCompletion> completions { { 0, StageResult { "handle", TargetId("maker") } } };
        const RelayActions first = machine.onStageFinished(0, completions, START);
        const std::string tried = find<SendRequest>(first)->target.id.value().substr(1);
        machine.onHead(sentAttempt(first), head(409, false, true), START);
        BOOST_TEST(find<OrderPieces>(machine.onFinished(sentAttempt(first), START)));
        fixture.put(tried, version == "same" ? sentVersion(first) : version, milliseconds(500));
        const RelayActions second = machine.onStageFinished(0, completions, START);
        BOOST_TEST(sentVersion(second) == (version == "same" ? sentVersion(first) : "none"));
    }
}

BOOST_AUTO_TEST_CASE(streamOfUnknownOriginIsRefused)
{
    VersionFixture fixture;
    RelayMachine machine = fixture.stream(2, true);
    const RelayActions last = machine.onOrigin({}, START);
    BOOST_TEST(!find<SendRequest>(last));
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
}

// Regression: callers of streams that could not go on were told to come back after 50 ms, hundreds of times each.
BOOST_AUTO_TEST_CASE(callerOfAStreamOfUnknownOriginIsNotToldToComeBackSoon)
{
    VersionFixture fixture;
    RelayMachine lone = fixture.stream(2, true);
    const RelayActions starting = lone.onOrigin({}, START);
    BOOST_TEST((find<RefuseRequest>(starting)->retryAfter.value() < seconds(1)));
    fixture.context.members.onGreeting({ VmId("vm2"), { "127.0.0.1", 9002 } }, {}, START);
    RelayMachine machine = fixture.stream(2, true);
    const Duration left = machine.request().endsAt() - START;
    const RelayActions last = machine.onOrigin({}, START);
    BOOST_TEST((find<RefuseRequest>(last)->retryAfter.value() >= left / 2));
    // Another daemon may know more than one that is cut off from the others.
    RelayMachine unheard = fixture.stream(2, true);
    const RelayActions soon = unheard.onOrigin({ std::nullopt, false }, START);
    BOOST_TEST((find<RefuseRequest>(soon)->retryAfter.value() < seconds(2)));
}

// Regression (review/2): a stream that had been handed over went on at any version after the daemon that relayed it was lost.
BOOST_AUTO_TEST_CASE(streamThatWasHandedOverGoesOnAtTheVersionThatBeganIt)
{
    for (const std::string version : { "v1", "v2" }) {
        for (int repetition = 0; repetition < 20; ++repetition) {
            VersionFixture fixture;
            RelayMachine machine = fixture.stream(4);
            const AttemptNumber relayed = fixture.handOver(machine);
            ResponseHead response = head(200);
            response.origin = StreamOrigin { ServiceName("engine"), version };
            machine.onHead(relayed, response, START);
            machine.onBody(relayed, "id: 1\ndata: a\n\n", START);
            fixture.setReachable(true);
            const RelayActions next = machine.onFailed(relayed, AttemptFailure::ConnectionLost, "killed", START);
            BOOST_TEST(sentVersion(next) == version);
            BOOST_REQUIRE(find<RecordStream>(next));
            BOOST_TEST(find<RecordStream>(next)->origin.softwareVersion == version);
        }
    }
}

// A daemon of an earlier version does not name the origin, and one that is lost early has not named it yet.
BOOST_AUTO_TEST_CASE(recordsDecideWhereALostDaemonBeganTheStream)
{
    for (const bool hasEvents : { true, false }) {
        for (const std::string version : { "v1", "v2", "unknown" }) {
            VersionFixture fixture;
            RelayMachine machine = fixture.stream(4);
            const AttemptNumber relayed = fixture.handOver(machine);
            if (hasEvents) {
                machine.onHead(relayed, head(200), START);
                machine.onBody(relayed, "id: 1\ndata: a\n\n", START);
            }
            fixture.setReachable(true);
            const RelayActions lost = machine.onFailed(relayed, AttemptFailure::ConnectionLost, "killed", START);
            BOOST_TEST(!find<SendRequest>(lost));
            BOOST_REQUIRE(find<FindOrigin>(lost));
            BOOST_TEST((find<FindOrigin>(lost)->stream == machine.request().id));
            const bool isKnown = version != "unknown";
            const std::optional<StreamOrigin> origin =
                isKnown ? std::optional(StreamOrigin { ServiceName("engine"), version }) : std::nullopt;
            const RelayActions next = machine.onOrigin({ origin }, START);
            BOOST_TEST((!isKnown || sentVersion(next) == version));
            // What has no events yet may begin anywhere.
            BOOST_TEST((isKnown || (find<SendRequest>(next) != nullptr) != hasEvents));
            BOOST_TEST((find<AbortStream>(next) != nullptr) == (!isKnown && hasEvents));
        }
    }
}

BOOST_AUTO_TEST_CASE(resumedStreamIsNotSentBeforeItsOriginIsKnown)
{
    VersionFixture fixture;
    RelayMachine machine = fixture.stream(2, true);
    const RelayActions first = machine.start(START);
    BOOST_TEST(!find<SendRequest>(first));
    BOOST_REQUIRE(find<FindOrigin>(first));
    BOOST_TEST((find<FindOrigin>(first)->stream == RequestId("first-request")));
    const RelayActions other = machine.onOrigin({ StreamOrigin { ServiceName("desk"), "v1" } }, START);
    BOOST_TEST(!find<SendRequest>(other));
    BOOST_TEST(find<RefuseRequest>(other));
}

// A stream that may not be resumed is not bound to a version, and neither is another request.
BOOST_AUTO_TEST_CASE(otherRequestsTryAnyVersion)
{
    VersionFixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Safe, 4));
    std::set<std::string> versions;
    RelayActions actions = machine.start(START);
    while (find<SendRequest>(actions)) {
        BOOST_TEST(!find<RecordStream>(actions));
        versions.insert(sentVersion(actions));
        actions = machine.onFailed(sentAttempt(actions), AttemptFailure::ConnectionLost, "reset", START);
    }
    BOOST_TEST(versions.size() == 2U);
}

// The error response of an earlier attempt must not be written into a stream that a later attempt has started.
BOOST_AUTO_TEST_CASE(earlierResponseIsNotForwardedWithinAStream)
{
    Fixture fixture;
    Route resumable = route(RouteKind::Stream, 3);
    resumable.isResumable = true;
    RelayMachine machine = fixture.machine(resumable);
    const AttemptNumber first = sentAttempt(machine.start(START));
    const AttemptNumber second = sentAttempt(respond(machine, first, 500, "broken"));
    machine.onHead(second, head(200), START);
    machine.onBody(second, "id: 1\ndata: a\n\n", START);
    const AttemptNumber third = sentAttempt(machine.onFailed(second, AttemptFailure::ConnectionLost, "reset", START));
    machine.onHead(third, head(503, false, true), START);
    const RelayActions last = machine.onFinished(third, START);
    BOOST_TEST(!find<ForwardResponse>(last));
    BOOST_TEST(find<AbortStream>(last));
}

namespace {

// All targets have a rate limit, and another daemon issues the permits.
struct LimitedFixture : Fixture {
    LimitedFixture()
        : Fixture(2)
    {
        targets.rateLimits().setShareFunction([](const ServiceName &) { return std::nullopt; }, START);
        for (const TargetRecord &record : { *targets.find(TargetId("t0")), *targets.find(TargetId("t1")) }) {
            targets.setRateLimit(record, { 1.0 }, START);
        }
    }

    void addPermit(const TargetId &id)
    {
        targets.rateLimits().addPermits({ id, targets.find(id)->startedAt, 1 }, START);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requestIsSentWithAPermit)
{
    LimitedFixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Unsafe));
    const RelayActions first = machine.start(START);
    BOOST_TEST(find<RequestPermitsFor>(first));
    BOOST_TEST(!find<SendRequest>(first));
    fixture.addPermit(TargetId("t1"));
    const RelayActions then = machine.onPermits(START);
    BOOST_REQUIRE(find<SendRequest>(then));
    BOOST_TEST(find<SendRequest>(then)->target.id.value() == "t1");
}

BOOST_AUTO_TEST_CASE(requestWithoutPermitIsRefusedAtOnceAsNotRun)
{
    LimitedFixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Unsafe));
    machine.start(START);
    const RelayActions last = machine.onPermits(START);
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
    BOOST_TEST(!find<RequestPermitsFor>(last));
}

BOOST_AUTO_TEST_CASE(requestThatEndsWhileItWaitsForPermitsIsNotSent)
{
    LimitedFixture fixture;
    RelayMachine gone = fixture.machine(route(RouteKind::Unsafe));
    gone.start(START);
    BOOST_TEST(find<DropRequest>(gone.onCallerGone(START)));
    RelayMachine stopped = fixture.machine(route(RouteKind::Unsafe));
    stopped.start(START);
    BOOST_TEST(find<RefuseRequest>(stopped.onShutdown(START))->status == 503U);
    fixture.addPermit(TargetId("t0"));
    BOOST_TEST(gone.onPermits(START).empty());
    BOOST_TEST(stopped.onPermits(START).empty());
}

// The second send of a request counts like the first.
BOOST_AUTO_TEST_CASE(repeatedSendNeedsAPermit)
{
    LimitedFixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Safe, 2));
    machine.start(START);
    fixture.addPermit(TargetId("t0"));
    const AttemptNumber first = sentAttempt(machine.onPermits(START));
    const RelayActions again = respond(machine, first, 500, "broken");
    BOOST_TEST(find<RequestPermitsFor>(again));
    BOOST_TEST(!find<SendRequest>(again));
    BOOST_REQUIRE(find<ForwardResponse>(machine.onPermits(START)));
}

BOOST_AUTO_TEST_CASE(stagesRunFirstAndTheirResultsAreFreedAtTheFirstEvent)
{
    Fixture fixture;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine machine = fixture.machine(staged, { 1 });
    const RelayActions first = machine.start(START);
    BOOST_REQUIRE(find<OrderPieces>(first));
    BOOST_TEST(find<OrderPieces>(first)->order.inputKey == "input");
    BOOST_TEST(!find<SendRequest>(first));
    const RelayActions then = machine.onStageFinished(0, { { 0, StageResult { "handle", TargetId("maker") } } }, START);
    BOOST_REQUIRE(find<SendRequest>(then));
    BOOST_TEST(find<SendRequest>(then)->inputs.size() == 1U);
    const AttemptNumber attempt = sentAttempt(then);
    machine.onHead(attempt, head(200), START);
    const RelayActions events = machine.onBody(attempt, "id: 1\ndata: a\n\n", START);
    BOOST_REQUIRE(find<FreeResults>(events));
    BOOST_TEST(find<FreeResults>(events)->results.front().handle == "handle");
}

// The ban was looked up when the request arrived, and the request was sent after its stages.
BOOST_AUTO_TEST_CASE(requestBannedDuringItsStagesIsNotSent)
{
    Fixture fixture;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine machine = fixture.machine(staged, { 1 });
    machine.start(START);
    for (const char *id : { "x", "y" }) {
        fixture.crashes.recordConnectionLoss({ machine.request().fingerprint, {} }, target(id, "engine"), START);
        fixture.crashes.recordTargetGone(TargetId(id), START);
    }
    const RelayActions last = machine.onStageFinished(0, { { 0, StageResult { "handle", TargetId("maker") } } }, START);
    BOOST_TEST(!find<SendRequest>(last));
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
}

// Without length or chunks, the end of the connection within an event, or before the first one, was no sign of a crash.
BOOST_AUTO_TEST_CASE(streamCutOffAtItsOpenEndCountsAsCrash)
{
    for (const std::string received : { "", "id: 1\ndata: a\n\nid: " }) {
        Fixture fixture;
        RelayMachine machine = fixture.machine(route(RouteKind::Stream));
        const RelayActions first = machine.start(START);
        ResponseHead openEnd = head(200);
        openEnd.hasOpenEnd = true;
        machine.onHead(sentAttempt(first), openEnd, START);
        machine.onBody(sentAttempt(first), received, START);
        const RelayActions last = machine.onFinished(sentAttempt(first), START);
        BOOST_TEST(!find<EndStream>(last));
        BOOST_TEST(!find<ForwardResponse>(last));
        fixture.crashes.recordTargetGone(find<SendRequest>(first)->target.id, START);
        BOOST_TEST(fixture.crashes.crashCount(machine.request().fingerprint) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(lostInputsAreRecomputedOnce)
{
    Fixture fixture;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine machine = fixture.machine(staged, { 1 });
    machine.start(START);
    const std::vector<PieceCompletion> completions { { 0, StageResult { "handle", TargetId("maker") } } };
    const AttemptNumber first = sentAttempt(machine.onStageFinished(0, completions, START));
    machine.onHead(first, head(409, false, true), START);
    BOOST_TEST(find<OrderPieces>(machine.onFinished(first, START)));
    const RelayActions again = machine.onStageFinished(0, completions, START);
    const AttemptNumber second = sentAttempt(again);
    machine.onHead(second, head(409, false, true), START);
    BOOST_TEST(find<RefuseRequest>(machine.onFinished(second, START)));
}

BOOST_AUTO_TEST_CASE(timeoutStatusTellsWhetherTheRequestMayHaveRun)
{
    Fixture fixture;
    RelayMachine sent = fixture.machine(route(RouteKind::Unsafe));
    sent.start(START);
    BOOST_TEST(find<RefuseRequest>(sent.onTimer(START + seconds(10)))->status == 504U);

    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine waiting = fixture.machine(staged, { 1 });
    waiting.start(START);
    const RelayActions last = waiting.onTimer(START + seconds(10));
    BOOST_TEST(find<WithdrawPieces>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
}

// Regression (run scale-1): requests ran their first stage, then waited for the overloaded second one until their results had expired.
BOOST_AUTO_TEST_CASE(requestIsRefusedBeforeItsFirstStageWhileALaterOneIsOverloaded)
{
    Fixture fixture;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 }, { ServiceName("overloaded"), { 0 }, 1000 } };
    for (int sample = 0; sample < 20; ++sample) {
        fixture.stageLatency.addSample(ServiceName("overloaded"), staged.rank, seconds(6), START);
    }
    RelayMachine refused = fixture.machine(staged, { 1, 1 });
    const RelayActions last = refused.start(START);
    BOOST_TEST(!find<OrderPieces>(last));
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
    BOOST_TEST(find<RefuseRequest>(last)->retryAfter.has_value());

    RelayMachine withoutTheStage = fixture.machine(staged, { 1, 0 });
    BOOST_TEST(find<OrderPieces>(withoutTheStage.start(START)));
    RelayMachine afterwards = fixture.machine(staged, { 1, 1 });
    BOOST_TEST(find<OrderPieces>(afterwards.start(START + seconds(5))));
}

// Regression (mix --seed 652566725002): at the end of a shutdown, a request that was still waiting for its stages got no response.
BOOST_AUTO_TEST_CASE(shutdownRespondsToUnfinishedRequests)
{
    Fixture fixture;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine waiting = fixture.machine(staged, { 1 });
    waiting.start(START);
    const RelayActions refused = waiting.onShutdown(START + seconds(7));
    BOOST_TEST(find<WithdrawPieces>(refused));
    BOOST_TEST(find<RefuseRequest>(refused)->status == 503U);

    RelayMachine running = fixture.machine(route(RouteKind::Unsafe));
    running.start(START);
    const RelayActions unknown = running.onShutdown(START);
    BOOST_TEST(find<CancelAttempt>(unknown));
    BOOST_TEST(find<RefuseRequest>(unknown)->status == 502U);
    BOOST_TEST(running.onShutdown(START).empty());
}

// What an endless response has taken must be free again when its request ends.
BOOST_AUTO_TEST_CASE(requestThatEndsFreesItsBuffer)
{
    Fixture fixture;
    fixture.context.responseBuffers = ResponseBuffers(100'000);
    RelayMachine machine = fixture.machine(route(RouteKind::Unsafe));
    const AttemptNumber attempt = sentAttempt(machine.start(START));
    machine.onHead(attempt, head(200), START);
    machine.onBody(attempt, std::string(40'000, 'x'), START);
    BOOST_TEST(fixture.context.responseBuffers.bytes() == 40'000U);
    BOOST_TEST(!machine.isFinished());
    machine.onBody(attempt, std::string(40'000, 'x'), START);
    BOOST_TEST(machine.isFinished());
    BOOST_TEST(fixture.context.responseBuffers.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(callerDisconnectCancelsTheAttempt)
{
    Fixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Stream));
    machine.start(START);
    BOOST_TEST(find<CancelAttempt>(machine.onCallerGone(START)));
    BOOST_TEST(machine.isFinished());
}

// A request that was handed over on arrival and came back was sent to a target without the results of its stages.
BOOST_AUTO_TEST_CASE(declinedRequestRunsItsStagesBeforeItIsSent)
{
    Fixture fixture;
    fixture.members.onGreeting({ VmId("vm-1"), { "10.0.0.1", 1001 }, 1, false }, {}, START);
    const ServiceName service("engine");
    fixture.reachability.recordFailure(service, START);
    for (const ReachabilityProbe &probe : fixture.reachability.takeProbes(fixture.targets, START)) {
        fixture.reachability.onProbed(probe, false, START);
    }
    BOOST_REQUIRE(fixture.reachability.isBlocked(service));
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine machine = fixture.machine(staged, { 1 });
    const RelayActions first = machine.start(START);
    BOOST_REQUIRE(find<HandOverRequest>(first));
    for (const ReachabilityProbe &probe : fixture.reachability.takeProbes(fixture.targets, START + seconds(1))) {
        fixture.reachability.onProbed(probe, true, START + seconds(1));
    }
    const RelayActions next = machine.onDeclined(find<HandOverRequest>(first)->attempt, DeclineReason::Unavailable, START + seconds(1));
    BOOST_TEST(!find<SendRequest>(next));
    BOOST_TEST(find<OrderPieces>(next));
}

// Guards against retries that the owner does not know of, against requests that ask forever, and against ends that are not reported.
BOOST_AUTO_TEST_CASE(ownerIsAskedOncePerAttempt)
{
    PlacedFixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Stream, 3), {}, 5000);
    const RelayActions first = machine.start(START);
    BOOST_REQUIRE(find<RequestPlacement>(first));
    BOOST_TEST(!find<SendRequest>(first));
    const PlacementOrder &order = find<RequestPlacement>(first)->order;
    BOOST_TEST(order.service.value() == "engine");
    BOOST_TEST(order.promptTokens == 5000);
    BOOST_TEST((order.endsAt == START + seconds(10)));
    BOOST_TEST(order.avoid.empty());
    const RelayActions sent = machine.onPlacement(PlacedFixture::placed("t2", 8), START);
    BOOST_TEST(!find<RequestPlacement>(sent));
    BOOST_REQUIRE(find<SendRequest>(sent));
    BOOST_TEST(find<SendRequest>(sent)->target.id.value() == "t2");
    const RelayActions second = machine.onFailed(sentAttempt(sent), AttemptFailure::NotSent, "refused", START);
    BOOST_REQUIRE(find<RequestPlacement>(second));
    BOOST_TEST(find<RequestPlacement>(second)->order.avoid.count(TargetId("t2")) == 1U);
    const AttemptNumber attempt = sentAttempt(machine.onPlacement(PlacedFixture::placed("t0", 9), START));
    machine.onHead(attempt, head(200), START);
    for (int event = 0; event < 5; ++event) {
        machine.onBody(attempt, "data: a\n\n", START + milliseconds(200 + 30 * event));
    }
    machine.onFinished(attempt, START + seconds(1));
    const std::vector<PlacementReport> reports = fixture.takeReports();
    BOOST_REQUIRE_EQUAL(reports.size(), 3U);
    BOOST_TEST((reports[0].event == PlacementEvent::Failed && reports[0].placement == PlacementId(8)));
    BOOST_TEST((reports[1].event == PlacementEvent::FirstEvent && reports[1].placement == PlacementId(9)));
    BOOST_TEST((reports[1].time == milliseconds(200)));
    BOOST_TEST((reports[2].event == PlacementEvent::Ended && reports[2].placement == PlacementId(9)));
    BOOST_TEST((reports[2].time == milliseconds(30)));
}

// Guards against advice that overrides the rules of this daemon, and against requests that an owner counts at a target that never got
// them.
BOOST_AUTO_TEST_CASE(unusableTargetIsReportedAsEnded)
{
    PlacedFixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Stream), {}, 5000);
    machine.start(START);
    fixture.targets.setLeaving(*fixture.targets.find(TargetId("t1")), START);
    const RelayActions sent = machine.onPlacement(PlacedFixture::placed("t1", 8), START);
    BOOST_REQUIRE(find<SendRequest>(sent));
    BOOST_TEST(find<SendRequest>(sent)->target.id.value() != "t1");
    const std::vector<PlacementReport> reports = fixture.takeReports();
    BOOST_REQUIRE_EQUAL(reports.size(), 1U);
    BOOST_TEST((reports[0].event == PlacementEvent::Ended && reports[0].placement == PlacementId(8)));
    BOOST_TEST(!reports[0].time);
    BOOST_TEST(fixture.context.placementReports.unusableTargets() == 1U);
    // The answer for a request whose caller has gone.
    RelayMachine gone = fixture.machine(route(RouteKind::Stream), {}, 5000);
    gone.start(START);
    gone.onCallerGone(START);
    BOOST_TEST(gone.onPlacement(PlacedFixture::placed("t0", 9), START).empty());
    const std::vector<PlacementReport> late = fixture.takeReports();
    BOOST_REQUIRE_EQUAL(late.size(), 1U);
    BOOST_TEST((late[0].event == PlacementEvent::Ended && late[0].placement == PlacementId(9)));
}

// Guards against requests that wait for an owner that does not answer, and against orders where they are of no use.
BOOST_AUTO_TEST_CASE(requestsArePlacedByLoadWithoutAnOwner)
{
    PlacedFixture fixture;
    RelayMachine machine = fixture.machine(route(RouteKind::Stream), {}, 5000);
    BOOST_REQUIRE(find<RequestPlacement>(machine.start(START)));
    BOOST_TEST(find<SendRequest>(machine.onPlacement(std::nullopt, START)));
    BOOST_TEST(fixture.takeReports().empty());
    BOOST_TEST(find<SendRequest>(fixture.machine(route(RouteKind::Stream)).start(START)));
    BOOST_TEST(find<SendRequest>(fixture.machine(route(RouteKind::Unsafe), {}, 5000).start(START)));
    PlacedFixture small(12);
    BOOST_TEST(find<SendRequest>(small.machine(route(RouteKind::Stream), {}, 5000).start(START)));
    fixture.context.scheduling.placesForFleet = false;
    BOOST_TEST(find<SendRequest>(fixture.machine(route(RouteKind::Stream), {}, 5000).start(START)));
}

BOOST_AUTO_TEST_SUITE_END()
