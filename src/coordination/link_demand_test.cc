#include "coordination/link_demand.h"

#include "base/virtual_scheduler.h"
#include "coordination/fleet_checker_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LinkDemandTest, *boost::unit_test::fixture<QuietLog>())

// Guards against a large fleet in which a daemon can't forward a request to the holder of an upstream's lease
// because they are not ring neighbours, and against link requests that never expire.
BOOST_AUTO_TEST_CASE(PeerInUseIsLinkedUntilItIsIdle)
{
    SimulatedFleetOptions options;
    options.daemons = 30;
    SimulatedFleet fleet(options);
    // Staggered starts, so that the daemons do not all link with the first one.
    for (size_t i = 0; i < options.daemons; ++i) {
        fleet.start(i);
        fleet.scheduler().advance(5s);
    }
    Membership& membership = fleet.member(options.daemons - 1).membership();
    HostId unlinkedPeer;
    for (const auto& [host, peer] : membership.peers()) {
        if (!peer.linked)
            unlinkedPeer = host;
    }
    BOOST_REQUIRE(!unlinkedPeer.empty());
    LinkDemand demand(fleet.scheduler(), membership);
    demand.recordSendAttempt(unlinkedPeer);
    demand.recordSendAttempt(unlinkedPeer);
    fleet.scheduler().advance(2s);
    BOOST_TEST(membership.find(unlinkedPeer)->linked);
    fleet.scheduler().advance(LinkDemand::idleTime - 3s);
    demand.expire();
    BOOST_TEST(demand.size() == 1u);
    fleet.scheduler().advance(2s);
    demand.expire();
    BOOST_TEST(demand.size() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
