#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay::Gateway;

BOOST_AUTO_TEST_SUITE(eventframer)

// The same complete events are returned, and never a partial one, wherever the bytes are split.
BOOST_AUTO_TEST_CASE(everySplitYieldsTheSameEvents)
{
    for (const std::string &stream :
         { std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), std::string("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n") }) {
        for (std::size_t first = 0; first <= stream.size(); ++first) {
            for (std::size_t second = first; second <= stream.size(); ++second) {
                EventFramer framer;
                std::string events = framer.add(stream.substr(0, first));
                BOOST_TEST(stream.compare(0, events.size(), events) == 0);
                events += framer.add(stream.substr(first, second - first));
                events += framer.add(stream.substr(second));
                BOOST_TEST(events == stream);
                BOOST_TEST(!framer.hasPartialEvent());
                BOOST_TEST(framer.lastEventId().value_or("") == "2");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(partialEventIsBufferedAndDiscarded)
{
    EventFramer framer;
    BOOST_TEST(framer.add("id: 7\ndata: whole\n\nid: 8\ndata: ha") == "id: 7\ndata: whole\n\n");
    BOOST_TEST(framer.hasPartialEvent());
    BOOST_TEST(*framer.lastEventId() == "7");
    framer.discardPartialEvent();
    BOOST_TEST(framer.add("id: 8\ndata: half\n\n") == "id: 8\ndata: half\n\n");
}

BOOST_AUTO_TEST_SUITE_END()
