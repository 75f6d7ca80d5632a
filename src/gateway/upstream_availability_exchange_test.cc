#include "gateway/upstream_availability_exchange.h"

#include "gateway/upstream_exchange_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

struct Fixture : UpstreamExchangeFixture {
    Fixture()
    {
        put("5");
        readRows();
    }

    void put(const char* startedAt)
    {
        writeRow(startedAt);
        scheduler.advance(2s);
    }
    void observeLeaving(int64_t startedAt)
    {
        AvailabilityStatement statement;
        statement.isLeaving = true;
        exchange.observed({ upstream, startedAt, statement, std::nullopt }, "r-1");
    }
    bool isUsable() const { return upstreams.findUsable(upstream) != nullptr; }

    UpstreamAvailabilityExchange exchange { scheduler, upstreams, metrics,
        { [this](const PeerMessage& message) { sent.push_back(message); },
            [this](const UpstreamId&) { ++changes; } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamAvailabilityExchangeTest, Fixture)

// Guards against requests to an upstream that has said itself that it leaves, while its row says ready
// (DRAIN), and against an upstream that stays out after it has started anew.
BOOST_AUTO_TEST_CASE(AnUpstreamThatSaysItLeavesIsNotUsedUntilItStartsAnew)
{
    BOOST_TEST(isUsable());
    observeLeaving(5);
    BOOST_TEST(!isUsable());
    BOOST_TEST(upstreams.find(upstream) != nullptr);
    BOOST_TEST(changes == 1);
    // The upstream writes its row as ready once more.
    put("5");
    BOOST_TEST(!isUsable());
    put("6");
    BOOST_TEST(isUsable());
}

// Guards against a change that is told to nobody, or told again by each host that hears of it.
BOOST_AUTO_TEST_CASE(TellsPeersWhatItObservesAndOnlyThat)
{
    observeLeaving(5);
    observeLeaving(5);
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST(std::get<PeerUpstreamLeaving>(sent[0]).statement.startedAt == 5);
    exchange.onMessage(peer, PeerUpstreamLeaving { { UpstreamId("u-2"), 1 } });
    BOOST_TEST(sent.size() == 1);
    BOOST_TEST(changes == 2);
}

// Guards against a host that has heard of it from a peer alone, in either message, and goes on sending.
BOOST_AUTO_TEST_CASE(TakesOverWhatPeersTell)
{
    PeerHeartbeat heartbeat;
    heartbeat.leaving = { { upstream, 5 } };
    exchange.onMessage(peer, heartbeat);
    BOOST_TEST(!isUsable());
    put("6");
    exchange.onMessage(peer, PeerUpstreamLeaving { { upstream, 6 } });
    BOOST_TEST(!isUsable());
}

// Guards against a peer that heard of a former process while it was cut off, and tells so afterwards.
BOOST_AUTO_TEST_CASE(IgnoresTheStatementOfAFormerProcess)
{
    put("6");
    exchange.onMessage(peer, PeerUpstreamLeaving { { upstream, 5 } });
    observeLeaving(5);
    BOOST_TEST(isUsable());
    BOOST_TEST(changes == 0);
}

// Guards against a log line and a new look at all engines for each of many requests that are turned away
// together, and against an owner that goes on sparing an engine whose rest has ended early.
BOOST_AUTO_TEST_CASE(ARestIsReportedWhenItBeginsAndEnds)
{
    AvailabilityStatement statement;
    statement.rest = 20s;
    for (int response = 0; response < 20; ++response) {
        exchange.observed({ upstream, 5, statement, std::nullopt }, "r-1");
        scheduler.advance(10ms);
    }
    BOOST_TEST(changes == 1);
    BOOST_TEST((upstreams.availability().restLeft(upstream, 5, scheduler.now()) > 0s));
    scheduler.advance(10s);
    const MonotonicTime probe = scheduler.now();
    upstreams.availability().requestSent(upstream, probe);
    exchange.observed({ upstream, 5, {}, probe }, "r-2");
    BOOST_TEST(changes == 2);
    BOOST_TEST((upstreams.availability().restLeft(upstream, 5, scheduler.now()) == 0s));
    BOOST_TEST(sent.empty());
}

// Guards against an upstream that fails because each host goes on until the upstream has rejected it itself.
BOOST_AUTO_TEST_CASE(ARejectionOfABrittleUpstreamSlowsAllHostsDown)
{
    AvailabilityStatement statement;
    statement.bearableRejections = RequestRate(10);
    exchange.observed({ upstream, 5, statement, std::nullopt }, "r-1");
    BOOST_REQUIRE(sent.size() == 1u);
    const PeerMessage told = sent[0];
    exchange.onMessage(peer, told);
    BOOST_TEST(sent.size() == 1u);
    const UpstreamEntry* entry = upstreams.findUsable(upstream);
    BOOST_TEST(toMilliseconds(upstreams.restLeft(*entry)) > 0);
    scheduler.advance(10s);
    BOOST_TEST(toMilliseconds(upstreams.restLeft(*entry)) == 0);
    upstreams.availability().requestSent(upstream, scheduler.now());
    BOOST_TEST(toMilliseconds(upstreams.restLeft(*entry)) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
