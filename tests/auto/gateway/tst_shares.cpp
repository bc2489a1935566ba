#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

BOOST_AUTO_TEST_SUITE(shares)

// Twelve daemons of which none hears another, in an outage in which every request fails.
BOOST_AUTO_TEST_CASE(repeatsOfAllDaemonsStayWithinTheBudget)
{
    constexpr int VMS = 12;
    const RetryLimits limits { 0.2, 52, seconds(10) };
    const ServiceName service("engine");
    std::vector<MonotonicTime> repeats;
    std::vector<MonotonicTime> requests;
    for (int vm = 0; vm < VMS; ++vm) {
        RetryBudget budget(limits);
        for (int tick = 0; tick < 60000; tick += 200) {
            const MonotonicTime now = START + milliseconds(tick);
            budget.noteRequest(service, now);
            requests.push_back(now);
            if (budget.take(service, VMS, now)) {
                repeats.push_back(now);
            }
        }
    }
    std::sort(repeats.begin(), repeats.end());
    const auto within = [](const std::vector<MonotonicTime> &times, MonotonicTime from) {
        return std::count_if(times.begin(), times.end(), [from](MonotonicTime at) { return at >= from && at < from + seconds(10); });
    };
    for (int start = 0; start < 50; ++start) {
        const MonotonicTime from = START + seconds(start);
        BOOST_TEST(static_cast<double>(within(repeats, from)) <= 0.2 * static_cast<double>(within(requests, from)) + 52);
    }
    BOOST_TEST(!repeats.empty());
}

BOOST_AUTO_TEST_CASE(requestThatCrashesTargetsIsBanned)
{
    CrashRegister crashes;
    const Fingerprint killer(1);
    const Fingerprint bystander(2);
    crashes.noteLost(killer, TargetId("a"), START);
    crashes.noteLost(bystander, TargetId("a"), START);
    crashes.noteDown(TargetId("a"), START + milliseconds(10));
    BOOST_TEST(!crashes.isBanned(killer, START + seconds(1)));
    crashes.noteSurvived(bystander);
    crashes.noteLost(killer, TargetId("b"), START + seconds(2));
    crashes.noteDown(TargetId("b"), START + seconds(2));
    BOOST_TEST(crashes.isBanned(killer, START + seconds(3)));
    BOOST_TEST(!crashes.isBanned(bystander, START + seconds(3)));
    BOOST_TEST(!crashes.isBanned(killer, START + seconds(90)));
}

// Runners that lose answers by resets are no sign of a request that crashes them.
BOOST_AUTO_TEST_CASE(lostConnectionsAloneBanNothing)
{
    CrashRegister crashes;
    for (int round = 0; round < 10; ++round) {
        crashes.noteLost(Fingerprint(1), TargetId("a"), START + seconds(round));
    }
    BOOST_TEST(!crashes.isBanned(Fingerprint(1), START + seconds(10)));
}

BOOST_AUTO_TEST_CASE(copiesAboardOneTargetCountOnceAndDaemonsAddUp)
{
    CrashRegister crashes;
    for (int copy = 0; copy < 5; ++copy) {
        crashes.noteLost(Fingerprint(1), TargetId("a"), START);
    }
    crashes.noteDown(TargetId("a"), START);
    BOOST_TEST(!crashes.isBanned(Fingerprint(1), START));
    crashes.merge(VmId("other"), { { Fingerprint(1), 1 } }, START);
    BOOST_TEST(crashes.isBanned(Fingerprint(1), START));
    BOOST_REQUIRE_EQUAL(crashes.own(START).size(), 1U);
    BOOST_TEST(crashes.own(START).front().crashes == 1);
}

BOOST_AUTO_TEST_CASE(refusalsTellTheTruth)
{
    for (const GiveUpCause cause : { GiveUpCause::NoTarget,
                                     GiveUpCause::TargetRefused,
                                     GiveUpCause::TargetUnreachable,
                                     GiveUpCause::StagesFailed,
                                     GiveUpCause::Hopeless,
                                     GiveUpCause::TimedOut,
                                     GiveUpCause::Broken,
                                     GiveUpCause::NotAnAnswer,
                                     GiveUpCause::Banned,
                                     GiveUpCause::ShuttingDown,
                                     GiveUpCause::NoConfiguration,
                                     GiveUpCause::Crowded }) {
        const RefuseRequest notRun = refusalFor(cause, RunState::NotRun, seconds(1), {});
        BOOST_TEST(notRun.status == 503U);
        BOOST_TEST(notRun.retryAfter.has_value());
        const RefuseRequest unknown = refusalFor(cause, RunState::MayHaveRun, seconds(1), {});
        BOOST_TEST((unknown.status == 502U || unknown.status == 504U));
        BOOST_TEST(!unknown.retryAfter.has_value());
    }
}

// teranga-relay mix --seed 1066397404640: streams taken five seconds after SIGTERM were cut when the process ended.
BOOST_AUTO_TEST_CASE(leavingDaemonTakesOnlyWhatItCanFinish)
{
    const Route stream = route(RouteKind::Stream);
    Route call = route(RouteKind::Unsafe);
    call.timeout = milliseconds(1200);
    BOOST_TEST(mayTakeDuringShutdown(stream, seconds(1), milliseconds(7600)));
    BOOST_TEST(!mayTakeDuringShutdown(stream, milliseconds(5400), milliseconds(7600)));
    BOOST_TEST(mayTakeDuringShutdown(call, milliseconds(5400), milliseconds(7600)));
    BOOST_TEST(!mayTakeDuringShutdown(call, milliseconds(7000), milliseconds(7600)));
}

BOOST_AUTO_TEST_SUITE_END()
