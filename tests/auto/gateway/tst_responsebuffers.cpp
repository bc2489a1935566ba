#include "samples.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

BOOST_AUTO_TEST_SUITE(responsebuffers)

// Regression (report of an operator): a daemon kept what faulty targets sent without end, and ran out of memory. Each response had a limit
// of its own, and hundreds of them grew at a time.
BOOST_AUTO_TEST_CASE(responsesThatGrowTogetherStayWithinOneLimit)
{
    constexpr std::size_t LIMIT = 32U * 1024 * 1024;
    constexpr std::size_t PART = 8192;
    constexpr std::size_t SLACK = 400 * 16 * 1024; // what all may hold at least
    ResponseBuffers all(LIMIT);
    std::deque<ResponseBuffer> buffers;
    std::vector<std::size_t> sizes(400, 0);
    for (std::size_t number = 0; number < sizes.size(); ++number) {
        buffers.emplace_back(all);
    }
    int cut = 0;
    for (int round = 0; round < 1000; ++round) {
        for (std::size_t number = 0; number < sizes.size(); ++number) {
            sizes[number] += PART;
            if (!buffers[number].setBytes(sizes[number])) {
                sizes[number] = 0;
                buffers[number].setBytes(0);
                ++cut;
            }
            BOOST_REQUIRE(all.bytes() <= LIMIT + SLACK);
        }
    }
    BOOST_TEST(cut > 0);
    ResponseBuffer sound(all);
    BOOST_TEST(sound.setBytes(2000));
    buffers.clear();
    BOOST_TEST(all.bytes() == 2000U);
}

BOOST_AUTO_TEST_CASE(longResponseThatIsAloneIsNotCut)
{
    ResponseBuffers all;
    ResponseBuffer alone(all);
    BOOST_TEST(alone.setBytes(8U * 1024 * 1024));
}

// What an endless response has taken must be free again when its request ends.
BOOST_AUTO_TEST_CASE(requestThatEndsFreesItsBuffer)
{
    TargetRegistry targets { {}, {}, 1 };
    targets.put(target("t0", "engine"), START);
    RetryBudget retries { { 0.2, 1000, seconds(10) } };
    CrashTracker crashes;
    StageLatencyEstimator stageLatency;
    ReachabilityTracker reachability;
    Members members { VmId("vm-0"), {} };
    RelayContext context { targets, retries, crashes, stageLatency, reachability, members, 1 };
    context.responseBuffers = ResponseBuffers(100'000);
    Configuration configuration;
    configuration.version = 1;
    configuration.routes = { route(RouteKind::Unsafe) };
    RelayRequest request;
    request.table = std::make_shared<const RouteTable>(configuration);
    request.route = request.table->route("host.example", "/jobs/x");
    request.id = RequestId("request-1");
    request.service = ServiceName("engine");
    request.arrivedAt = START;
    request.deadline = START + seconds(15);
    request.timeoutAt = START + seconds(10);
    RelayMachine machine(request, context);
    machine.start(START);
    ResponseHead head;
    head.status = 200;
    head.isStamped = true;
    machine.onHead(1, head, START);
    machine.onBody(1, std::string(40'000, 'x'), START);
    BOOST_TEST(context.responseBuffers.bytes() == 40'000U);
    BOOST_TEST(!machine.isFinished());
    machine.onBody(1, std::string(40'000, 'x'), START);
    BOOST_TEST(machine.isFinished());
    BOOST_TEST(context.responseBuffers.bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
