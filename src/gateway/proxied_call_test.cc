#include "gateway/proxied_call_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ProxiedCallTest)

BOOST_AUTO_TEST_CASE(ForwardsAResponse)
{
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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
        ProxiedCallFixture fixture;
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
        ProxiedCallFixture fixture;
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
        ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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

// Guards against an upstream continuing to run a request after the caller has disconnected.
BOOST_AUTO_TEST_CASE(ACallersDisconnectCancelsTheUpstreamRequest)
{
    ProxiedCallFixture fixture;
    fixture.send("/stream/1");
    fixture.exchange->clientLeft();
    BOOST_TEST(fixture.upstream(0).isCancelled);
}

// Guards against a caller waiting longer than the route's timeout, and against a response after the timeout
// that states that the request has not run although it may have.
BOOST_AUTO_TEST_CASE(TheRoutesTimeoutEndsTheCall)
{
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
    fixture.send("/safe/1");
    fixture.scheduler.advance(160ms);
    BOOST_REQUIRE(fixture.client.calls.size() == 2);
    BOOST_TEST(fixture.upstream(0).isCancelled);
    fixture.upstream(1).head(200, "r-1", false);
    fixture.upstream(1).end();
    BOOST_TEST(fixture.exchange->responseStatus == 200);
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
    ProxiedCallFixture fixture;
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

// Load: an upstream that is slowed by a factor of 2.5. Guards against requests that are repeated while it
// answers late.
BOOST_AUTO_TEST_CASE(ASlowedUpstreamHasMoreTimeToAnswer)
{
    ProxiedCallFixture fixture;
    for (const char* id : { "s-1", "s-2" })
        fixture.picker.loadReported(UpstreamId(id), { 1, 0, 8, 2.5 }, fixture.scheduler.now());
    fixture.send("/safe/1");
    fixture.scheduler.advance(260ms);
    BOOST_TEST(fixture.client.calls.size() == 1);
    fixture.scheduler.advance(100ms);
    BOOST_TEST(fixture.client.calls.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
