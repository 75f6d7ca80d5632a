#include "gateway/event_format.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing::gateway;

BOOST_AUTO_TEST_SUITE(EventFormatTest)

// Guards against breaking streams whose events are written in another way than the usual one.
BOOST_AUTO_TEST_CASE(AcceptsTheFieldsOfServerSentEvents)
{
    const EventFormat format({ "x-version" });
    for (const char* event : { "id: 7\ndata: a\n\n", "id:7\r\ndata:a\r\n\r\n", "\n\r\ndata: a\nid: 7\n\n",
             "x-version: 3\nid: 7\nevent: token\nretry: 10\n: comment\ndata\ndata: b\n\n" }) {
        BOOST_TEST_CONTEXT(event)
        {
            const ParsedEvent parsed = format.parse(event);
            BOOST_TEST(!parsed.fault.has_value());
            BOOST_REQUIRE(parsed.id.has_value());
            BOOST_TEST(parsed.id->number == 7U);
            BOOST_TEST(parsed.id->text == "7");
        }
    }
    const ParsedEvent comment = format.parse(": keep-alive\n\n");
    BOOST_TEST(!comment.fault.has_value());
    BOOST_TEST(!comment.id.has_value());
}

// Guards against taking an error message or the head of a response for an event.
BOOST_AUTO_TEST_CASE(TellsTheFaultOfTextThatIsNoEvent)
{
    const std::pair<const char*, EventFault> cases[] = {
        { "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\n", EventFault::UnknownField },
        { "id: 3\ndata: a\nHTTP/1.1 500 Internal Server Error\r\n\r\n", EventFault::UnknownField },
        { "id: 3\ndata: a\nContent-Type: text/plain\n\n", EventFault::UnknownField },
        { "engine exhausted\n\n", EventFault::UnknownField },
        { "{\"id\": 3, \"data\": 1}\n\n", EventFault::UnknownField },
        { "iid: 3\ndata: a\n\n", EventFault::UnknownField },
        { "data: {\"error\": \"engine exhausted\"}\n\n", EventFault::MissingId },
        { "id: 3\nid: 3\ndata: a\n\n", EventFault::RepeatedId },
        { "id: 3 3\ndata: a\n\n", EventFault::UnreadableId },
        { "id: -3\ndata: a\n\n", EventFault::UnreadableId },
        { "id\ndata: a\n\n", EventFault::UnreadableId },
        { "id: 18446744073709551616\ndata: a\n\n", EventFault::UnreadableId },
        { "id: 3\n\n", EventFault::MissingData },
    };
    for (const auto& [text, fault] : cases) {
        BOOST_TEST_CONTEXT(text)
        {
            const ParsedEvent parsed = EventFormat().parse(text);
            BOOST_REQUIRE(parsed.fault.has_value());
            BOOST_TEST(toString(*parsed.fault) == toString(fault));
            BOOST_TEST(!parsed.id.has_value());
        }
    }
}

// Guards against passing on an error text that follows a part of an event: after each byte of an event whose
// lines end in one way, a head whose lines end in another way is no part of it.
BOOST_AUTO_TEST_CASE(AHeadAfterAPartOfAnEventIsNoEvent)
{
    const std::string event = "id: 3\ndata: token\n";
    for (size_t length = 1; length <= event.size(); ++length) {
        const std::string text = event.substr(0, length) + "HTTP/1.1 503 Service Unavailable\r\n\r\n";
        BOOST_TEST(EventFormat().parse(text).fault.has_value(), "accepted after " << length << " bytes");
    }
}

BOOST_AUTO_TEST_SUITE_END()
