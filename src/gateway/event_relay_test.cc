#include "gateway/event_relay.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing::gateway;

BOOST_AUTO_TEST_SUITE(EventRelayTest)

// Guards against forwarding an incomplete event, after which the stream could not be resumed elsewhere.
BOOST_AUTO_TEST_CASE(ForwardsCompleteEventsOnly)
{
    EventRelay relay;
    BOOST_TEST(relay.accept("id: 1\ndata: one\n") == "");
    BOOST_TEST(relay.accept("\nid: 2\nda") == "id: 1\ndata: one\n\n");
    BOOST_TEST(relay.remainder() == "id: 2\nda");
    BOOST_TEST(relay.lastId().value() == "1");
}

// Guards against sending an event to the caller twice when the stream is resumed at another engine.
BOOST_AUTO_TEST_CASE(DropsEventsThatWereForwarded)
{
    EventRelay relay;
    relay.accept("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    relay.discardPartialEvent();
    BOOST_TEST(relay.accept("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

// Guards against missing the end of an event whose lines end with CRLF.
BOOST_AUTO_TEST_CASE(AcceptsBothLineEndings)
{
    EventRelay relay;
    BOOST_TEST(relay.accept("id: 7\r\ndata: x\r\n\r\n") == "id: 7\r\ndata: x\r\n\r\n");
    BOOST_TEST(relay.lastId().value() == "7");
}

// Guards against unbounded memory use by an event that never ends.
BOOST_AUTO_TEST_CASE(DetectsAnOversizedEvent)
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
