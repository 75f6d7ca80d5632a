#include "gateway/proxied_call_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;

BOOST_AUTO_TEST_SUITE(ProxiedCallStreamsTest)

// Guards against an interrupted stream appearing complete to the caller.
BOOST_AUTO_TEST_CASE(AnInterruptedStreamIsAborted)
{
    ProxiedCallFixture fixture;
    fixture.send("/stream/1");
    fixture.breakStream(0, "id: 1\ndata: a\n\nid: 2\nda");
    BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n");
    BOOST_TEST(fixture.exchange->isAborted);
    BOOST_TEST(fixture.client.calls.size() == 1);
}

// Guards against an answer that was broken off and reaches its caller as complete: nothing but the end of the
// connection ended it at its upstream.
BOOST_AUTO_TEST_CASE(AnAnswerWhoseEndIsNotMarkedIsNotFramedAsComplete)
{
    for (const auto& [path, isStream] : { std::pair("/once/1", false), std::pair("/stream/1", true) }) {
        for (const char* framing : { "", "Transfer-Encoding", "Content-Length" }) {
            ProxiedCallFixture fixture;
            fixture.send(path);
            HttpHeaders headers { { "id", "r-1" }, { "seal", "1" } };
            if (isStream)
                headers.add("stream", "1");
            if (*framing)
                headers.add(framing, "15");
            fixture.upstream(0).handlers.onHeaders(200, headers);
            fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\n");
            fixture.upstream(0).end();
            BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n");
            BOOST_TEST(fixture.exchange->isEnded);
            const bool isUnmarked = fixture.exchange->streamEnd == StreamEnd::ConnectionClose;
            BOOST_TEST(isUnmarked == (*framing == '\0'));
        }
    }
}

// Guards against a last chunk after the answer of a second engine, whose end is not marked.
BOOST_AUTO_TEST_CASE(AResumedStreamWhoseEndIsNotMarkedIsCutOff)
{
    ProxiedCallFixture fixture;
    fixture.send("/resume/1");
    fixture.upstream(0).handlers.onHeaders(
        200, { { "id", "r-1" }, { "seal", "1" }, { "stream", "1" }, { "Transfer-Encoding", "chunked" } });
    fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\n");
    fixture.upstream(0).end(HttpClientError::ConnectionLost);
    fixture.upstream(1).handlers.onHeaders(200, { { "id", "r-1" }, { "seal", "1" }, { "stream", "1" } });
    fixture.upstream(1).handlers.onBody("id: 2\ndata: b\n\n");
    fixture.upstream(1).end();
    BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(fixture.exchange->isAborted);
}

// Guards against a stream that ends as complete with a part of an event, because the upstream's response
// ended there in an orderly way.
BOOST_AUTO_TEST_CASE(AnOrderlyEndInsideAnEventDoesNotCompleteTheStream)
{
    const std::string event = "id: 2\ndata: b\n\n";
    for (size_t length = 1; length < event.size(); ++length) {
        ProxiedCallFixture fixture;
        fixture.send("/stream/1");
        fixture.endStream(0, "id: 1\ndata: a\n\n" + event.substr(0, length));
        BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n");
        BOOST_TEST(fixture.exchange->isAborted);
        fixture.send("/stream/1");
        fixture.endStream(1, event.substr(0, length));
        BOOST_TEST(fixture.exchange->responseStatus == 502);
        BOOST_TEST(fixture.client.calls.size() == 2);
    }
}

// Guards against forwarding the text of an error that an upstream writes into a stream, and against a stream
// that ends as complete after it.
BOOST_AUTO_TEST_CASE(AnErrorTextInAStreamIsNotForwarded)
{
    const std::string event = "id: 1\ndata: a\n\n";
    const std::string head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\nexhausted";
    for (const char* path : { "/stream/1", "/resume/1" }) {
        for (const std::string& text :
            { head, "id: 2\ndata: b\n" + head, std::string("data: exhausted\n\n") }) {
            ProxiedCallFixture fixture;
            fixture.send(path);
            fixture.upstream(0).head(200, "r-1", true);
            fixture.upstream(0).handlers.onBody(event + text);
            BOOST_TEST(fixture.upstream(0).isCancelled);
            fixture.upstream(0).end(HttpClientError::Cancelled);
            if (fixture.client.calls.size() == 1) {
                BOOST_TEST(fixture.exchange->responseBody == event);
                BOOST_TEST(fixture.exchange->isAborted);
                continue;
            }
            BOOST_TEST(fixture.upstream(1).request.headers.find("last-event").value() == "1");
            fixture.endStream(1, "id: 2\ndata: c\n\n");
            BOOST_TEST(fixture.exchange->responseBody == event + "id: 2\ndata: c\n\n");
            BOOST_TEST(!fixture.exchange->isAborted);
        }
    }
}

// Guards against forwarding encoded bytes as events, and against a stream that ends as complete because the
// response of the engine at which it was to be resumed could not be read.
BOOST_AUTO_TEST_CASE(AnEncodedStreamIsNotForwarded)
{
    const HttpHeaders encoded { { "id", "r-1" }, { "stream", "1" }, { "seal", "1" }, { "encoding", "gzip" } };
    ProxiedCallFixture fixture;
    fixture.send("/stream/1");
    fixture.upstream(0).handlers.onHeaders(200, encoded);
    fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\n");
    fixture.upstream(0).end();
    BOOST_TEST(fixture.exchange->responseStatus == 502);
    fixture.send("/resume/1");
    fixture.breakStream(1, "id: 1\ndata: a\n\n");
    BOOST_REQUIRE(fixture.client.calls.size() == 3);
    fixture.upstream(2).handlers.onHeaders(200, encoded);
    fixture.upstream(2).handlers.onBody("id: 2\ndata: b\n\n");
    fixture.upstream(2).end();
    BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n");
    BOOST_TEST(fixture.exchange->isAborted);
}

// Guards against an empty stream that looks complete, and against the end of a resumed stream without a
// further event, because the upstream closed the connection after its head or says that the body is empty.
BOOST_AUTO_TEST_CASE(AStreamThatEndsWithItsHeadIsNotComplete)
{
    const HttpHeaders head { { "id", "r-1" }, { "stream", "1" }, { "seal", "1" } };
    HttpHeaders empty = head;
    empty.add("Content-Length", "0");
    for (const HttpHeaders& headers : { head, empty }) {
        ProxiedCallFixture fixture;
        fixture.send("/stream/1");
        fixture.upstream(0).handlers.onHeaders(200, headers);
        fixture.upstream(0).end();
        BOOST_TEST(fixture.exchange->responseStatus == 502);
        fixture.send("/resume/1");
        fixture.breakStream(1, "id: 1\ndata: a\n\n");
        BOOST_REQUIRE(fixture.client.calls.size() == 3);
        fixture.upstream(2).handlers.onHeaders(200, headers);
        fixture.upstream(2).end();
        BOOST_TEST(fixture.exchange->isAborted);
    }
}

// Guards against 502 for a request that the upstream has answered well: an answer to HEAD has no body, so it
// is not a stream that ended with its head.
BOOST_AUTO_TEST_CASE(TheHeadOfAStreamIsForwardedToHead)
{
    ProxiedCallFixture fixture;
    const HttpHeaders headers { { "Host", "a.example" }, { "id", "r-1" }, { "key", "key-1" } };
    const auto exchange = std::make_shared<FakeExchange>("HEAD", "/once/1", headers, "");
    const auto call = std::make_shared<ProxiedCall>(fixture.services, exchange, [](ProxiedCall*) {});
    call->start();
    fixture.upstream(0).head(200, "r-1", true);
    fixture.upstream(0).end();
    BOOST_TEST(exchange->responseStatus == 200);
}

// Guards against replacing a service's answer by 502 where the route has no streams: only their events need
// ids.
BOOST_AUTO_TEST_CASE(ABodyOfTheTypeOfAStreamOnARouteWithoutStreamsIsForwarded)
{
    ProxiedCallFixture fixture;
    fixture.send("/once/1");
    fixture.endStream(0, "data: seat 7\n\n");
    BOOST_TEST(fixture.exchange->responseStatus == 200);
    BOOST_TEST(fixture.exchange->responseBody == "data: seat 7\n\n");
}

// Guards against a stream without an event that looks complete: comments and line ends are no pieces, so an
// upstream that sent only those before the connection closed has not made a whole stream.
BOOST_AUTO_TEST_CASE(AStreamOfCommentsThatEndsWithItsConnectionIsNotComplete)
{
    for (const char* text : { ": keep-alive\n\n", "\n\n" }) {
        ProxiedCallFixture fixture;
        fixture.send("/stream/1");
        fixture.endStream(0, text);
        const bool looksComplete = fixture.exchange->responseStatus == 200 && !fixture.exchange->isAborted;
        BOOST_TEST(!looksComplete);
    }
}

// Guards against cutting off a stream that could begin anew elsewhere, because a comment came before the
// upstream broke off.
BOOST_AUTO_TEST_CASE(AStreamThatBreaksOffAfterACommentBeginsAnewAtAnotherUpstream)
{
    ProxiedCallFixture fixture;
    fixture.send("/resume/1");
    fixture.breakStream(0, ": keep-alive\n\nid: 1\nda");
    BOOST_TEST(!fixture.exchange->isAborted);
    BOOST_TEST(fixture.client.calls.size() == 2);
}

// Guards against taking line ends after the last event for a part of another one.
BOOST_AUTO_TEST_CASE(LineEndsAfterTheLastEventAreForwarded)
{
    ProxiedCallFixture fixture;
    fixture.send("/stream/1");
    fixture.endStream(0, "id: 1\ndata: a\n\n\r\n");
    BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n\r\n");
    BOOST_TEST(fixture.exchange->isEnded);
}

// Guards against losing or repeating an event when a stream is resumed at another engine.
BOOST_AUTO_TEST_CASE(AResumableStreamIsResumedAtAnotherUpstream)
{
    ProxiedCallFixture fixture;
    fixture.send("/resume/1");
    fixture.breakStream(0, "id: 1\ndata: a\n\nid: 2\nda");
    BOOST_REQUIRE(fixture.client.calls.size() == 2);
    BOOST_TEST(fixture.upstream(1).request.headers.find("last-event").value() == "1");
    fixture.endStream(1, "id: 2\ndata: b\n\n");
    BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(fixture.exchange->isEnded);
    BOOST_TEST(!fixture.exchange->isAborted);
}

// Guards against an event that is joined from two runs, the first of which broke off before its first whole
// event.
BOOST_AUTO_TEST_CASE(AnUnfinishedFirstEventIsNotJoinedWithTheNextRun)
{
    const std::string first = "id: 1\ndata: a\n\n";
    for (size_t length = 1; length < first.size(); ++length) {
        ProxiedCallFixture fixture;
        fixture.send("/resume/1");
        fixture.breakStream(0, first.substr(0, length));
        BOOST_REQUIRE(fixture.client.calls.size() == 2);
        fixture.endStream(1, "id: 1\ndata: b\n\n");
        BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: b\n\n");
        BOOST_TEST(fixture.exchange->isEnded);
    }
}

// Guards against a stream ending as complete because the engine at which it was to be resumed failed (hunt on
// falaj-mf, trouble-1, seed 45357281704).
BOOST_AUTO_TEST_CASE(AFailedResumptionDoesNotCompleteTheStream)
{
    for (const int status : { 500, 404, 200 }) {
        ProxiedCallFixture fixture;
        fixture.send("/resume/1");
        fixture.breakStream(0, "id: 1\ndata: a\n\n");
        BOOST_REQUIRE(fixture.client.calls.size() == 2);
        fixture.upstream(1).head(status, "r-1", false);
        fixture.upstream(1).handlers.onBody("an error page");
        fixture.upstream(1).end();
        BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n");
        BOOST_TEST(fixture.exchange->isAborted);
    }
}

BOOST_AUTO_TEST_SUITE_END()
