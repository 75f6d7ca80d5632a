// Single faults on a simulated fleet, with bounds on the effect in virtual time.

#include "coordination/fleet_checker_test.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 10ms;

/// A fleet in steady state that measures how long a lease has no holder that may act.
class Scenario {
public:
    Scenario(size_t daemons, uint64_t seed)
        : m_fleet(options(daemons, seed))
        , m_checker(m_fleet)
    {
        for (size_t i = 0; i < daemons; ++i)
            m_fleet.start(i);
        run(30s);
        BOOST_REQUIRE_EQUAL(m_checker.unheldLease(), "");
    }

    SimulatedFleet& fleet() { return m_fleet; }

    /// @return the longest time for which a lease had no holder that may act.
    Duration run(Duration duration)
    {
        std::map<std::string, Duration> idle;
        Duration longest {};
        for (Duration passed {}; passed < duration; passed += step) {
            m_fleet.scheduler().advance(step);
            BOOST_REQUIRE(m_checker.check());
            for (const LeaseName& lease : m_fleet.leases()) {
                Duration& time = idle[lease.name];
                time = m_checker.activeHolder(lease.name) == m_fleet.size() ? time + step : Duration {};
                longest = std::max(longest, time);
            }
        }
        return longest;
    }

    /// @return the fencing numbers of all leases that are held.
    std::map<std::string, FencingNumber> fencingNumbers()
    {
        std::map<std::string, FencingNumber> all;
        for (size_t i = 0; i < m_fleet.size(); ++i) {
            if (m_fleet.isRunning(i))
                all.merge(m_fleet.member(i).leases().held());
        }
        return all;
    }

    /// @return the daemon that may act under the first lease.
    size_t holder() { return m_checker.activeHolder(m_fleet.leases().front().name); }

private:
    static SimulatedFleetOptions options(size_t daemons, uint64_t seed)
    {
        SimulatedFleetOptions options;
        options.daemons = daemons;
        options.seed = seed;
        options.upstreams = 12;
        options.partitions = 16;
        return options;
    }

    SimulatedFleet m_fleet;
    FleetChecker m_checker;
};

const auto daemonCounts = boost::unit_test::data::make({ 3, 5, 7, 9 });
const auto seeds = boost::unit_test::data::xrange(1, 6);

} // namespace

BOOST_AUTO_TEST_SUITE(FleetScenarioTest, *boost::unit_test::fixture<QuietLog>())

// Guards against lease hand-overs in a healthy fleet.
BOOST_DATA_TEST_CASE(HealthyFleetKeepsItsLeases, daemonCounts, daemons)
{
    Scenario scenario(static_cast<size_t>(daemons), 1);
    const auto before = scenario.fencingNumbers();
    BOOST_TEST((scenario.run(10min) == Duration::zero()));
    BOOST_TEST((scenario.fencingNumbers() == before));
}

// Guards against losing leases in a table outage although holders and guardians are alive.
BOOST_DATA_TEST_CASE(TableOutageOfTenMinutesCostsNoLease, daemonCounts, daemons)
{
    Scenario scenario(static_cast<size_t>(daemons), 2);
    const auto before = scenario.fencingNumbers();
    scenario.fleet().table().setDown(true);
    BOOST_TEST((scenario.run(10min) == Duration::zero()));
    scenario.fleet().table().setDown(false);
    BOOST_TEST((scenario.run(30s) == Duration::zero()));
    BOOST_TEST((scenario.fencingNumbers() == before));
}

// Guards against slow takeover after a permanent host failure.
BOOST_DATA_TEST_CASE(LostHostIsReplacedWithinTenSeconds, daemonCounts* seeds, daemons, seed)
{
    Scenario scenario(static_cast<size_t>(daemons), static_cast<uint64_t>(seed));
    scenario.fleet().crash(scenario.holder(), true);
    const Duration gap = scenario.run(40s);
    BOOST_TEST_MESSAGE("daemons=" << daemons << " seed=" << seed << " gap_ms=" << toMilliseconds(gap));
    BOOST_TEST((gap <= 10s));
}

// Guards against a restart that waits for the previous session to expire.
BOOST_DATA_TEST_CASE(RestartedProcessTakesItsLeasesAtOnce, daemonCounts* seeds, daemons, seed)
{
    Scenario scenario(static_cast<size_t>(daemons), static_cast<uint64_t>(seed));
    const size_t daemon = scenario.holder();
    scenario.fleet().crash(daemon, false);
    scenario.fleet().start(daemon);
    const Duration gap = scenario.run(40s);
    BOOST_TEST_MESSAGE("daemons=" << daemons << " seed=" << seed << " gap_ms=" << toMilliseconds(gap));
    BOOST_TEST((gap <= 4s));
}

// Guards against a graceful stop that leaves leases without a holder.
BOOST_DATA_TEST_CASE(GracefulStopHandsOverWithinASecond, daemonCounts* seeds, daemons, seed)
{
    Scenario scenario(static_cast<size_t>(daemons), static_cast<uint64_t>(seed));
    const size_t daemon = scenario.holder();
    scenario.fleet().stop(daemon);
    const Duration gap = scenario.run(20s);
    BOOST_TEST_MESSAGE("daemons=" << daemons << " seed=" << seed << " gap_ms=" << toMilliseconds(gap));
    BOOST_TEST(scenario.fleet().isStopped(daemon));
    BOOST_TEST((gap <= 1s));
}

// Guards against a daemon that keeps its leases while it is partitioned from all peers.
BOOST_DATA_TEST_CASE(CutOffDaemonIsReplaced, daemonCounts* seeds, daemons, seed)
{
    Scenario scenario(static_cast<size_t>(daemons), static_cast<uint64_t>(seed));
    const size_t daemon = scenario.holder();
    scenario.fleet().setCutOff(daemon, true);
    scenario.run(40s);
    BOOST_TEST(scenario.fleet().member(daemon).leases().held().empty());
}

// Guards against a resumed holder that acts before it checks whether its session has expired.
BOOST_DATA_TEST_CASE(PausedHolderMayNotActOnceItsGuardTimeHasPassed, daemonCounts, daemons)
{
    Scenario scenario(static_cast<size_t>(daemons), 1);
    const size_t daemon = scenario.holder();
    const std::string lease = scenario.fleet().leases().front().name;
    BOOST_TEST(scenario.fleet().member(daemon).leases().mayAct(lease, 2s));
    scenario.fleet().pause(daemon);
    scenario.run(6100ms);
    BOOST_TEST(!scenario.fleet().member(daemon).leases().mayAct(lease));
    scenario.run(20s);
    scenario.fleet().resume(daemon);
    scenario.run(20s);
    BOOST_TEST(scenario.fleet().member(daemon).session().isValid());
    BOOST_TEST(scenario.fleet().member(daemon).session().incarnation() == Incarnation(2));
}

// Guards against writes that stay unresolved after their response is lost.
BOOST_AUTO_TEST_CASE(FleetFormsAlthoughEveryAnswerToAWriteIsLost)
{
    SimulatedFleetOptions options;
    options.daemons = 5;
    SimulatedFleet fleet(options);
    FleetChecker checker(fleet);
    fleet.table().setLostAnswerProbability(1);
    for (size_t i = 0; i < fleet.size(); ++i)
        fleet.start(i);
    fleet.scheduler().advance(60s);
    BOOST_TEST(checker.check());
    BOOST_TEST(checker.unheldLease() == "");
}

// Guards against a fleet whose last remaining daemon stops working.
BOOST_AUTO_TEST_CASE(LastDaemonGoesOnAlone)
{
    Scenario scenario(3, 1);
    scenario.fleet().crash(0, false);
    scenario.run(20s);
    scenario.fleet().crash(1, false);
    BOOST_TEST((scenario.run(40s) <= 15s));
    BOOST_TEST(scenario.fleet().member(2).session().isValid());
    BOOST_TEST(scenario.fleet().member(2).session().guardian().empty());
}

BOOST_AUTO_TEST_SUITE_END()
