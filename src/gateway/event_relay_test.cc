#include "gateway/event_relay.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing::gateway;

namespace {

const EventFormat format;

} // namespace

BOOST_AUTO_TEST_SUITE(EventRelayTest)

// Guards against forwarding an incomplete event, after which the stream could not be resumed elsewhere.
BOOST_AUTO_TEST_CASE(ForwardsCompleteEventsOnly)
{
    EventRelay relay(format);
    BOOST_TEST(relay.accept("id: 1\ndata: one\n") == "");
    BOOST_TEST(relay.accept("\nid: 2\nda") == "id: 1\ndata: one\n\n");
    BOOST_TEST(relay.remainder() == "id: 2\nda");
    BOOST_TEST(relay.lastId().value().text == "1");
}

// Guards against sending an event to the caller twice when the stream is resumed at another engine.
BOOST_AUTO_TEST_CASE(DropsEventsThatWereForwarded)
{
    EventRelay relay(format);
    relay.accept("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    relay.beginResponse();
    BOOST_TEST(relay.accept("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

// Guards against missing the end of an event whose lines end with CRLF.
BOOST_AUTO_TEST_CASE(AcceptsBothLineEndings)
{
    EventRelay relay(format);
    BOOST_TEST(relay.accept("id: 7\r\ndata: x\r\n\r\n") == "id: 7\r\ndata: x\r\n\r\n");
    BOOST_TEST(relay.lastId().value().text == "7");
}

// Guards against forwarding an error message between events, or an event after it, and against keeping the
// fault when the stream is resumed at another engine.
BOOST_AUTO_TEST_CASE(StopsAtTextThatIsNoEvent)
{
    EventRelay relay(format);
    BOOST_TEST(relay.accept("id: 1\ndata: a\n\nexhausted\n\nid: 2\ndata: b\n\n") == "id: 1\ndata: a\n\n");
    BOOST_TEST((relay.fault() == EventFault::UnknownField));
    BOOST_TEST(relay.accept("id: 3\ndata: c\n\n") == "");
    BOOST_TEST(relay.remainder() == "");
    BOOST_TEST(relay.lastId().value().text == "1");
    relay.beginResponse();
    BOOST_TEST(!relay.fault().has_value());
    BOOST_TEST(relay.accept("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

// Guards against taking a part of an event for a comment after the last one.
BOOST_AUTO_TEST_CASE(TellsWhetherAnEmptyLineEndsTheText)
{
    const std::string event = "id: 1\ndata: a\n\n";
    for (const char* rest : { "", "\n", "\r\n", ": ping\n\n", ": ping\r\n\r\n", ": a\n\n: b\n\n" }) {
        EventRelay relay(format);
        relay.accept(event + rest);
        BOOST_TEST(relay.endsWithEmptyLine(), rest);
    }
    for (const char* rest : { "\r", ":", ": ping", ": ping\n", ": ping\r\n\r", ": a\n\n: b\n", "id: 2\n" }) {
        EventRelay relay(format);
        relay.accept(event + rest);
        BOOST_TEST(!relay.endsWithEmptyLine(), rest);
    }
}

// Guards against unbounded memory use by an event that never ends.
BOOST_AUTO_TEST_CASE(DetectsAnOversizedEvent)
{
    EventRelay relay(format);
    const std::string piece(100000, 'x');
    relay.accept("id: 1\ndata: ");
    for (int round = 0; round < 10; ++round)
        relay.accept(piece);
    BOOST_TEST(!relay.exceedsSizeLimit());
    relay.accept(piece);
    BOOST_TEST(relay.exceedsSizeLimit());
}

BOOST_AUTO_TEST_SUITE_END()
