#include "gateway/event_relay.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing::gateway;

BOOST_AUTO_TEST_SUITE(EventRelayTest)

// Guards against half an event being passed on, after which the stream could not go on elsewhere.
BOOST_AUTO_TEST_CASE(PassesWholeEventsOnly)
{
    EventRelay relay;
    BOOST_TEST(relay.accept("id: 1\ndata: one\n") == "");
    BOOST_TEST(relay.accept("\nid: 2\nda") == "id: 1\ndata: one\n\n");
    BOOST_TEST(relay.remainder() == "id: 2\nda");
    BOOST_TEST(relay.lastId().value() == "1");
}

// Guards against an event that the caller gets twice when the stream goes on at another engine.
BOOST_AUTO_TEST_CASE(DropsEventsThatWerePassedOn)
{
    EventRelay relay;
    relay.accept("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    relay.discardPartialEvent();
    BOOST_TEST(relay.accept("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

// Guards against carriage returns at line ends hiding the end of an event.
BOOST_AUTO_TEST_CASE(UnderstandsBothLineEnds)
{
    EventRelay relay;
    BOOST_TEST(relay.accept("id: 7\r\ndata: x\r\n\r\n") == "id: 7\r\ndata: x\r\n\r\n");
    BOOST_TEST(relay.lastId().value() == "7");
}

// Guards against memory that fills with an event which never ends.
BOOST_AUTO_TEST_CASE(TellsAnEventWithoutEnd)
{
    EventRelay relay;
    const std::string piece(100000, 'x');
    relay.accept("id: 1\ndata: ");
    for (int round = 0; round < 10; ++round)
        relay.accept(piece);
    BOOST_TEST(!relay.exceedsSizeLimit());
    relay.accept(piece);
    BOOST_TEST(relay.exceedsSizeLimit());
}

BOOST_AUTO_TEST_SUITE_END()
