#include "gateway/peer_states.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const HostId first("host-1");
const HostId second("host-2");
const UpstreamId engine("e-1");
const MonotonicTime now(100s);
const MonotonicTime oldest(99s);

PeerHeartbeat owning(const std::vector<UpstreamId>& engines)
{
    PeerHeartbeat heartbeat;
    for (const UpstreamId& each : engines) {
        heartbeat.engines.emplace_back();
        heartbeat.engines.back().engine = each;
    }
    return heartbeat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerStatesTest)

// Guards against asking the former owner of an engine that has changed hands.
BOOST_AUTO_TEST_CASE(TheLatestOwnerCounts)
{
    PeerStates states;
    states.heard(first, owning({ engine }), now);
    BOOST_TEST(states.engine(engine, oldest)->owner == first);
    states.heard(second, owning({ engine }), now);
    states.heard(first, owning({}), now);
    BOOST_TEST(states.engine(engine, oldest)->owner == second);
    states.heard(second, owning({}), now);
    BOOST_TEST(!states.engine(engine, oldest));
}

// Guards against asking a host for an engine that it owned before it was started anew.
BOOST_AUTO_TEST_CASE(ARestartedPeerOwnsOnlyWhatItSays)
{
    PeerStates states;
    states.heard(first, owning({ engine }), now);
    states.forget(first);
    BOOST_TEST(!states.engine(engine, oldest));
    states.heard(first, owning({}), now);
    BOOST_TEST(!states.engine(engine, oldest));
}

// Guards against asking a host that is silent or about to stop.
BOOST_AUTO_TEST_CASE(SilentAndStoppingOwnersDoNotCount)
{
    PeerStates states;
    states.heard(first, owning({ engine }), now);
    BOOST_TEST(states.isInTouch(first, oldest));
    BOOST_TEST(!states.isInTouch(first, now));
    BOOST_TEST(!states.engine(engine, now));
    PeerHeartbeat stopping = owning({ engine });
    stopping.isStopping = true;
    states.heard(first, stopping, now);
    BOOST_TEST(!states.engine(engine, oldest));
}

BOOST_AUTO_TEST_SUITE_END()
