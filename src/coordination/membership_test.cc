#include "coordination/membership.h"

#include "base/virtual_scheduler.h"
#include "coordination/fleet_checker_test.h"
#include "coordination/host_ranking.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

SimulatedFleetOptions options(size_t daemons)
{
    SimulatedFleetOptions options;
    options.daemons = daemons;
    return options;
}

/// A fleet in which all daemons have started and discovered each other.
class Fleet : public SimulatedFleet {
public:
    explicit Fleet(size_t daemons)
        : SimulatedFleet(options(daemons))
    {
        for (size_t i = 0; i < daemons; ++i)
            start(i);
        scheduler().advance(30s);
    }

    PeerState stateSeen(size_t by, size_t of)
    {
        return member(by).membership().find(HostId("h" + std::to_string(of)))->state;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipTest, *boost::unit_test::fixture<QuietLog>())

// Guards against misclassified peer failures: each state has different consequences for the peer's requests.
BOOST_AUTO_TEST_CASE(PeerStatesTellFailuresApart)
{
    Fleet fleet(5);
    BOOST_TEST((fleet.stateSeen(0, 1) == PeerState::Alive));
    fleet.pause(1);
    fleet.setCutOff(2, true);
    fleet.crash(3, false);
    fleet.crash(4, true);
    fleet.scheduler().advance(8s);
    BOOST_TEST((fleet.stateSeen(0, 1) == PeerState::Paused));
    BOOST_TEST((fleet.stateSeen(0, 2) == PeerState::Unreachable));
    BOOST_TEST((fleet.stateSeen(0, 3) == PeerState::Stopped));
    BOOST_TEST((fleet.stateSeen(0, 4) == PeerState::Unreachable));
    fleet.resume(1);
    fleet.setCutOff(2, false);
    fleet.start(3);
    fleet.scheduler().advance(10s);
    for (const size_t peer : { 1, 2, 3 })
        BOOST_TEST((fleet.stateSeen(0, peer) == PeerState::Alive));
}

// Guards against a delayed goodbye that permanently marks the next incarnation as stopped.
BOOST_AUTO_TEST_CASE(GoodbyeOfAnEarlierIncarnationIsOvercome)
{
    Fleet fleet(3);
    const Incarnation earlier = fleet.member(1).session().incarnation();
    fleet.crash(1, false);
    fleet.start(1);
    fleet.scheduler().advance(10ms);
    fleet.member(0).received(HostId("h1"), Goodbye { earlier });
    fleet.scheduler().advance(10s);
    BOOST_TEST((fleet.stateSeen(0, 1) == PeerState::Alive));
}

// Guards against a number of links per daemon that grows with the size of the fleet.
BOOST_AUTO_TEST_CASE(LateComerToALargeFleetLinksToItsNeighboursOnly)
{
    Fleet fleet(40);
    fleet.crash(39, false);
    fleet.scheduler().advance(5s);
    fleet.start(39);
    fleet.scheduler().advance(30s);
    size_t links = 0;
    for (const auto& [host, info] : fleet.member(39).membership().peers())
        links += info.linked ? 1 : 0;
    BOOST_TEST(links >= 8u);
    BOOST_TEST(links <= 8u + 3u); // Neighbours and seeds.
}

// Guards against directing callers to leaving or unresponsive hosts, or to another data centre needlessly.
BOOST_AUTO_TEST_CASE(RankingPutsTheCallersDataCentreFirstAndOmitsLeavingHosts)
{
    Fleet fleet(7);
    HostRanking ranking(fleet.member(0), 1);
    const auto all = ranking.rank(DataCentreId("dc1"));
    BOOST_TEST(all.size() == 7u);
    BOOST_TEST(all[0].dataCentre == DataCentreId("dc1"));
    BOOST_TEST(all[1].dataCentre == DataCentreId("dc1"));
    fleet.stop(1);
    fleet.pause(4);
    fleet.scheduler().advance(5s);
    for (const RankedHost& host : ranking.rank(DataCentreId("dc1"))) {
        BOOST_TEST(host.host != HostId("h1"));
        BOOST_TEST(host.host != HostId("h4"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
