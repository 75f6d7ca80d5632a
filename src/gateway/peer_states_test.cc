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

// Load: rarely asked adapters are dropped and asked for again. Guards against fetching them to another engine
// because nobody remembers where they were, and against copies of an engine that has started anew.
BOOST_AUTO_TEST_CASE(RemembersWhereAnAdapterWasHeld)
{
    const AdapterRef adapter { ModelId("m"), AdapterId("a1") };
    const auto telling = [](const std::vector<AdapterSummary>& adapters) {
        PeerHeartbeat heartbeat = owning({ engine });
        heartbeat.engines.back().models = { ModelId("m") };
        heartbeat.engines.back().adapters = adapters;
        return heartbeat;
    };
    PeerStates states;
    states.heard(first, telling({ { adapter, false } }), now);
    BOOST_TEST(!states.hasCopy(engine, adapter));
    states.heard(first, telling({}), now);
    BOOST_TEST(states.hasCopy(engine, adapter));
    states.heard(second, owning({ engine }), now);
    BOOST_TEST(!states.hasCopy(engine, adapter));
}

BOOST_AUTO_TEST_SUITE_END()
