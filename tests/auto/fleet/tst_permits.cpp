#include <boost/test/unit_test.hpp>
#include <fleet/fleet.h>

#include <deque>

using namespace CassiaRelay;
using namespace CassiaRelay::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const MonotonicTime START = MonotonicTime() + std::chrono::hours(1);
const MonotonicTime SETTLED = START + seconds(2);
const TargetId TARGET("cold-target");

Cell cellOf(const std::vector<std::string> &names, std::int64_t revision)
{
    Schema::VmList list;
    for (const std::string &name : names) {
        Schema::VmEntry entry;
        entry.vm = name;
        list.vms.push_back(entry);
    }
    return { list, revision };
}

/** Permits of several daemons. Messages arrive at once and in order. */
class PermitNetwork
{
public:
    explicit PermitNetwork(std::vector<std::string> names)
        : m_names(std::move(names))
    {
        for (const std::string &name : m_names) {
            m_daemons.emplace(VmId(name), Permits(VmId(name), Incarnation(1)));
            adopt(name, cellOf(m_names, 1), START);
        }
    }

    void adopt(const std::string &name, const Cell &cell, MonotonicTime now)
    {
        deliver(VmId(name), m_daemons.at(VmId(name)).tick(cell, now), now);
    }

    /** @return whether the permit was granted */
    bool request(const std::string &name, std::uint64_t work, MonotonicTime now, int bound = 1, std::uint64_t incarnation = 1)
    {
        m_decisions.clear();
        const PermitRequest request { WorkId(work), TARGET, Incarnation(incarnation), bound, now + seconds(9) };
        deliver(VmId(name), m_daemons.at(VmId(name)).request(request, now), now);
        BOOST_REQUIRE_EQUAL(m_decisions.size(), 1U);
        return m_decisions.front().granted;
    }

    void returnPermit(const std::string &name, std::uint64_t work, MonotonicTime now)
    {
        deliver(VmId(name), m_daemons.at(VmId(name)).returnPermit(WorkId(work), TARGET, true), now);
    }

private:
    void deliver(const VmId &from, const Outputs &outputs, MonotonicTime now)
    {
        for (const Output &output : outputs) {
            if (const auto *decided = std::get_if<PermitDecided>(&output)) {
                m_decisions.push_back(*decided);
            }
            const auto *send = std::get_if<SendMessage>(&output);
            if (send == nullptr) {
                continue;
            }
            Permits &to = m_daemons.at(send->to);
            if (const auto *ask = std::get_if<Schema::PermitAsk>(&send->message)) {
                deliver(send->to, to.onAsk(from, *ask, now), now);
            } else if (const auto *answer = std::get_if<Schema::PermitAnswer>(&send->message)) {
                deliver(send->to, to.onAnswer(*answer), now);
            } else if (const auto *returned = std::get_if<Schema::PermitReturn>(&send->message)) {
                to.onReturn(from, *returned);
            }
        }
    }

    std::vector<std::string> m_names;
    std::map<VmId, Permits> m_daemons;
    std::vector<PermitDecided> m_decisions;
};

const std::vector<std::string> NAMES { "a", "b", "c", "d", "e" };

} // namespace

BOOST_AUTO_TEST_SUITE(permits)

BOOST_AUTO_TEST_CASE(sumOverAllDaemonsStaysWithinTheBound)
{
    PermitNetwork network(NAMES);
    BOOST_TEST(network.request("a", 1, SETTLED, 2));
    BOOST_TEST(network.request("b", 1, SETTLED, 2));
    BOOST_TEST(!network.request("c", 1, SETTLED, 2));
    network.returnPermit("a", 1, SETTLED);
    BOOST_TEST(network.request("c", 2, SETTLED, 2));
    BOOST_TEST(!network.request("d", 1, SETTLED, 2));
}

BOOST_AUTO_TEST_CASE(permitsEndWithTheirDeadline)
{
    PermitNetwork network(NAMES);
    BOOST_TEST(network.request("a", 1, SETTLED));
    for (const std::string &name : NAMES) {
        network.adopt(name, cellOf(NAMES, 1), SETTLED + seconds(8));
    }
    BOOST_TEST(!network.request("b", 1, SETTLED + seconds(8)));
    for (const std::string &name : NAMES) {
        network.adopt(name, cellOf(NAMES, 1), SETTLED + seconds(9));
    }
    BOOST_TEST(network.request("b", 2, SETTLED + seconds(9)));
}

BOOST_AUTO_TEST_CASE(newOwnerLearnsHeldPermitsBeforeItGrants)
{
    // Each member is removed in one round, so that one of the rounds removes the owner. The permit of the holder must still count.
    for (const std::string &removed : NAMES) {
        PermitNetwork network(NAMES);
        const std::string holder = removed == "a" ? "b" : "a";
        BOOST_REQUIRE(network.request(holder, 1, SETTLED));
        std::vector<std::string> remaining;
        for (const std::string &name : NAMES) {
            if (name != removed) {
                remaining.push_back(name);
            }
        }
        const MonotonicTime changed = SETTLED + seconds(1);
        for (const std::string &name : remaining) {
            network.adopt(name, cellOf(remaining, 2), changed);
        }
        const std::string other = remaining.back();
        BOOST_TEST(!network.request(other, 1, changed));
        BOOST_TEST(!network.request(other, 2, changed + seconds(2)));
        network.returnPermit(holder, 1, changed + seconds(2));
        BOOST_TEST(network.request(other, 3, changed + seconds(2)));
    }
}

BOOST_AUTO_TEST_CASE(askerInAnotherViewGetsNothing)
{
    PermitNetwork network(NAMES);
    for (const std::string &name : NAMES) {
        if (name != "a") {
            network.adopt(name, cellOf(NAMES, 2), START);
        }
    }
    // "a" can only get the permit if it owns the target itself. Then "b", which is in another view, must get none.
    const bool granted = network.request("a", 1, SETTLED);
    BOOST_TEST(!(granted && network.request("b", 1, SETTLED)));
}

BOOST_AUTO_TEST_CASE(restartedTargetStartsAgainWithItsBound)
{
    PermitNetwork network(NAMES);
    BOOST_TEST(network.request("a", 1, SETTLED, 1, 1));
    BOOST_TEST(!network.request("b", 1, SETTLED, 1, 1));
    BOOST_TEST(network.request("b", 2, SETTLED, 1, 2));
}

BOOST_AUTO_TEST_SUITE_END()
