#include "gateway/proxied_call.h"

#include "daemon/fake_exchange_test.h"
#include "gateway/fake_call_services_test.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

struct Fixture : FakeCallServices {
    void send(const char* path, const char* key = "key-1")
    {
        exchange = std::make_shared<FakeExchange>(
            "POST", path, HttpHeaders { { "Host", "a.example" }, { "id", "r-1" }, { "key", key } }, "");
        call = std::make_shared<ProxiedCall>(services, exchange, [](ProxiedCall*) {});
        call->start();
    }
    /// @param parts hashes of the prompt's parts.
    void sendPrompt(const char* path, const std::string& parts)
    {
        exchange = std::make_shared<FakeExchange>("POST", path,
            HttpHeaders { { "Host", "a.example" }, { "id", "r-1" }, { "key", "key-1" }, { "parts", parts } },
            "");
        call = std::make_shared<ProxiedCall>(services, exchange, [](ProxiedCall*) {});
        call->start();
    }
    /// Gives each upstream a new process, some time later.
    void restartUpstreams()
    {
        scheduler.advance(500ms);
        ++rows.startedAt;
        store.put({ "servers", "s-1" }, "ready");
        store.put({ "servers", "s-2" }, "ready");
        scheduler.advance(500ms);
    }
    UpstreamCall& upstream(size_t index) { return *client.calls.at(index); }
    /// Serves a request by an upstream that states a limit.
    UpstreamId serveWithLimit(const std::string& limit)
    {
        send("/once/1");
        UpstreamCall& last = *client.calls.back();
        last.handlers.onHeaders(200, { { "id", "r-1" }, { "seal", "1" }, { "limit", limit } });
        last.end();
        return UpstreamId(*last.request.headers.find("expect"));
    }

    std::shared_ptr<FakeExchange> exchange;
    std::shared_ptr<ProxiedCall> call;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ProxiedCallTest)

BOOST_AUTO_TEST_CASE(ForwardsAResponse)
{
    Fixture fixture;
    fixture.send("/once/1");
    fixture.upstream(0).head(200, "r-1", false);
    fixture.upstream(0).handlers.onBody("seat 7");
    fixture.upstream(0).end();
    BOOST_TEST(fixture.exchange->responseStatus == 200);
    BOOST_TEST(fixture.exchange->responseBody == "seat 7");
}

// Guards against a second run of an at-most-once request, and against a rejection that states that the
// request has not run although it may have.
BOOST_AUTO_TEST_CASE(ARequestThatMayHaveRunIsNeitherRetriedNorRejected)
{
    Fixture fixture;
    fixture.send("/once/1");
    fixture.upstream(0).end(HttpClientError::ConnectionLost);
    BOOST_TEST(fixture.client.calls.size() == 1);
    BOOST_TEST(fixture.exchange->responseStatus == 502);
    fixture.send("/once/1");
    fixture.upstream(1).head(503, "r-1", false);
    fixture.upstream(1).end();
    BOOST_TEST(fixture.client.calls.size() == 2);
    BOOST_TEST(fixture.exchange->responseStatus == 502);
}

// Guards against failing a request that the upstream states it has not run, instead of retrying it.
BOOST_AUTO_TEST_CASE(ARequestThatWasNotExecutedIsRetriedAtAnotherUpstream)
{
    Fixture fixture;
    fixture.send("/once/1");
    fixture.upstream(0).notExecuted(503);
    BOOST_REQUIRE(fixture.client.calls.size() == 2);
    BOOST_TEST(fixture.upstream(0).request.headers.find("expect").value()
        != fixture.upstream(1).request.headers.find("expect").value());
    fixture.upstream(1).notExecuted(503);
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    BOOST_TEST(fixture.exchange->responseHeaders.count("retry") == 1);
}

// Guards against a second run, and a refusal, of a request that an upstream has run and answered with the
// statement that it hasn't.
BOOST_AUTO_TEST_CASE(ARunWhoseAnswerStatesThatItHasNotHappenedIsNotRepeated)
{
    struct Answer {
        int status;
        HttpHeaders more;
        int expectedStatus;
    };
    const Answer answers[] = { { 200, { { "not-executed", "1" }, { "seal", "1" } }, 200 },
        { 200, { { "not-executed", "1" } }, 502 }, { 500, { { "not-executed", "1" } }, 500 },
        { 504, { { "not-executed", "1" } }, 504 }, { 400, { { "not-executed", "1" } }, 400 },
        { 408, { { "not-executed", "1" } }, 502 }, { 503, { { "not-executed", "1" }, { "seal", "1" } }, 502 },
        { 503, { { "not-executed", "0" } }, 502 }, { 429, { { "not-executed", "" } }, 502 },
        { 421, { { "seal", "1" } }, 502 }, { 421, { { "stream", "1" } }, 502 },
        { 503, { { "not-executed", "1" }, { "upstream", "s-9" } }, 502 } };
    for (const Answer& answer : answers) {
        Fixture fixture;
        fixture.send("/once/1");
        HttpHeaders headers { { "id", "r-1" } };
        for (const auto& [name, value] : answer.more)
            headers.add(name, value);
        fixture.upstream(0).handlers.onHeaders(answer.status, headers);
        fixture.upstream(0).end();
        BOOST_TEST(fixture.client.calls.size() == 1);
        BOOST_TEST(fixture.exchange->responseStatus == answer.expectedStatus);
    }
}

// Guards against a second run of a request whose route has been changed meanwhile, so that it may run once.
BOOST_AUTO_TEST_CASE(ARequestMayRunAgainOnlyIfTheNewestConfigurationLetsItAlso)
{
    const auto sends = [](bool hasRoute, RouteKind kind) {
        Fixture fixture;
        fixture.send("/safe/1");
        fixture.rows.revision = Revision(2);
        fixture.rows.hasSafeRoute = hasRoute;
        fixture.rows.safeRouteKind = kind;
        fixture.store.put({ "op", "config" }, "{}");
        fixture.scheduler.advance(50ms);
        fixture.upstream(0).end(HttpClientError::ConnectionLost);
        return fixture.client.calls.size();
    };
    BOOST_TEST(sends(true, RouteKind::Idempotent) == 2);
    BOOST_TEST(sends(true, RouteKind::AtMostOnce) == 1);
    BOOST_TEST(sends(false, RouteKind::Idempotent) == 1);
}

// Guards against a second run and against a refusal of a request that runs, if the upstream writes an earlier
// refusal once more on a kept connection.
BOOST_AUTO_TEST_CASE(ARepeatedRefusalOnAKeptConnectionIsNoStatementAboutTheRequest)
{
    for (const int status : { 421, 429, 503 }) {
        Fixture fixture;
        fixture.send("/once/1");
        fixture.upstream(0).isOnReusedConnection = true;
        fixture.upstream(0).handlers.onHeaders(status, { { "not-executed", "1" } });
        BOOST_TEST(fixture.upstream(0).isCancelled);
        fixture.upstream(0).end(HttpClientError::Cancelled);
        BOOST_TEST(fixture.client.calls.size() == 1);
        BOOST_TEST(fixture.exchange->responseStatus == 502);
    }
}

// Guards against forwarding a response to another request, or one without the upstream's seal.
BOOST_AUTO_TEST_CASE(MismatchedAndUnsealedResponsesAreNotForwarded)
{
    Fixture fixture;
    fixture.send("/once/1");
    fixture.upstream(0).head(200, "r-0", false);
    fixture.upstream(0).handlers.onBody("other");
    fixture.upstream(0).end();
    BOOST_TEST(fixture.exchange->responseStatus == 502);
    fixture.send("/once/1");
    fixture.upstream(1).head(200, "r-1", false, false);
    fixture.upstream(1).end();
    BOOST_TEST(fixture.exchange->responseStatus == 502);
}

// Guards against an interrupted stream appearing complete to the caller.
BOOST_AUTO_TEST_CASE(AnInterruptedStreamIsAborted)
{
    Fixture fixture;
    fixture.send("/stream/1");
    fixture.upstream(0).head(200, "r-1", true);
    fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\nid: 2\nda");
    fixture.upstream(0).end(HttpClientError::ConnectionLost);
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
            Fixture fixture;
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
    Fixture fixture;
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

// Guards against prompts that are sent to one engine after the other although engines end on them.
BOOST_AUTO_TEST_CASE(APromptOnWhichEnginesEndIsRefusedAtOnce)
{
    Fixture fixture;
    for (const char* subject : { "10", "11", "12" }) {
        fixture.sendPrompt("/stream/1", std::string("1,66,") + subject);
        UpstreamCall& last = *fixture.client.calls.back();
        last.head(200, "r-1", true);
        last.end(HttpClientError::ConnectionLost);
        BOOST_TEST(fixture.exchange->responseStatus == 502);
        fixture.restartUpstreams();
        fixture.sendPrompt("/stream/1", std::string("1,") + subject);
        fixture.client.calls.back()->head(200, "r-1", true);
        fixture.client.calls.back()->handlers.onBody("id: 1\ndata: a\n\n");
        fixture.client.calls.back()->end();
    }
    const size_t sent = fixture.client.calls.size();
    fixture.sendPrompt("/stream/1", "1,66,13");
    BOOST_TEST(fixture.client.calls.size() == sent);
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    const std::string firstRetry = fixture.exchange->responseHeaders.find("retry").value();
    fixture.sendPrompt("/stream/1", "1,66,14");
    BOOST_TEST(fixture.exchange->responseHeaders.find("retry").value() != firstRetry);
    fixture.sendPrompt("/stream/1", "1,13");
    BOOST_TEST(fixture.client.calls.size() == sent + 1);
}

// Guards against a request that ends one server after the other because each repeat is taken for a new one.
BOOST_AUTO_TEST_CASE(ARequestOnWhichServersEndIsRefusedAtOnce)
{
    Fixture fixture;
    for (int crash = 0; crash < 3; ++crash) {
        fixture.send("/once/1");
        fixture.client.calls.back()->end(HttpClientError::ConnectionLost);
        BOOST_TEST(fixture.exchange->responseStatus == 502);
        fixture.restartUpstreams();
    }
    const size_t sent = fixture.client.calls.size();
    fixture.send("/once/1");
    BOOST_TEST(fixture.client.calls.size() == sent);
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    BOOST_TEST(fixture.exchange->responseHeaders.find("retry").has_value());
    fixture.send("/once/2");
    BOOST_TEST(fixture.client.calls.size() == sent + 1);
}

// Guards against taking answers that an engine breaks off after their begin, or that time out, for crashes on
// the prompt.
BOOST_AUTO_TEST_CASE(OnlyRunsThatBreakBeforeTheirAnswerAreReported)
{
    Fixture fixture;
    fixture.sendPrompt("/stream/1", "1,66");
    fixture.client.calls.back()->head(200, "r-1", true);
    fixture.client.calls.back()->handlers.onBody("id: 1\ndata: a\n\n");
    fixture.client.calls.back()->end(HttpClientError::ConnectionLost);
    fixture.sendPrompt("/stream/1", "1,66");
    fixture.client.calls.back()->end(HttpClientError::TimedOut);
    fixture.scheduler.advance(500ms);
    BOOST_TEST(fixture.quarantineMessages.empty());
    fixture.sendPrompt("/stream/1", "1,66");
    fixture.client.calls.back()->end(HttpClientError::ConnectionLost);
    fixture.scheduler.advance(500ms);
    BOOST_REQUIRE(fixture.quarantineMessages.size() == 1);
    BOOST_TEST(std::holds_alternative<PeerCrashReports>(fixture.quarantineMessages[0]));
}

// Guards against a request that is taken late in a planned stop and cut off by the end of the process.
BOOST_AUTO_TEST_CASE(ARequestThatMayOutlastAStoppingHostIsRefused)
{
    Fixture fixture;
    fixture.services.stopDeadline = fixture.scheduler.now() + 3500ms;
    fixture.send("/once/1");
    BOOST_TEST(fixture.client.calls.size() == 1);
    fixture.scheduler.advance(600ms);
    fixture.send("/once/1");
    BOOST_TEST(fixture.client.calls.size() == 1);
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    BOOST_TEST(fixture.exchange->responseHeaders.count("retry") == 1);
    // Callers send what may be repeated once more.
    fixture.send("/safe/1");
    BOOST_TEST(fixture.client.calls.size() == 2);
}

// Guards against a stream that ends as complete with a part of an event, because the upstream's response
// ended there in an orderly way.
BOOST_AUTO_TEST_CASE(AnOrderlyEndInsideAnEventDoesNotCompleteTheStream)
{
    const std::string event = "id: 2\ndata: b\n\n";
    for (size_t length = 1; length < event.size(); ++length) {
        Fixture fixture;
        fixture.send("/stream/1");
        fixture.upstream(0).head(200, "r-1", true);
        fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\n" + event.substr(0, length));
        fixture.upstream(0).end();
        BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n");
        BOOST_TEST(fixture.exchange->isAborted);
        fixture.send("/stream/1");
        fixture.upstream(1).head(200, "r-1", true);
        fixture.upstream(1).handlers.onBody(event.substr(0, length));
        fixture.upstream(1).end();
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
            Fixture fixture;
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
            fixture.upstream(1).head(200, "r-1", true);
            fixture.upstream(1).handlers.onBody("id: 2\ndata: c\n\n");
            fixture.upstream(1).end();
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
    Fixture fixture;
    fixture.send("/stream/1");
    fixture.upstream(0).handlers.onHeaders(200, encoded);
    fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\n");
    fixture.upstream(0).end();
    BOOST_TEST(fixture.exchange->responseStatus == 502);
    fixture.send("/resume/1");
    fixture.upstream(1).head(200, "r-1", true);
    fixture.upstream(1).handlers.onBody("id: 1\ndata: a\n\n");
    fixture.upstream(1).end(HttpClientError::ConnectionLost);
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
        Fixture fixture;
        fixture.send("/stream/1");
        fixture.upstream(0).handlers.onHeaders(200, headers);
        fixture.upstream(0).end();
        BOOST_TEST(fixture.exchange->responseStatus == 502);
        fixture.send("/resume/1");
        fixture.upstream(1).head(200, "r-1", true);
        fixture.upstream(1).handlers.onBody("id: 1\ndata: a\n\n");
        fixture.upstream(1).end(HttpClientError::ConnectionLost);
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
    Fixture fixture;
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
    Fixture fixture;
    fixture.send("/once/1");
    fixture.upstream(0).head(200, "r-1", true);
    fixture.upstream(0).handlers.onBody("data: seat 7\n\n");
    fixture.upstream(0).end();
    BOOST_TEST(fixture.exchange->responseStatus == 200);
    BOOST_TEST(fixture.exchange->responseBody == "data: seat 7\n\n");
}

// Guards against a stream without an event that looks complete: comments and line ends are no pieces, so an
// upstream that sent only those before the connection closed has not made a whole stream.
BOOST_AUTO_TEST_CASE(AStreamOfCommentsThatEndsWithItsConnectionIsNotComplete)
{
    for (const char* text : { ": keep-alive\n\n", "\n\n" }) {
        Fixture fixture;
        fixture.send("/stream/1");
        fixture.upstream(0).head(200, "r-1", true);
        fixture.upstream(0).handlers.onBody(text);
        fixture.upstream(0).end();
        const bool looksComplete = fixture.exchange->responseStatus == 200 && !fixture.exchange->isAborted;
        BOOST_TEST(!looksComplete);
    }
}

// Guards against cutting off a stream that could begin anew elsewhere, because a comment came before the
// upstream broke off.
BOOST_AUTO_TEST_CASE(AStreamThatBreaksOffAfterACommentBeginsAnewAtAnotherUpstream)
{
    Fixture fixture;
    fixture.send("/resume/1");
    fixture.upstream(0).head(200, "r-1", true);
    fixture.upstream(0).handlers.onBody(": keep-alive\n\nid: 1\nda");
    fixture.upstream(0).end(HttpClientError::ConnectionLost);
    BOOST_TEST(!fixture.exchange->isAborted);
    BOOST_TEST(fixture.client.calls.size() == 2);
}

// Guards against taking line ends after the last event for a part of another one.
BOOST_AUTO_TEST_CASE(LineEndsAfterTheLastEventAreForwarded)
{
    Fixture fixture;
    fixture.send("/stream/1");
    fixture.upstream(0).head(200, "r-1", true);
    fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\n\r\n");
    fixture.upstream(0).end();
    BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n\r\n");
    BOOST_TEST(fixture.exchange->isEnded);
}

// Guards against losing or repeating an event when a stream is resumed at another engine.
BOOST_AUTO_TEST_CASE(AResumableStreamIsResumedAtAnotherUpstream)
{
    Fixture fixture;
    fixture.send("/resume/1");
    fixture.upstream(0).head(200, "r-1", true);
    fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\nid: 2\nda");
    fixture.upstream(0).end(HttpClientError::ConnectionLost);
    BOOST_REQUIRE(fixture.client.calls.size() == 2);
    BOOST_TEST(fixture.upstream(1).request.headers.find("last-event").value() == "1");
    fixture.upstream(1).head(200, "r-1", true);
    fixture.upstream(1).handlers.onBody("id: 2\ndata: b\n\n");
    fixture.upstream(1).end();
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
        Fixture fixture;
        fixture.send("/resume/1");
        fixture.upstream(0).head(200, "r-1", true);
        fixture.upstream(0).handlers.onBody(first.substr(0, length));
        fixture.upstream(0).end(HttpClientError::ConnectionLost);
        BOOST_REQUIRE(fixture.client.calls.size() == 2);
        fixture.upstream(1).head(200, "r-1", true);
        fixture.upstream(1).handlers.onBody("id: 1\ndata: b\n\n");
        fixture.upstream(1).end();
        BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: b\n\n");
        BOOST_TEST(fixture.exchange->isEnded);
    }
}

// Guards against a stream ending as complete because the engine at which it was to be resumed failed (hunt on
// falaj-mf, trouble-1, seed 45357281704).
BOOST_AUTO_TEST_CASE(AFailedResumptionDoesNotCompleteTheStream)
{
    for (const int status : { 500, 404, 200 }) {
        Fixture fixture;
        fixture.send("/resume/1");
        fixture.upstream(0).head(200, "r-1", true);
        fixture.upstream(0).handlers.onBody("id: 1\ndata: a\n\n");
        fixture.upstream(0).end(HttpClientError::ConnectionLost);
        BOOST_REQUIRE(fixture.client.calls.size() == 2);
        fixture.upstream(1).head(status, "r-1", false);
        fixture.upstream(1).handlers.onBody("an error page");
        fixture.upstream(1).end();
        BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n");
        BOOST_TEST(fixture.exchange->isAborted);
    }
}

// Guards against an upstream continuing to run a request after the caller has disconnected.
BOOST_AUTO_TEST_CASE(ACallersDisconnectCancelsTheUpstreamRequest)
{
    Fixture fixture;
    fixture.send("/stream/1");
    fixture.exchange->clientLeft();
    BOOST_TEST(fixture.upstream(0).isCancelled);
}

// Guards against a caller waiting longer than the route's timeout, and against a response after the timeout
// that states that the request has not run although it may have.
BOOST_AUTO_TEST_CASE(TheRoutesTimeoutEndsTheCall)
{
    Fixture fixture;
    fixture.send("/once/1");
    fixture.scheduler.advance(2900ms);
    BOOST_TEST(fixture.exchange->responseStatus == 0);
    fixture.scheduler.advance(200ms);
    BOOST_TEST(fixture.exchange->responseStatus == 504);
    BOOST_TEST(fixture.upstream(0).isCancelled);
}

// Load: an upstream becomes unreachable. Guards against idempotent requests waiting for it until their
// timeout.
BOOST_AUTO_TEST_CASE(AnIdempotentRequestIsRetriedIfTheUpstreamDoesNotRespond)
{
    Fixture fixture;
    fixture.send("/safe/1");
    fixture.scheduler.advance(160ms);
    BOOST_REQUIRE(fixture.client.calls.size() == 2);
    BOOST_TEST(fixture.upstream(0).isCancelled);
    fixture.upstream(1).head(200, "r-1", false);
    fixture.upstream(1).end();
    BOOST_TEST(fixture.exchange->responseStatus == 200);
}

// Guards against starting a stream just before the process ends, which would interrupt it (hunt on falaj-mf,
// mix with seed 629178246667).
BOOST_AUTO_TEST_CASE(AStoppingHostStartsNoStreams)
{
    Fixture fixture;
    fixture.services.acceptsStreams = false;
    fixture.send("/stream/1");
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    BOOST_TEST(fixture.exchange->responseHeaders.count("retry") == 1);
    BOOST_TEST(fixture.client.calls.empty());
    fixture.send("/once/1");
    BOOST_TEST(fixture.client.calls.size() == 1);
}

// Guards against admitting unknown keys and routes, and against denials by a host whose configuration is
// stale.
BOOST_AUTO_TEST_CASE(UnknownKeysAndRoutesAreDeniedOnlyWhileTheConfigurationIsFresh)
{
    Fixture fixture;
    fixture.send("/once/1", "key-2");
    BOOST_TEST(fixture.exchange->responseStatus == 401);
    fixture.send("/nowhere/1");
    BOOST_TEST(fixture.exchange->responseStatus == 404);
    fixture.store.fault = RowStoreError::Refused;
    fixture.scheduler.advance(6s);
    fixture.send("/once/1", "key-2");
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    BOOST_TEST(fixture.client.calls.empty());
}

// Guards against a faulty upstream whose response body never ends: it would use up the host's memory, and the
// caller would wait until the deadline although another upstream could respond.
BOOST_AUTO_TEST_CASE(AnOversizedResponseIsAborted)
{
    const std::string piece(100000, 'x');
    const auto flood = [&piece](UpstreamCall& upstream) {
        for (int round = 0; round < 1000 && !upstream.isCancelled; ++round)
            upstream.handlers.onBody(piece);
        BOOST_TEST(upstream.isCancelled);
        upstream.end(HttpClientError::Cancelled);
    };
    Fixture fixture;
    fixture.send("/once/1");
    fixture.upstream(0).head(200, "r-1", false);
    flood(fixture.upstream(0));
    BOOST_TEST(fixture.client.calls.size() == 1);
    BOOST_TEST(fixture.exchange->responseStatus == 502);
    fixture.send("/safe/1");
    fixture.upstream(1).head(200, "r-0", false);
    flood(fixture.upstream(1));
    BOOST_REQUIRE(fixture.client.calls.size() == 3);
    fixture.upstream(2).head(200, "r-1", false);
    fixture.upstream(2).end();
    BOOST_TEST(fixture.exchange->responseStatus == 200);
    fixture.send("/stream/1");
    fixture.upstream(3).head(200, "r-1", true);
    fixture.upstream(3).handlers.onBody("id: 1\ndata: a\n\nid: 2\ndata: ");
    flood(fixture.upstream(3));
    BOOST_TEST(fixture.exchange->responseBody == "id: 1\ndata: a\n\n");
    BOOST_TEST(fixture.exchange->isAborted);
}

// Guards against sending an upstream more than it states that it takes while another one is free.
BOOST_AUTO_TEST_CASE(WhatALimitDoesNotPermitGoesToAnotherUpstream)
{
    Fixture fixture;
    const UpstreamId limited = fixture.serveWithLimit("0.5");
    const size_t before = fixture.client.calls.size();
    for (int request = 0; request < 50; ++request) {
        fixture.send("/once/1");
        fixture.scheduler.advance(1ms);
        BOOST_REQUIRE(fixture.client.calls.size() == before + static_cast<size_t>(request) + 1);
        UpstreamCall& last = *fixture.client.calls.back();
        BOOST_TEST((UpstreamId(*last.request.headers.find("expect")) != limited));
        last.head(200, "r-1", false);
        last.end();
    }
}

// Guards against requests that wait for their deadline while all upstreams are at their limits, and against a
// retry delay after which they are refused again.
BOOST_AUTO_TEST_CASE(WithAllUpstreamsAtTheirLimitsARequestIsRefusedAtOnce)
{
    Fixture fixture;
    while (fixture.limits.limitedCount() < 2)
        fixture.serveWithLimit("0.5");
    const size_t before = fixture.client.calls.size();
    fixture.send("/once/1");
    fixture.scheduler.advance(5ms);
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    BOOST_TEST(fixture.client.calls.size() == before);
    const int64_t retryAfter = std::stoll(*fixture.exchange->responseHeaders.find("retry"));
    BOOST_TEST(retryAfter >= 1000);
    fixture.scheduler.advance(std::chrono::milliseconds(retryAfter));
    fixture.send("/once/1");
    fixture.scheduler.advance(110ms);
    BOOST_TEST(fixture.client.calls.size() == before + 1);
    BOOST_TEST(fixture.exchange->responseStatus == 0);
}

// Guards against a frozen host that uses a permit long after it was given, and against waiting for a host
// that does not answer.
BOOST_AUTO_TEST_CASE(APermitThatIsNotAnsweredCountsAsRefused)
{
    Fixture fixture;
    const UpstreamId limited = fixture.serveWithLimit("100");
    for (int peer = 0; peer < 20; ++peer)
        fixture.deciders.insert(HostId("peer-" + std::to_string(peer)));
    const size_t before = fixture.client.calls.size();
    for (int request = 0; request < 20; ++request) {
        fixture.send("/once/1");
        fixture.scheduler.advance(160ms);
        UpstreamCall& last = *fixture.client.calls.back();
        BOOST_TEST((UpstreamId(*last.request.headers.find("expect")) != limited));
    }
    BOOST_TEST(fixture.client.calls.size() == before + 20);
}

// Guards against an allowance for retries that grows with each permit that is refused.
BOOST_AUTO_TEST_CASE(ARequestThatIsRefusedAPermitCountsOnce)
{
    Fixture fixture;
    while (fixture.limits.limitedCount() < 2)
        fixture.serveWithLimit("0.5");
    const auto allowed = [](RetryAllowance& retries, MonotonicTime now) {
        int count = 0;
        while (retries.tryRetry(service, now))
            ++count;
        return count;
    };
    RetryAllowance counted = fixture.retries;
    for (int request = 0; request < 20; ++request) {
        // Long enough for the waits of the request before to be over, so that permits are asked for.
        fixture.scheduler.advance(600ms);
        fixture.deciders = { HostId("peer-1") };
        fixture.send("/once/1");
        counted.countRequest(service, fixture.scheduler.now());
        fixture.scheduler.advance(200ms);
    }
    const MonotonicTime now = fixture.scheduler.now();
    BOOST_TEST(allowed(fixture.retries, now) == allowed(counted, now));
}

BOOST_AUTO_TEST_SUITE_END()
