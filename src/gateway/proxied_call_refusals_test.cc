#include "gateway/proxied_call_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ProxiedCallRefusalsTest)

// Guards against prompts that are sent to one engine after the other although engines end on them.
BOOST_AUTO_TEST_CASE(APromptOnWhichEnginesEndIsRefusedAtOnce)
{
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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

// Guards against starting a stream just before the process ends, which would interrupt it (hunt on falaj-mf,
// mix with seed 629178246667).
BOOST_AUTO_TEST_CASE(AStoppingHostStartsNoStreams)
{
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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

// Guards against sending an upstream more than it states that it takes while another one is free.
BOOST_AUTO_TEST_CASE(WhatALimitDoesNotPermitGoesToAnotherUpstream)
{
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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
    ProxiedCallFixture fixture;
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

// Guards against callers that wait, or are all told to come back at the same time, while all upstreams of a
// service are in evacuated data centres; and against requests to the one of two that is evacuated.
BOOST_AUTO_TEST_CASE(WithAllDataCentresEvacuatedACallIsRefusedAtOnce)
{
    ProxiedCallFixture fixture;
    fixture.evacuated = { DataCentreId("z-2") };
    for (int request = 0; request < 10; ++request) {
        fixture.send("/once/1");
        BOOST_TEST(*fixture.client.calls.back()->request.headers.find("expect") == "s-1");
    }
    const size_t sent = fixture.client.calls.size();
    fixture.evacuated.insert(DataCentreId("z-1"));
    std::set<std::string> delays;
    for (int request = 0; request < 5; ++request) {
        fixture.send("/once/1");
        BOOST_TEST(fixture.exchange->responseStatus == 503);
        delays.insert(*fixture.exchange->responseHeaders.find("retry"));
    }
    BOOST_TEST(fixture.client.calls.size() == sent);
    BOOST_TEST(delays.size() > 1u);
    BOOST_TEST(
        fixture.metrics.counter("lacewing_refusals_total", { { "reason", "data_centre_evacuated" } }) == 5);
}

// Guards against a request of a route with home regions that reaches another region: as a first choice, as a
// repeat or as the resumption of its stream.
BOOST_AUTO_TEST_CASE(ARouteWithHomeRegionsReachesNoOtherRegion)
{
    ProxiedCallFixture fixture;
    for (int request = 0; request < 10; ++request) {
        fixture.send("/home/1");
        BOOST_TEST(*fixture.client.calls.back()->request.headers.find("expect") == "s-1");
    }
    const size_t sent = fixture.client.calls.size();
    fixture.breakStream(sent - 1, "id: 1\ndata: a\n\n");
    BOOST_TEST(fixture.client.calls.size() == sent);
    fixture.store.remove({ "servers", "s-1" });
    fixture.scheduler.advance(10s);
    fixture.send("/home/1");
    BOOST_TEST(fixture.client.calls.size() == sent);
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    BOOST_TEST(
        fixture.metrics.counter("lacewing_refusals_total", { { "reason", "no_upstream_in_home_region" } })
        == 1);
}

BOOST_AUTO_TEST_SUITE_END()
