#include <gateway/gateway.h>

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;

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

BOOST_AUTO_TEST_SUITE_END()
