#include "gateway/upstream_limit_exchange.h"

#include "gateway/upstream_exchange_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

struct Fixture : UpstreamExchangeFixture {
    Fixture()
    {
        writeRow("5");
        readRows();
    }

    static UpstreamLimit limit(int64_t startedAt, int64_t revision, double perSecond)
    {
        return { upstream, startedAt, LimitRevision(revision), peer, RequestRate(perSecond) };
    }
    std::optional<RequestRate> rate() const { return limits.rate(upstream); }

    UpstreamLimits limits { HostId("host-1") };
    UpstreamLimitExchange exchange { scheduler, limits, upstreams, metrics,
        { [this](const PeerMessage& message) { sent.push_back(message); },
            [this](const UpstreamId&) { ++changes; } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamLimitExchangeTest, Fixture)

// Guards against a change that is told to nobody, or told again by each host that hears of it.
BOOST_AUTO_TEST_CASE(TellsWhatItObservesAndOnlyThat)
{
    const LimitObservation observation { upstream, 5, RequestRate(1), true, scheduler.now() };
    exchange.observed(observation, "r-1");
    exchange.observed(observation, "r-2");
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST((std::get<PeerUpstreamLimit>(sent[0]).limit.rate == std::optional<RequestRate>(1)));
    exchange.onMessage(peer, PeerUpstreamLimit { limit(5, 2, 3) });
    BOOST_TEST(sent.size() == 1);
    BOOST_TEST(changes == 2);
    BOOST_TEST((rate() == std::optional<RequestRate>(3)));
}

// Guards against a host that misses a limit because the message that carries it is not one about limits.
BOOST_AUTO_TEST_CASE(TakesOverTheLimitsOfAllMessages)
{
    PeerHeartbeat heartbeat;
    heartbeat.limits = { limit(5, 1, 1) };
    exchange.onMessage(peer, heartbeat);
    BOOST_TEST((rate() == std::optional<RequestRate>(1)));
    PeerRunRequest run;
    run.limit = limit(5, 2, 2);
    exchange.onMessage(peer, run);
    BOOST_TEST((rate() == std::optional<RequestRate>(2)));
    exchange.onMessage(peer, PeerPermitRequest { upstream, PermitId(1), 0s, limit(5, 3, 3) });
    BOOST_TEST((rate() == std::optional<RequestRate>(3)));
}

// Guards against the limit of a former process of the upstream, which a peer still tells.
BOOST_AUTO_TEST_CASE(IgnoresTheLimitOfAFormerProcess)
{
    exchange.onMessage(peer, PeerUpstreamLimit { limit(4, 9, 1) });
    BOOST_TEST(!rate());
    BOOST_TEST(changes == 0);
}

BOOST_AUTO_TEST_SUITE_END()
