#include "gateway/proxied_call.h"

#include "base/virtual_scheduler.h"
#include "daemon/fake_exchange_test.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("plain");

/// One request that the gateway has sent to an upstream.
struct UpstreamCall {
    HttpClientRequest request;
    HttpClientHandlers handlers;
    bool isCancelled = false;

    void head(int status, const std::string& id, bool isStream, bool isSealed = true)
    {
        HttpHeaders headers { { "id", id } };
        if (isStream)
            headers.add("stream", "1");
        if (isSealed)
            headers.add("seal", "1");
        handlers.onHeaders(status, headers);
    }
    void notExecuted(int status)
    {
        handlers.onHeaders(status, { { "not-executed", "1" } });
        handlers.onDone({ std::nullopt, true, status });
    }
    void end(std::optional<HttpClientError> error = std::nullopt, bool wasSent = true)
    {
        handlers.onDone({ error, wasSent, 0 });
    }
};

class FakeHttpClient : public HttpClient {
public:
    std::unique_ptr<HttpClientCall> send(HttpClientRequest request, HttpClientHandlers handlers) override
    {
        auto call = std::make_shared<UpstreamCall>();
        call->request = std::move(request);
        call->handlers = std::move(handlers);
        calls.push_back(call);
        return std::make_unique<Handle>(call);
    }
    size_t connectionCount() const override { return calls.size(); }

    std::vector<std::shared_ptr<UpstreamCall>> calls;

private:
    struct Handle : HttpClientCall {
        explicit Handle(std::shared_ptr<UpstreamCall> call)
            : call(std::move(call))
        {
        }
        ~Handle() override { call->isCancelled = true; }
        void cancel() override { call->isCancelled = true; }
        void pauseReading() override { }
        void resumeReading() override { }

        std::shared_ptr<UpstreamCall> call;
    };
};

/// Translates with short header names in place of the platform's.
class PlainTranslator : public CallTranslator {
public:
    CallAttributes readRequest(const HttpHeaders& headers) const override
    {
        CallAttributes attributes;
        attributes.requestId = headers.find("id").value_or("");
        attributes.key = headers.find("key");
        attributes.deadline = 4s;
        return attributes;
    }
    HttpHeaders upstreamHeaders(const HttpHeaders&, const ForwardingFields& fields) const override
    {
        HttpHeaders headers { { "expect", fields.expectedUpstream.value() } };
        if (fields.lastEventId)
            headers.add("last-event", *fields.lastEventId);
        if (fields.deadline)
            headers.add("deadline", std::to_string(toMilliseconds(*fields.deadline)));
        return headers;
    }
    ResponseAttributes readResponse(int status, const HttpHeaders& headers) const override
    {
        ResponseAttributes attributes;
        attributes.status = status;
        attributes.requestId = headers.find("id").value_or("");
        attributes.isSealed = headers.count("seal") > 0;
        attributes.isEventStream = headers.count("stream") > 0;
        attributes.isNotExecuted = headers.count("not-executed") > 0;
        if (const auto limit = headers.find("limit"))
            attributes.requestLimit = RequestRate(std::stod(*limit));
        return attributes;
    }
    HttpHeaders callerHeaders(const HttpHeaders& headers) const override { return headers; }
    HttpHeaders localReplyHeaders(const std::string&, std::optional<Duration> retryAfter) const override
    {
        HttpHeaders headers;
        if (retryAfter)
            headers.add("retry", std::to_string(toMilliseconds(*retryAfter)));
        return headers;
    }
};

/// Decodes every upstream row as usable, and every configuration as the same built-in one.
class BuiltInRows : public FakeRowDecoder {
public:
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string&, std::string&) const override
    {
        ServingConfiguration::Builder builder(Revision(1));
        builder.add(route("/once/", RouteKind::AtMostOnce, 1, false));
        builder.add(route("/safe/", RouteKind::Idempotent, 2, false));
        builder.add(route("/stream/", RouteKind::Stream, 1, false));
        builder.add(route("/resume/", RouteKind::Stream, 2, true));
        ServiceConfiguration plain;
        plain.id = service;
        builder.add(plain);
        ServingWorkspace workspace;
        workspace.id = WorkspaceId("w-1");
        builder.add(workspace, { "key-1" });
        return builder.build();
    }
    std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const override
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(row.id.key);
        entry.service = service;
        entry.address = { "127.0.0.1", 1 };
        return entry;
    }

private:
    static Route route(const char* prefix, RouteKind kind, int attempts, bool isResumable)
    {
        Route route;
        route.id = RouteId(prefix);
        route.host = "a.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.maximumAttempts = attempts;
        route.isResumable = isResumable;
        route.timeout = 3s;
        route.targetLatency = 200ms;
        route.services = { { service, 1 } };
        return route;
    }
};

struct Fixture {
    Fixture()
    {
        store.put({ "op", "config" }, "{}");
        store.put({ "servers", "s-1" }, "ready");
        store.put({ "servers", "s-2" }, "ready");
        configuration.start();
        upstreams.start();
        scheduler.advance(50ms);
        for (int request = 0; request < 100; ++request)
            retries.countRequest(service, scheduler.now());
    }

    void send(const char* path, const char* key = "key-1")
    {
        exchange = std::make_shared<FakeExchange>(
            "POST", path, HttpHeaders { { "Host", "a.example" }, { "id", "r-1" }, { "key", key } }, "");
        call = std::make_shared<ProxiedCall>(services, exchange, [](ProxiedCall*) {});
        call->start();
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

    VirtualScheduler scheduler;
    EventLoop loop;
    FakeRowStore store { scheduler };
    BuiltInRows rows;
    PlainTranslator translator;
    FakeHttpClient client;
    ConfigurationTracker configuration { scheduler, store, rows, { [] {}, [](const AdapterRelease&) {} } };
    UpstreamDirectory upstreams { scheduler, store, rows, { [] {}, [](const std::vector<StoredRow>&) {} } };
    HostRecord self { HostId("host-1"), Incarnation(1), { "127.0.0.1", 1 }, { "127.0.0.1", 2 },
        DataCentreId("dc-1"), 0 };
    FleetAgent fleet { scheduler, store, self, 3s, OwnershipRule::EnginesCheckFencing,
        { [] {}, [](const UpstreamId&, FencingNumber) {}, [](const UpstreamId&) {},
            [] { return std::set<UpstreamId>(); }, [] { return std::set<HostId>(); },
            [] { return ReportedOwners(); } } };
    PeerMesh mesh { loop, self, {} };
    struct NoControl : EngineControl {
        void order(const EngineTarget&, const AdapterOrder&, OrderCallback) override { }
        void report(const EngineTarget&, ReportCallback) override { }
    } control;
    OwnedEngines owners { scheduler, control, upstreams, configuration, self.host, {} };
    UpstreamPicker picker { 1 };
    UpstreamLimits limits { self.host };
    RunBroker broker { scheduler, limits, self.host };
    EngineView view { scheduler, upstreams, fleet, mesh, owners, picker, self.host, self.dataCentre };
    WorkspaceRateLimiter usage { 8s, self.host, MonotonicTime() };
    RetryAllowance retries { RetryLimits() };
    MetricsRegistry metrics;
    Random random { 1 };
    std::set<HostId> deciders { self.host };
    UpstreamPermits permits { scheduler, limits, self.host,
        { [](const HostId&, const PeerMessage&) { return true; }, [this] { return deciders; },
            [] { return 1.0; }, [](const UpstreamId&) { return false; } } };
    CallAdmitter admitter { configuration, usage, random };
    PlainUpstreamSelector selector { upstreams, picker, limits, permits, self.dataCentre };
    CallServices services { scheduler, client, translator, configuration, upstreams, view, broker, picker,
        limits, permits, selector, usage, admitter, retries, metrics, random, [] {},
        [this](const LimitObservation& observation, const std::string&) {
            limits.observe(observation, scheduler.now());
        } };
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
