#include "gateway/upstream_statements.h"

#include "daemon/fake_exchange_test.h"
#include "gateway/fake_call_services_test.h"
#include "gateway/proxied_call.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

/// Calls to two upstreams, which state something of themselves in their responses.
struct Fixture : FakeCallServices {
    void send(const char* path)
    {
        exchange = std::make_shared<FakeExchange>(
            "POST", path, HttpHeaders { { "Host", "a.example" }, { "id", "r-1" }, { "key", "key-1" } }, "");
        call = std::make_shared<ProxiedCall>(services, exchange, [](ProxiedCall*) {});
        call->start();
    }
    UpstreamCall& last() { return *client.calls.back(); }
    UpstreamId lastUpstream() { return UpstreamId(*last().request.headers.find("expect")); }
    bool isUsable(const UpstreamId& upstream) const { return upstreams.findUsable(upstream) != nullptr; }
    size_t usable() const { return upstreams.usable(service).size(); }

    std::shared_ptr<FakeExchange> exchange;
    std::shared_ptr<ProxiedCall> call;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamStatementsTest, Fixture)

// Guards against requests to an upstream that leaves (DRAIN): each kind of response counts, from its head on.
BOOST_AUTO_TEST_CASE(ALeavingUpstreamGetsNoMoreRequests)
{
    for (const int status : { 200, 204, 404, 429, 500, 503 }) {
        Fixture fixture;
        fixture.send("/once/1");
        const UpstreamId leaving = fixture.lastUpstream();
        fixture.last().handlers.onHeaders(status, { { "id", "r-1" }, { "seal", "1" }, { "leaving", "1" } });
        BOOST_TEST(!fixture.isUsable(leaving), status);
        fixture.last().end();
        for (int request = 0; request < 20; ++request) {
            fixture.send("/once/1");
            BOOST_TEST((fixture.lastUpstream() != leaving), status);
            fixture.last().head(200, "r-1", false);
            fixture.last().end();
        }
    }
}

// Guards against a sound upstream that gets no requests because of a response that isn't its own or isn't to
// the request, or that has no seal.
BOOST_AUTO_TEST_CASE(AResponseThatIsNotTheUpstreamsDoesNotTakeItOut)
{
    const auto answer = [this](int status, HttpHeaders headers, bool isReused) {
        send("/safe/1");
        last().isOnReusedConnection = isReused;
        headers.add("leaving", "1");
        headers.add("rest", "3000");
        last().handlers.onHeaders(status, headers);
        last().end(HttpClientError::Cancelled);
        BOOST_TEST(usable() == 2u, status);
        call.reset();
    };
    answer(200, { { "id", "r-0" }, { "seal", "1" } }, false);
    answer(200, { { "seal", "1" } }, false);
    answer(200, { { "id", "r-1" } }, false);
    answer(503, { { "id", "r-0" }, { "not-executed", "1" } }, false);
    answer(503, { { "not-executed", "1" } }, true);
    answer(421, { { "id", "r-1" } }, false);
    BOOST_TEST(availabilityMessages.empty());
}

// Guards against an upstream that is taken for leaving, or not, because of what its former process has said.
BOOST_AUTO_TEST_CASE(ALateResponseOfAFormerProcessDoesNotTakeTheNextOneOut)
{
    send("/once/1");
    const UpstreamId upstream = lastUpstream();
    const auto late = client.calls.back();
    rows.startedAt = 2;
    store.put({ "servers", upstream.value() }, "ready");
    scheduler.advance(1s);
    late->handlers.onHeaders(200, { { "id", "r-1" }, { "seal", "1" }, { "leaving", "1" } });
    BOOST_TEST(isUsable(upstream));
}

// Guards against a retry at the upstream that has just said that it leaves, and against a call that waits.
BOOST_AUTO_TEST_CASE(WithAllUpstreamsLeavingACallIsRefusedAtOnce)
{
    send("/once/1");
    for (int upstream = 0; upstream < 2; ++upstream) {
        last().handlers.onHeaders(503, { { "id", "r-1" }, { "not-executed", "1" }, { "leaving", "1" } });
        last().end();
    }
    BOOST_TEST(client.calls.size() == 2u);
    std::set<std::string> delays;
    for (int request = 0; request < 5; ++request) {
        send("/safe/1");
        BOOST_TEST(exchange->responseStatus == 503);
        delays.insert(*exchange->responseHeaders.find("retry"));
    }
    BOOST_TEST(client.calls.size() == 2u);
    // Callers that were refused together don't return together.
    BOOST_TEST(delays.size() > 1u);
    BOOST_TEST(metrics.counter("lacewing_refusals_total", { { "reason", "upstreams_leaving" } }) >= 5);
    rows.startedAt = 2;
    store.put({ "servers", "s-1" }, "ready");
    scheduler.advance(1s);
    send("/safe/1");
    BOOST_TEST(client.calls.size() == 3u);
}

// Guards against sends that are known to be in vain (BUDGET): requests go to the other upstream, and with
// both at rest they are refused at once with a time that is true.
BOOST_AUTO_TEST_CASE(RestingUpstreamsGetNoRequests)
{
    const auto turnAway = [this](const char* rest) {
        last().handlers.onHeaders(503, { { "id", "r-1" }, { "not-executed", "1" }, { "rest", rest } });
        last().end();
    };
    send("/once/1");
    const UpstreamId first = lastUpstream();
    turnAway("3000");
    BOOST_TEST((lastUpstream() != first));
    last().head(200, "r-1", false);
    last().end();
    for (int request = 0; request < 10; ++request) {
        send("/safe/1");
        BOOST_TEST((lastUpstream() != first));
        if (request == 9)
            break;
        last().head(200, "r-1", false);
        last().end();
    }
    turnAway("5000");
    const size_t sent = client.calls.size();
    std::set<int> delays;
    for (int request = 0; request < 10; ++request) {
        send(request % 2 == 0 ? "/safe/1" : "/once/1");
        BOOST_TEST(exchange->responseStatus == 503);
        delays.insert(std::stoi(*exchange->responseHeaders.find("retry")));
    }
    BOOST_TEST(client.calls.size() == sent);
    BOOST_TEST(*delays.begin() >= 3000);
    BOOST_TEST(*delays.rbegin() <= 4500);
    BOOST_TEST(delays.size() > 1u);
    BOOST_TEST(metrics.counter("lacewing_refusals_total", { { "reason", "upstreams_resting" } }) >= 10);
    scheduler.advance(3001ms);
    send("/safe/1");
    BOOST_TEST((lastUpstream() == first));
}

// Guards against a 502 in place of an upstream's failure that is ready, because there is nowhere to repeat
// the call.
BOOST_AUTO_TEST_CASE(AFailureIsForwardedIfAllOtherUpstreamsRest)
{
    for (const char* upstream : { "s-1", "s-2" })
        upstreams.availability().learnRest(UpstreamId(upstream), 1, 1s, scheduler.now());
    scheduler.advance(1001ms);
    send("/safe/1");
    const UpstreamId other(lastUpstream() == UpstreamId("s-1") ? "s-2" : "s-1");
    upstreams.availability().learnRest(other, 1, 1s, scheduler.now());
    last().handlers.onHeaders(500, { { "id", "r-1" } });
    last().handlers.onBody("broken");
    last().end();
    BOOST_TEST(client.calls.size() == 1u);
    BOOST_TEST(exchange->responseStatus == 500);
    BOOST_TEST(exchange->responseBody == "broken");
}

BOOST_AUTO_TEST_SUITE_END()
