#include "experiment/limit_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::experiment;
using namespace std::chrono_literals;
using Notice = LimitSimulation::ColdNotice;

namespace {

constexpr double coldPerSecond = 4;
constexpr size_t upstreams = 12;
constexpr size_t returning = 8;
constexpr double allowedPerSecond = coldPerSecond * 1.5 + 5;

/// A fleet before upstreams most of which are in one data centre, which returns cold.
struct Fleet : LimitSimulation {
    Fleet(size_t hosts, uint64_t seed)
        : LimitSimulation(
            { hosts, upstreams, 300, gateway::ColdStart { 20s, RequestRate(coldPerSecond) } }, seed)
    {
        advance(3s);
    }

    void loseDataCentre()
    {
        for (size_t upstream = 0; upstream < returning; ++upstream)
            endProcess(upstream);
        advance(4s);
    }
    void returnDataCentre(Notice notice)
    {
        for (size_t upstream = 0; upstream < returning; ++upstream)
            startCold(upstream, notice);
        returned = now();
    }
    size_t worst() const
    {
        size_t worst = 0;
        for (size_t upstream = 0; upstream < returning; ++upstream)
            worst = std::max(worst, worstColdSecond(upstream, returned));
        return worst;
    }
    size_t fewest() const
    {
        size_t fewest = coldArrivals(0);
        for (size_t upstream = 1; upstream < returning; ++upstream)
            fewest = std::min(fewest, coldArrivals(upstream));
        return fewest;
    }

    MonotonicTime returned;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdSimulationTest)

// Guards against a data centre that crashes again under the load that it had before, and against one that is
// left cold.
BOOST_AUTO_TEST_CASE(ADataCentreThatReturnsColdIsWarmedAndNotFlooded)
{
    for (const size_t hosts : { 1, 7, 83 }) {
        for (const Notice notice : { Notice::InRowAndResponses, Notice::Nowhere }) {
            Fleet fleet(hosts, 1);
            fleet.loseDataCentre();
            fleet.returnDataCentre(notice);
            fleet.advance(24s);
            BOOST_TEST_CONTEXT(hosts << " hosts, notice " << static_cast<int>(notice))
            {
                BOOST_TEST(fleet.worst() <= allowedPerSecond);
                BOOST_TEST(fleet.fewest() >= 30u);
                const int before = fleet.served();
                fleet.advance(2s);
                BOOST_TEST(fleet.served() - before > 500);
            }
        }
    }
}

// Guards against hosts that, having just started, each take themselves for the whole fleet.
BOOST_AUTO_TEST_CASE(AFleetThatStartsBesideColdUpstreamsKeepsTheLimit)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        Fleet fleet(83, seed);
        fleet.loseDataCentre();
        for (size_t index = 0; index < 83; ++index)
            fleet.restart(fleet.host(index));
        fleet.returnDataCentre(Notice::InRowAndResponses);
        fleet.advance(15s);
        BOOST_TEST(fleet.worst() <= allowedPerSecond, "seed " << seed << ": " << fleet.worst());
        BOOST_TEST(fleet.fewest() >= 20u);
    }
}

// Guards against a host that goes on as if an upstream were warm because it was when the host last read its
// row; the first responses tell.
BOOST_AUTO_TEST_CASE(AnUpstreamThatBecomesColdAgainIsSparedFromItsFirstResponsesOn)
{
    Fleet fleet(7, 1);
    fleet.becomeCold(0, 10s);
    const MonotonicTime cold = fleet.now();
    fleet.advance(11s);
    BOOST_TEST(fleet.worstColdSecond(0, cold + 300ms) <= allowedPerSecond);
    BOOST_TEST(fleet.coldArrivals(0) >= 20u);
    fleet.becomeCold(0, 5s);
    const MonotonicTime again = fleet.now();
    fleet.advance(2s);
    // Becomes colder in the middle.
    fleet.becomeCold(0, 20s);
    fleet.advance(19s);
    BOOST_TEST(fleet.worstColdSecond(0, again + 300ms) <= allowedPerSecond);
}

// Guards against a limit for cold upstreams that replaces a lower one that the upstream states.
BOOST_AUTO_TEST_CASE(AStatedLimitBesideTheColdTimeHolds)
{
    Fleet fleet(7, 2);
    fleet.loseDataCentre();
    fleet.returnDataCentre(Notice::InRowAndResponses);
    fleet.advance(2s);
    for (size_t upstream = 0; upstream < returning; ++upstream)
        fleet.stateLimit(upstream, 1);
    fleet.advance(30s);
    BOOST_TEST(fleet.worstRatio() <= 1);
    BOOST_TEST(fleet.worst() <= allowedPerSecond);
}

// Guards against a host that was frozen and uses what it knew before, and a new owner of the decision that
// repeats what the frozen one has granted.
BOOST_AUTO_TEST_CASE(AHostThatFreezesKeepsTheLimit)
{
    for (size_t host = 0; host < 7; ++host) {
        Fleet fleet(7, host + 1);
        fleet.loseDataCentre();
        fleet.setFrozen(fleet.host(host), true);
        fleet.returnDataCentre(Notice::InRowAndResponses);
        fleet.advance(5s);
        fleet.setFrozen(fleet.host(host), false);
        fleet.advance(10s);
        BOOST_TEST(fleet.worst() <= allowedPerSecond, "host " << host << ": " << fleet.worst());
    }
}

// Guards against the two parts of a divided fleet that both use the whole limit.
BOOST_AUTO_TEST_CASE(ADividedFleetKeepsTheLimit)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        Fleet fleet(7, seed);
        fleet.loseDataCentre();
        fleet.returnDataCentre(Notice::InRowAndResponses);
        fleet.advance(5s);
        fleet.setCut(3, true);
        fleet.advance(6s);
        fleet.setCut(3, false);
        fleet.advance(5s);
        BOOST_TEST(fleet.worst() <= allowedPerSecond, "seed " << seed << ": " << fleet.worst());
    }
}

// Guards against a cold time that ends because its rows can't be read.
BOOST_AUTO_TEST_CASE(AnOutageOfTheStoreEndsNoColdTime)
{
    Fleet fleet(7, 1);
    fleet.loseDataCentre();
    fleet.returnDataCentre(Notice::InRowAndResponses);
    fleet.advance(3s);
    fleet.setStoreAvailable(false);
    fleet.advance(16s);
    BOOST_TEST(fleet.worst() <= allowedPerSecond);
    const int before = fleet.served();
    // Nor does it last longer.
    fleet.advance(4s);
    BOOST_TEST(fleet.served() - before > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
