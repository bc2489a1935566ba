#include <boost/test/unit_test.hpp>
#include <routing/routing.h>

using namespace CassiaRelay;
using namespace CassiaRelay::Routing;
using std::chrono::milliseconds;

namespace {

const MonotonicTime START = MonotonicTime() + std::chrono::hours(1);
const PoolName POOL("models");

template<typename DecisionType>
std::vector<DecisionType> decisionsOf(const Decisions &decisions)
{
    std::vector<DecisionType> found;
    for (const Decision &decision : decisions) {
        if (const auto *match = std::get_if<DecisionType>(&decision)) {
            found.push_back(*match);
        }
    }
    return found;
}

/** A dispatcher in failure domain "d0" with targets t0, t1, ... assigned to the domains d0, d1, d2 in turn. */
class Fixture
{
public:
    explicit Fixture(int targets, const std::string &policy = "managed")
        : m_policy(policy)
    {
        for (int index = 0; index < targets; ++index) {
            Schema::TargetEntry entry;
            entry.target = "t" + std::to_string(index);
            entry.pool = POOL.value();
            entry.failureDomain = "d" + std::to_string(index % 3);
            entry.incarnation = 1;
            m_list.targets.push_back(entry);
        }
        applyConfiguration();
    }

    Decisions applyConfiguration(const std::string &exceptions = "")
    {
        const auto settings = Settings::FleetSettings::parse(
            R"({"defaults": {"concurrency": 2, "queueLength": 8, "ejectionPercent": 50, "policy": ")" + m_policy
                + R"("}, "organisations": [], "pipelines": [], "exceptions": [)" + exceptions + "]}",
            1);
        return m_dispatcher.applyConfiguration(std::make_shared<const TargetTable>(m_list, *settings), settings, m_now);
    }

    Decisions submit(std::uint64_t fingerprint = 0, int attempt = 0)
    {
        WorkItem item;
        item.id = WorkId(++m_lastWork);
        item.organisation = OrganisationId("a");
        item.pool = POOL;
        item.deadline = m_now + deadline;
        item.fingerprint = Fingerprint(fingerprint == 0 ? 1000 + m_lastWork : fingerprint);
        item.isFirstStage = true;
        item.attempt = attempt;
        return m_dispatcher.submit(item, m_now);
    }

    Decisions finish(WorkId work, AttemptOutcome outcome = AttemptOutcome::Succeeded, milliseconds time = milliseconds(10))
    {
        m_now += milliseconds(1);
        return m_dispatcher.onFinished(work, outcome, time, m_now);
    }

    /** Grants every requested permit and returns the work items that started. */
    std::vector<Assign> grantAll(const Decisions &decisions)
    {
        std::vector<Assign> started = decisionsOf<Assign>(decisions);
        for (const RequestPermit &request : decisionsOf<RequestPermit>(decisions)) {
            const auto more = decisionsOf<Assign>(m_dispatcher.onPermit(request.work, request.target, true, m_now));
            started.insert(started.end(), more.begin(), more.end());
        }
        return started;
    }

    /** Runs enough work items to make every target that receives them warm. */
    void warmUp()
    {
        for (int round = 0; round < 600; ++round) {
            for (const Assign &assign : grantAll(submit())) {
                finish(assign.work);
            }
        }
    }

    WorkId lastWork() const
    {
        return WorkId(m_lastWork);
    }

    Dispatcher m_dispatcher { 42, VmId("vm0"), FailureDomain("d0") };
    Schema::TargetList m_list;
    MonotonicTime m_now = START;
    milliseconds deadline { 9000 };

private:
    std::string m_policy;
    std::uint64_t m_lastWork = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher)

BOOST_AUTO_TEST_CASE(unknownTargetsGetWorkOnlyWithAPermit)
{
    Fixture fixture(1);
    const Decisions first = fixture.submit();
    BOOST_REQUIRE(decisionsOf<RequestPermit>(first).size() == 1U);
    BOOST_TEST(decisionsOf<Assign>(first).empty());
    BOOST_TEST(fixture.submit().empty());
    const auto started = fixture.grantAll(first);
    BOOST_REQUIRE(started.size() == 1U);
    const Decisions after = fixture.finish(started[0].work);
    BOOST_TEST(decisionsOf<ReturnPermit>(after).at(0).succeeded);
}

BOOST_AUTO_TEST_CASE(refusedPermitKeepsTheWorkQueued)
{
    Fixture fixture(1);
    const RequestPermit request = decisionsOf<RequestPermit>(fixture.submit()).at(0);
    BOOST_TEST(fixture.m_dispatcher.onPermit(request.work, request.target, false, fixture.m_now).empty());
    BOOST_TEST(fixture.m_dispatcher.tick(fixture.m_now + milliseconds(10)).empty());
    const Decisions later = fixture.m_dispatcher.tick(fixture.m_now + milliseconds(30));
    BOOST_TEST(decisionsOf<RequestPermit>(later).at(0).work == request.work);
}

BOOST_AUTO_TEST_CASE(permitForWithdrawnWorkIsReturned)
{
    Fixture fixture(1);
    const RequestPermit request = decisionsOf<RequestPermit>(fixture.submit()).at(0);
    fixture.m_dispatcher.withdraw(request.work, fixture.m_now);
    const Decisions late = fixture.m_dispatcher.onPermit(request.work, request.target, true, fixture.m_now);
    BOOST_TEST(decisionsOf<Assign>(late).empty());
    BOOST_TEST(decisionsOf<ReturnPermit>(late).size() == 1U);
}

BOOST_AUTO_TEST_CASE(warmTargetsRunWorkUpToTheirLimit)
{
    Fixture fixture(1);
    fixture.warmUp();
    BOOST_TEST(decisionsOf<Assign>(fixture.submit()).size() == 1U);
    BOOST_TEST(decisionsOf<Assign>(fixture.submit()).size() == 1U);
    BOOST_TEST(fixture.submit().empty());
    BOOST_TEST(fixture.m_dispatcher.demand().at(0).demand == 3);
}

BOOST_AUTO_TEST_CASE(shareLimitsTheWorkOnAWarmTarget)
{
    Fixture fixture(1);
    fixture.warmUp();
    fixture.m_dispatcher.setCellDemand({ VmId("vm0"), { { POOL, { { VmId("vm0"), 1, false }, { VmId("vm1"), 9, false } } } } });
    fixture.m_dispatcher.tick(fixture.m_now);
    BOOST_TEST(decisionsOf<Assign>(fixture.submit()).size() == 1U);
    BOOST_TEST(fixture.submit().empty());
}

BOOST_AUTO_TEST_CASE(restartColdFlagAndSlowAnswersMakeATargetCold)
{
    const LoadReport restarted { 0, 0, Incarnation(2), false };
    const LoadReport cold { 0, 0, Incarnation(1), true };
    for (const LoadReport &report : { restarted, cold }) {
        Fixture fixture(1);
        fixture.warmUp();
        fixture.m_dispatcher.onLoadReport(TargetId("t0"), report, fixture.m_now);
        BOOST_TEST(decisionsOf<RequestPermit>(fixture.submit()).size() == 1U);
    }
    Fixture fixture(1);
    fixture.warmUp();
    for (int answer = 0; answer < 3; ++answer) {
        fixture.submit();
        fixture.finish(fixture.lastWork(), AttemptOutcome::Succeeded, milliseconds(500));
    }
    BOOST_TEST(decisionsOf<RequestPermit>(fixture.submit()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(localDomainIsPreferredWhileItHasFreeSlots)
{
    Fixture fixture(3);
    fixture.warmUp();
    // Only the local target is warm: the others have not had any work yet.
    BOOST_TEST(decisionsOf<Assign>(fixture.submit()).at(0).target == TargetId("t0"));
    BOOST_TEST(decisionsOf<Assign>(fixture.submit()).at(0).target == TargetId("t0"));
    BOOST_TEST(decisionsOf<RequestPermit>(fixture.submit()).at(0).target != TargetId("t0"));
}

BOOST_AUTO_TEST_CASE(disabledDomainGetsNoNewWorkAndReturnsCold)
{
    Fixture fixture(2);
    fixture.warmUp();
    const WorkId running = decisionsOf<Assign>(fixture.submit()).at(0).work;
    fixture.applyConfiguration(R"({"match": {"failureDomain": "d0"}, "set": {"out": true}, "reason": "repair"})");
    BOOST_TEST(decisionsOf<RequestPermit>(fixture.submit()).at(0).target == TargetId("t1"));
    BOOST_TEST(fixture.submit().empty());
    fixture.finish(running);
    const Decisions back = fixture.applyConfiguration();
    BOOST_TEST(decisionsOf<RequestPermit>(back).at(0).target == TargetId("t0"));
}

BOOST_AUTO_TEST_CASE(earlyRefusalLetsProbesRenewTheMeasurements)
{
    Fixture fixture(1);
    fixture.warmUp();
    for (int answer = 0; answer < 300; ++answer) {
        for (const Assign &assign : fixture.grantAll(fixture.submit())) {
            fixture.finish(assign.work, AttemptOutcome::Succeeded, milliseconds(1000));
        }
    }
    fixture.deadline = milliseconds(100);
    const auto refused = decisionsOf<Reject>(fixture.submit());
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_CHECK(refused[0].refusal.kind == ErrorKind::DeadlineUnreachable);
    BOOST_TEST(refused[0].refusal.retryAfter.has_value());
    fixture.m_now += milliseconds(300);
    BOOST_TEST(decisionsOf<Reject>(fixture.submit()).empty());
}

BOOST_AUTO_TEST_CASE(failingTargetsAreEjectedUpToTheEjectionLimit)
{
    Fixture fixture(2);
    for (int attempt = 0; attempt < 12; ++attempt) {
        for (const Assign &assign : fixture.grantAll(fixture.submit())) {
            fixture.finish(assign.work, AttemptOutcome::Failed);
        }
    }
    // t0 is ejected; t1 fails as often, but ejecting it as well would exceed the ejection limit of 50 percent and leave no target.
    BOOST_TEST(fixture.grantAll(fixture.submit()).at(0).target == TargetId("t1"));
    BOOST_TEST(fixture.submit().empty());
    fixture.m_now += std::chrono::seconds(20);
    BOOST_TEST(decisionsOf<RequestPermit>(fixture.m_dispatcher.tick(fixture.m_now)).empty());
    BOOST_TEST(decisionsOf<RequestPermit>(fixture.submit()).at(0).target == TargetId("t0"));
}

BOOST_AUTO_TEST_CASE(crashingRequestLosesAtMostTwoTargets)
{
    constexpr std::uint64_t CRASHING = 7;
    Fixture fixture(6);
    fixture.warmUp();
    std::set<TargetId> lost;
    Decisions reported;
    for (int sent = 0; sent < 20; ++sent) {
        for (const Assign &assign : fixture.grantAll(fixture.submit(CRASHING))) {
            lost.insert(assign.target);
            const Decisions after = fixture.finish(assign.work, AttemptOutcome::ConnectionLost);
            reported.insert(reported.end(), after.begin(), after.end());
        }
        fixture.m_now += milliseconds(100);
    }
    BOOST_TEST(lost.size() == 2U);
    BOOST_CHECK(decisionsOf<Reject>(fixture.submit(CRASHING)).at(0).refusal.kind == ErrorKind::Quarantined);
    BOOST_TEST(decisionsOf<Reject>(fixture.submit()).empty());
    BOOST_TEST(decisionsOf<ReportLoss>(reported).size() == 2U);
    const LoadReport restarted { 0, 0, Incarnation(2), false };
    fixture.m_dispatcher.onLoadReport(*lost.begin(), restarted, fixture.m_now);
    BOOST_CHECK(decisionsOf<Reject>(fixture.submit(CRASHING)).at(0).refusal.kind == ErrorKind::Quarantined);
}

BOOST_AUTO_TEST_CASE(suspectRunsExclusively)
{
    constexpr std::uint64_t SUSPECTED = 7;
    Fixture fixture(1);
    fixture.warmUp();
    fixture.m_dispatcher.onQuarantine(Fingerprint(SUSPECTED), QuarantineState::Suspect, fixture.m_now);
    const WorkId other = decisionsOf<Assign>(fixture.submit()).at(0).work;
    BOOST_TEST(fixture.submit(SUSPECTED).empty());
    const WorkId suspect = fixture.lastWork();
    BOOST_TEST(fixture.submit().empty());
    const auto started = decisionsOf<Assign>(fixture.finish(other));
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].work == suspect);
    const Decisions after = fixture.finish(suspect);
    BOOST_TEST(decisionsOf<ReportSurvived>(after).size() == 1U);
    BOOST_TEST(decisionsOf<Assign>(after).size() == 1U);
}

BOOST_AUTO_TEST_CASE(baselinePoliciesAssignImmediately)
{
    for (const char *policy : { "random", "round-robin", "least-in-flight" }) {
        Fixture fixture(3, policy);
        std::map<TargetId, int> counts;
        for (int request = 0; request < 30; ++request) {
            ++counts[decisionsOf<Assign>(fixture.submit()).at(0).target];
        }
        BOOST_TEST(counts.size() == 3U);
        BOOST_TEST((policy == std::string("random") || counts[TargetId("t1")] == 10));
    }
}

BOOST_AUTO_TEST_SUITE_END()
