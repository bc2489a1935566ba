#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

BOOST_AUTO_TEST_SUITE(requestpolicies)

// Even twelve daemons that cannot reach each other stay within the budget during an outage in which every request fails.
BOOST_AUTO_TEST_CASE(retriesOfAllDaemonsStayWithinTheBudget)
{
    constexpr int VMS = 12;
    const RetryLimits limits { 0.2, 52, seconds(10) };
    const ServiceName service("engine");
    std::vector<MonotonicTime> retries;
    std::vector<MonotonicTime> requests;
    for (int vm = 0; vm < VMS; ++vm) {
        RetryBudget budget(limits);
        for (int tick = 0; tick < 60000; tick += 200) {
            const MonotonicTime now = START + milliseconds(tick);
            budget.recordRequest(service, now);
            requests.push_back(now);
            if (budget.tryConsume(service, VMS, now)) {
                retries.push_back(now);
            }
        }
    }
    std::sort(retries.begin(), retries.end());
    const auto within = [](const std::vector<MonotonicTime> &times, MonotonicTime from) {
        return std::count_if(times.begin(), times.end(), [from](MonotonicTime at) { return at >= from && at < from + seconds(10); });
    };
    for (int start = 0; start < 50; ++start) {
        const MonotonicTime from = START + seconds(start);
        BOOST_TEST(static_cast<double>(within(retries, from)) <= 0.2 * static_cast<double>(within(requests, from)) + 52);
    }
    BOOST_TEST(!retries.empty());
}

BOOST_AUTO_TEST_CASE(requestThatCrashesTargetsIsBanned)
{
    CrashTracker crashes;
    const Fingerprint crashing(1);
    const Fingerprint bystander(2);
    crashes.recordConnectionLoss(crashing, TargetId("a"), START);
    crashes.recordConnectionLoss(bystander, TargetId("a"), START);
    crashes.recordTargetDown(TargetId("a"), START + milliseconds(10));
    BOOST_TEST(!crashes.isBanned(crashing, START + seconds(1)));
    crashes.recordCompletion(bystander);
    crashes.recordConnectionLoss(crashing, TargetId("b"), START + seconds(2));
    crashes.recordTargetDown(TargetId("b"), START + seconds(2));
    BOOST_TEST(crashes.isBanned(crashing, START + seconds(3)));
    BOOST_TEST(!crashes.isBanned(bystander, START + seconds(3)));
    BOOST_TEST(!crashes.isBanned(crashing, START + seconds(90)));
}

// Connection resets by targets that have not crashed must not lead to a ban of the request.
BOOST_AUTO_TEST_CASE(lostConnectionsAloneBanNothing)
{
    CrashTracker crashes;
    for (int round = 0; round < 10; ++round) {
        crashes.recordConnectionLoss(Fingerprint(1), TargetId("a"), START + seconds(round));
    }
    BOOST_TEST(!crashes.isBanned(Fingerprint(1), START + seconds(10)));
}

BOOST_AUTO_TEST_CASE(copiesOnOneTargetCountOnceAndCountsOfDaemonsAreSummed)
{
    CrashTracker crashes;
    for (int copy = 0; copy < 5; ++copy) {
        crashes.recordConnectionLoss(Fingerprint(1), TargetId("a"), START);
    }
    crashes.recordTargetDown(TargetId("a"), START);
    BOOST_TEST(!crashes.isBanned(Fingerprint(1), START));
    crashes.merge(VmId("other"), { { Fingerprint(1), 1 } }, START);
    BOOST_TEST(crashes.isBanned(Fingerprint(1), START));
    BOOST_REQUIRE_EQUAL(crashes.localCounts(START).size(), 1U);
    BOOST_TEST(crashes.localCounts(START).front().crashes == 1);
}

BOOST_AUTO_TEST_CASE(refusalStatusMatchesRunState)
{
    for (const GiveUpCause cause : { GiveUpCause::NoTarget,
                                     GiveUpCause::TargetRefused,
                                     GiveUpCause::TargetUnreachable,
                                     GiveUpCause::StagesFailed,
                                     GiveUpCause::DeadlineUnreachable,
                                     GiveUpCause::TimedOut,
                                     GiveUpCause::IncompleteResponse,
                                     GiveUpCause::InvalidResponse,
                                     GiveUpCause::Banned,
                                     GiveUpCause::ShuttingDown,
                                     GiveUpCause::NoConfiguration,
                                     GiveUpCause::StagesOverloaded }) {
        const RefuseRequest notRun = refusalFor(cause, RunState::NotRun, seconds(1), {});
        BOOST_TEST(notRun.status == 503U);
        BOOST_TEST(notRun.retryAfter.has_value());
        const RefuseRequest unknown = refusalFor(cause, RunState::MayHaveRun, seconds(1), {});
        BOOST_TEST((unknown.status == 502U || unknown.status == 504U));
        BOOST_TEST(!unknown.retryAfter.has_value());
    }
}

// Regression (mix --seed 1066397404640): streams accepted five seconds after SIGTERM were cut off when the process exited.
BOOST_AUTO_TEST_CASE(daemonShuttingDownAcceptsOnlyWhatItCanFinish)
{
    const Route stream = route(RouteKind::Stream);
    Route call = route(RouteKind::Unsafe);
    call.timeout = milliseconds(1200);
    BOOST_TEST(canAcceptDuringShutdown(stream, seconds(1), milliseconds(7600)));
    BOOST_TEST(!canAcceptDuringShutdown(stream, milliseconds(5400), milliseconds(7600)));
    BOOST_TEST(canAcceptDuringShutdown(call, milliseconds(5400), milliseconds(7600)));
    BOOST_TEST(!canAcceptDuringShutdown(call, milliseconds(7000), milliseconds(7600)));
}

BOOST_AUTO_TEST_SUITE_END()
