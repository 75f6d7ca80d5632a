#include "gateway/fleet_agent.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration leaseTime = 3s;

/// One host of the fleet, with what it owns.
struct Host {
    Host(VirtualScheduler& scheduler, FakeRowStore& store, const std::string& name, int64_t incarnation,
        std::set<UpstreamId> engines)
        : agent(scheduler, store, record(name, incarnation), leaseTime,
            { [] {}, [this](const UpstreamId& engine, FencingNumber number) { owned[engine] = number; },
                [this](const UpstreamId& engine) { owned.erase(engine); }, [engines] { return engines; },
                [] { return std::set<HostId>(); } })
    {
        agent.start();
    }

    static HostRecord record(const std::string& name, int64_t incarnation)
    {
        HostRecord record;
        record.host = HostId(name);
        record.incarnation = Incarnation(incarnation);
        record.peerAddress = { "127.0.0.1", 1 };
        record.callerAddress = { "127.0.0.1", 2 };
        record.dataCentre = DataCentreId("dc-1");
        return record;
    }

    std::map<UpstreamId, FencingNumber> owned;
    FleetAgent agent;
};

std::set<UpstreamId> engineSet()
{
    std::set<UpstreamId> engines;
    for (int index = 0; index < 6; ++index)
        engines.insert(UpstreamId("engine-" + std::to_string(index)));
    return engines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetAgentTest)

// Guards against an engine with two owners or none after all hosts started together.
BOOST_AUTO_TEST_CASE(EachEngineGetsOneOwner)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    Host b(scheduler, store, "b", 2, engineSet());
    scheduler.advance(4s);
    BOOST_TEST(a.owned.size() == 3);
    BOOST_TEST(b.owned.size() == 3);
    for (const auto& entry : a.owned)
        BOOST_TEST(b.owned.count(entry.first) == 0);
}

// Guards against engines that nobody owns after their host died, and against a successor with a fencing
// number that the engines would refuse.
BOOST_AUTO_TEST_CASE(ADeadHostsEnginesAreClaimedWithHigherNumbers)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    auto b = std::make_unique<Host>(scheduler, store, "b", 2, engineSet());
    scheduler.advance(4s);
    const auto before = b->owned;
    b.reset();
    scheduler.advance(2s);
    BOOST_TEST(a.owned.size() == 3);
    scheduler.advance(6s);
    BOOST_TEST(a.owned.size() == 6);
    for (const auto& [engine, number] : before)
        BOOST_TEST((a.owned.at(engine) > number));
}

// Guards against an outage of the store in which the hosts take each other for dead.
BOOST_AUTO_TEST_CASE(AnOutageOfTheStoreMovesNoEngines)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    Host b(scheduler, store, "b", 2, engineSet());
    scheduler.advance(4s);
    const auto before = a.owned;
    store.fault = RowStoreError::Refused;
    scheduler.advance(20s);
    BOOST_TEST((a.owned == before));
    store.fault.reset();
    scheduler.advance(5s);
    BOOST_TEST((a.owned == before));
    BOOST_TEST(b.owned.size() == 3);
}

// Guards against a claim whose answer was lost leaving the engine without an owner.
BOOST_AUTO_TEST_CASE(AClaimWithoutAnAnswerIsSettledByTheFeed)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    scheduler.advance(600ms);
    store.losesAnswers = true;
    scheduler.advance(1s);
    store.losesAnswers = false;
    scheduler.advance(4s);
    BOOST_TEST(a.owned.size() == 6);
}

// Guards against a holder that goes on with a number which an engine has refused.
BOOST_AUTO_TEST_CASE(ARefusedNumberIsNotUsedAgain)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    scheduler.advance(4s);
    const UpstreamId engine = a.owned.begin()->first;
    a.agent.stepDown(engine);
    BOOST_TEST(a.owned.count(engine) == 0);
    scheduler.advance(3s);
    BOOST_TEST(a.owned.count(engine) == 0);
}

// Guards against engines without an owner for a lease time after a planned stop.
BOOST_AUTO_TEST_CASE(AStoppingHostHandsItsEnginesOver)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    Host b(scheduler, store, "b", 2, engineSet());
    scheduler.advance(4s);
    b.agent.release();
    BOOST_TEST(b.owned.empty());
    scheduler.advance(2s);
    BOOST_TEST(a.owned.size() >= 4);
}

BOOST_AUTO_TEST_SUITE_END()
