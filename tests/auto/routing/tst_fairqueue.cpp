#include <boost/test/unit_test.hpp>
#include <routing/routing.h>

using namespace CassiaRelay;
using namespace CassiaRelay::Routing;

namespace {

const MonotonicTime START = MonotonicTime() + std::chrono::hours(1);
constexpr std::size_t CAPACITY = 100;

WorkItem workItem(std::uint64_t id, const std::string &organisation, int priorityClass = 0, int deadlineSeconds = 9)
{
    WorkItem item;
    item.id = WorkId(id);
    item.organisation = OrganisationId(organisation);
    item.priorityClass = priorityClass;
    item.deadline = START + std::chrono::seconds(deadlineSeconds);
    return item;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fairQueue)

BOOST_AUTO_TEST_CASE(servesClassesThenDeadlines)
{
    FairQueue queue;
    queue.push(workItem(1, "a", 1, 1), 1, CAPACITY);
    queue.push(workItem(2, "a", 0, 5), 1, CAPACITY);
    queue.push(workItem(3, "a", 0, 4), 1, CAPACITY);
    BOOST_TEST(queue.pop()->id.value() == 3U);
    BOOST_TEST(queue.pop()->id.value() == 2U);
    BOOST_TEST(queue.pop()->id.value() == 1U);
    BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(organisationsAreServedByWeightWhateverTheirBacklog)
{
    FairQueue queue;
    for (std::uint64_t id = 0; id < 60; ++id) {
        queue.push(workItem(id, "large"), 1, CAPACITY);
    }
    for (std::uint64_t id = 100; id < 130; ++id) {
        queue.push(workItem(id, "small"), 2, CAPACITY);
    }
    int small = 0;
    for (int served = 0; served < 30; ++served) {
        small += queue.pop()->organisation.value() == "small" ? 1 : 0;
    }
    BOOST_TEST(small >= 19);
    BOOST_TEST(small <= 21);
}

BOOST_AUTO_TEST_CASE(queueingOneItemAtATimeGainsNoShare)
{
    FairQueue queue;
    for (std::uint64_t id = 0; id < 60; ++id) {
        queue.push(workItem(id, "steady"), 1, CAPACITY);
    }
    int single = 0;
    for (std::uint64_t served = 0; served < 40; ++served) {
        queue.push(workItem(1000 + served, "single"), 1, CAPACITY);
        single += queue.pop()->organisation.value() == "single" ? 1 : 0;
        queue.remove(WorkId(1000 + served));
    }
    BOOST_TEST(single >= 19);
    BOOST_TEST(single <= 21);
}

BOOST_AUTO_TEST_CASE(fullQueueEvictsFromTheLongestFlowOfTheLowestClass)
{
    FairQueue queue;
    queue.push(workItem(1, "a", 2, 1), 1, 3);
    queue.push(workItem(2, "b", 2, 1), 1, 3);
    queue.push(workItem(3, "b", 2, 2), 1, 3);
    BOOST_TEST(queue.push(workItem(4, "c", 0), 1, 3)->id.value() == 3U);
    BOOST_TEST(queue.push(workItem(5, "c", 3), 1, 3)->id.value() == 5U);
    BOOST_TEST(queue.push(workItem(6, "c", 1), 1, 3)->priorityClass == 2);
    BOOST_TEST(queue.size() == 3U);
}

BOOST_AUTO_TEST_CASE(smallOrganisationEvictsWorkOfALargeOneOfItsClass)
{
    FairQueue queue;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        queue.push(workItem(id, "large"), 1, 3);
    }
    BOOST_TEST(queue.push(workItem(4, "small"), 1, 3)->organisation.value() == "large");
    BOOST_TEST(queue.push(workItem(5, "large"), 1, 3)->id.value() == 5U);
}

BOOST_AUTO_TEST_CASE(removesExpiredWork)
{
    FairQueue queue;
    queue.push(workItem(1, "a", 0, 1), 1, CAPACITY);
    queue.push(workItem(2, "a", 0, 3), 1, CAPACITY);
    BOOST_TEST(queue.removeExpired(START + std::chrono::seconds(2)).size() == 1U);
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST(queue.pop()->id.value() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
