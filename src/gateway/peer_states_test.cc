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

PeerHeartbeat heartbeatOwning(const std::vector<UpstreamId>& engines)
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

// Guards against requests to the former owner of an engine after its owner has changed.
BOOST_AUTO_TEST_CASE(TheLatestOwnerCounts)
{
    PeerStates states;
    states.recordHeartbeat(first, heartbeatOwning({ engine }), now);
    BOOST_TEST(states.engine(engine, oldest)->owner == first);
    states.recordHeartbeat(second, heartbeatOwning({ engine }), now);
    states.recordHeartbeat(first, heartbeatOwning({}), now);
    BOOST_TEST(states.engine(engine, oldest)->owner == second);
    states.recordHeartbeat(second, heartbeatOwning({}), now);
    BOOST_TEST(!states.engine(engine, oldest));
}

// Guards against requests to a restarted host for an engine that it owned before the restart.
BOOST_AUTO_TEST_CASE(ARestartedPeerOwnsOnlyWhatItSays)
{
    PeerStates states;
    states.recordHeartbeat(first, heartbeatOwning({ engine }), now);
    states.forget(first);
    BOOST_TEST(!states.engine(engine, oldest));
    states.recordHeartbeat(first, heartbeatOwning({}), now);
    BOOST_TEST(!states.engine(engine, oldest));
}

// Guards against requests to a host that is out of touch or stopping.
BOOST_AUTO_TEST_CASE(OwnersOutOfTouchOrStoppingAreIgnored)
{
    PeerStates states;
    states.recordHeartbeat(first, heartbeatOwning({ engine }), now);
    BOOST_TEST(states.isInTouch(first, oldest));
    BOOST_TEST(!states.isInTouch(first, now));
    BOOST_TEST(!states.engine(engine, now));
    PeerHeartbeat stopping = heartbeatOwning({ engine });
    stopping.isStopping = true;
    states.recordHeartbeat(first, stopping, now);
    BOOST_TEST(!states.engine(engine, oldest));
}

// Load: rarely used adapters are unloaded and requested again. Guards against fetching them to another engine
// because the engine with the copy was forgotten, and against assuming copies on a restarted engine.
BOOST_AUTO_TEST_CASE(TracksCopiesOfUnloadedAdapters)
{
    const AdapterRef adapter { ModelId("m"), AdapterId("a1") };
    const auto heartbeatWith = [](const std::vector<AdapterSummary>& adapters) {
        PeerHeartbeat heartbeat = heartbeatOwning({ engine });
        heartbeat.engines.back().models = { ModelId("m") };
        heartbeat.engines.back().adapters = adapters;
        return heartbeat;
    };
    PeerStates states;
    states.recordHeartbeat(first, heartbeatWith({ { adapter, false } }), now);
    BOOST_TEST(!states.hasCopy(engine, adapter));
    states.recordHeartbeat(first, heartbeatWith({}), now);
    BOOST_TEST(states.hasCopy(engine, adapter));
    states.recordHeartbeat(second, heartbeatOwning({ engine }), now);
    BOOST_TEST(!states.hasCopy(engine, adapter));
}

// Guards against digests that are forgotten with the next heartbeat, that outlive their owner, or that are
// taken for the statement of another owner.
BOOST_AUTO_TEST_CASE(ADigestHoldsUntilItsOwnerChangesIt)
{
    const auto heartbeatWith = [](std::optional<affinity::PrefixStatement> statement) {
        PeerHeartbeat heartbeat = heartbeatOwning({ engine });
        heartbeat.engines.back().prefixes = std::move(statement);
        return heartbeat;
    };
    const affinity::PrefixStatement changed { 0.2,
        affinity::PrefixDigest({ affinity::PrefixFingerprint { 7 } }) };
    const affinity::PrefixStatement unchanged { 0.4, std::nullopt };
    const auto digest = [](const PeerStates& states) {
        const auto* known = states.engine(engine, oldest);
        return known && known->summary.prefixes ? known->summary.prefixes->digest : std::nullopt;
    };
    PeerStates states;
    states.recordHeartbeat(first, heartbeatWith(unchanged), now);
    BOOST_TEST(!digest(states));
    states.recordHeartbeat(first, heartbeatWith(changed), now);
    states.recordHeartbeat(first, heartbeatWith(unchanged), now);
    states.recordHeartbeat(first, heartbeatWith(unchanged), now);
    BOOST_TEST(digest(states)->size() == 1);
    BOOST_TEST(states.engine(engine, oldest)->summary.prefixes->memoryFill == 0.4);
    states.recordHeartbeat(second, heartbeatWith(unchanged), now);
    BOOST_TEST(!digest(states));
    states.recordHeartbeat(first, heartbeatWith(changed), now);
    states.recordHeartbeat(first, heartbeatWith(std::nullopt), now);
    BOOST_TEST(!digest(states));
    states.recordHeartbeat(first, heartbeatWith(changed), now);
    BOOST_TEST(!states.engine(engine, now));
    states.forget(first);
    states.recordHeartbeat(first, heartbeatWith(unchanged), now);
    BOOST_TEST(!digest(states));
}

BOOST_AUTO_TEST_SUITE_END()
