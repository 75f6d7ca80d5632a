#include "experiment/limit_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::experiment;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LimitSimulationTest)

// Guards against an upstream that gets its limit from each host, and against hosts that forget a limit when
// they start, freeze or are cut off.
BOOST_AUTO_TEST_CASE(UpstreamsGetNoMoreThanTheLimitThatTheyState)
{
    for (const size_t hosts : { 7, 83, 195 }) {
        const uint64_t seeds = hosts > 7 ? 2 : 20;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            LimitSimulation fleet({ hosts, 4, 60 }, seed);
            fleet.playTroubles();
            BOOST_TEST_CONTEXT(hosts << " hosts, seed " << seed)
            {
                BOOST_TEST(fleet.worstRatio() <= 1);
                // Two of the four upstreams state no limit and take all requests.
                BOOST_TEST(fleet.refused() * 50 < fleet.served());
            }
        }
    }
}

// Guards against a limit that is divided into shares too small to be used.
BOOST_AUTO_TEST_CASE(ALimitBelowOneRequestASecondIsUsed)
{
    for (const size_t hosts : { 7, 83, 195 }) {
        LimitSimulation fleet({ hosts, 1, 60 }, 1);
        fleet.advance(2s);
        fleet.stateLimit(0, 0.5);
        fleet.advance(6s);
        const int before = fleet.served();
        fleet.advance(40s);
        BOOST_TEST_CONTEXT(hosts << " hosts")
        {
            BOOST_TEST(fleet.served() - before >= 15);
            BOOST_TEST(fleet.served() - before <= 21);
            BOOST_TEST(fleet.worstRatio() <= 1);
        }
    }
}

// Guards against an upstream that is avoided after it has dropped its limit.
BOOST_AUTO_TEST_CASE(AnUpstreamThatDropsItsLimitGetsItsShareAgain)
{
    for (const size_t hosts : { 7, 83, 195 }) {
        LimitSimulation fleet({ hosts, 2, 60 }, 1);
        fleet.advance(2s);
        fleet.stateLimit(0, 1);
        fleet.advance(8s);
        fleet.stateLimit(0, std::nullopt);
        fleet.advance(3s);
        fleet.stateLimit(1, 1);
        fleet.advance(2s);
        const int before = fleet.served();
        fleet.advance(5s);
        // The first upstream takes all requests only if its limit is known to be gone.
        BOOST_TEST_CONTEXT(hosts << " hosts")
        BOOST_TEST(fleet.served() - before > 250);
    }
}

// Guards against a deciding host that grants everything because it can't reach the host that has seen the
// limit, while it reaches those that ask it.
BOOST_AUTO_TEST_CASE(ADecidingHostLearnsALimitFromThoseThatAskIt)
{
    for (size_t entry = 1; entry < 7; ++entry) {
        LimitSimulation fleet({ 7, 4, 60 }, entry);
        fleet.advance(2s);
        for (size_t other = 1; other < 7; ++other) {
            if (other != entry)
                fleet.setConnected(fleet.host(0), fleet.host(other), false);
        }
        for (size_t upstream = 0; upstream < 4; ++upstream)
            fleet.stateLimit(upstream, 1);
        fleet.setEntries({ 0 });
        fleet.advance(1s);
        fleet.setEntries({ entry });
        fleet.advance(15s);
        BOOST_TEST(fleet.worstRatio() <= 1, "entry " << entry);
    }
}

BOOST_AUTO_TEST_SUITE_END()
