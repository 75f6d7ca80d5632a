#include "gateway/fleet_agent.h"

#include "base/random.h"
#include "base/virtual_scheduler.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration leaseTime = 3s;

/// One host of the fleet and the engines that it owns.
struct Host {
    Host(VirtualScheduler& scheduler, RowStore& store, const std::string& name, int64_t incarnation,
        std::set<UpstreamId> engines, OwnershipRule rule = OwnershipRule::EnginesCheckFencing)
        : agent(scheduler, store, record(name, incarnation), leaseTime, rule,
            { [] {}, [this](const UpstreamId& engine, FencingNumber number) { owned[engine] = number; },
                [this](const UpstreamId& engine) {
                    owned.erase(engine);
                    ++losses;
                },
                [this, engines] { return inUse ? *inUse : engines; }, [this] { return ineligible; },
                [this] { return reported ? *reported : ReportedOwners(); },
                [this](const UpstreamId& engine, FencingNumber number) { owned[engine] = number; }, [] {},
                [](const char*, size_t) {}, [](const std::vector<StoredRow>&, bool) {},
                [this] { return withoutEngines; } })
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
    /// Number of engines that this host has lost.
    int losses = 0;
    std::set<HostId> ineligible;
    std::set<HostId> withoutEngines;
    /// The engines in use, for tests that change them.
    const std::set<UpstreamId>* inUse = nullptr;
    /// The owners that heartbeats report, for tests with heartbeats.
    const ReportedOwners* reported = nullptr;
    FleetAgent agent;
};

/// A store that never reports changes.
class SilentFeedStore : public FakeRowStore {
public:
    using FakeRowStore::FakeRowStore;
    void awaitChanges(std::string, RowVersion, Duration, ReadCallback) override { }
};

/// One host's access to a shared store. It can fail this host's reads and writes separately while the store
/// serves the other hosts.
class HostStore : public RowStore {
public:
    explicit HostStore(FakeRowStore& store)
        : m_store(store)
    {
    }

    bool refusesReads = false;
    bool refusesWrites = false;

    void readTable(std::string table, ReadCallback callback) override
    {
        m_store.readTable(std::move(table), guard(std::move(callback)));
    }
    void readRow(RowKey id, ReadCallback callback) override
    {
        m_store.readRow(std::move(id), guard(std::move(callback)));
    }
    void awaitChanges(std::string table, RowVersion after, Duration wait, ReadCallback callback) override
    {
        m_store.awaitChanges(std::move(table), after, wait, guard(std::move(callback)));
    }
    void commit(RowTransaction transaction, CommitCallback callback) override
    {
        if (refusesWrites)
            transaction.conditions.push_back({ { "none", "none" }, RowVersion(1) });
        m_store.commit(std::move(transaction), [this, callback](const CommitResult& result) {
            callback(refusesWrites ? CommitResult(std::nullopt, RowStoreError::Refused) : result);
        });
    }

private:
    ReadCallback guard(ReadCallback callback)
    {
        return [this, callback = std::move(callback)](const RowResult<RowSet>& result) {
            callback(refusesReads ? RowResult<RowSet> { std::nullopt, RowStoreError::Refused } : result);
        };
    }

    FakeRowStore& m_store;
};

std::set<UpstreamId> engineSet()
{
    std::set<UpstreamId> engines;
    for (int index = 0; index < 6; ++index)
        engines.insert(UpstreamId("engine-" + std::to_string(index)));
    return engines;
}

/// Two hosts that own three engines each, under OwnershipRule::LeaseOnly. The store access of the first one
/// can be made to fail.
struct TwoHostsWithLeaseOnly {
    TwoHostsWithLeaseOnly() { scheduler.advance(4s); }

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    HostStore hostStore { store };
    Host a { scheduler, hostStore, "a", 1, engineSet(), OwnershipRule::LeaseOnly };
    Host b { scheduler, store, "b", 2, engineSet(), OwnershipRule::LeaseOnly };
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetAgentTest)

// Guards against engines with two owners or none after all hosts have started together.
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

// Guards against engines without an owner after their host has died, and against a successor with a fencing
// number that the engines would reject.
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

// Guards against hosts that consider each other dead during an outage of the store.
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

// Guards against engines without an owner after a claim took effect but its result was lost.
BOOST_AUTO_TEST_CASE(AClaimWithALostResultIsConfirmedByTheFeed)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    scheduler.advance(600ms);
    store.losesCommitResults = true;
    scheduler.advance(1s);
    store.losesCommitResults = false;
    scheduler.advance(4s);
    BOOST_TEST(a.owned.size() == 6);
}

// Guards against an owner that continues to use a fencing number which an engine has rejected.
BOOST_AUTO_TEST_CASE(ARejectedFencingNumberIsNotUsedAgain)
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

// Load: all hosts lose power at once and restart while requests continue. Guards against engines without an
// owner until the next read of the table, because each host sees the others' old rows, and against
// conflicting claims.
BOOST_AUTO_TEST_CASE(AFleetThatLostPowerTakesItsEnginesBackAtOnce)
{
    constexpr int firstHosts = 3;
    constexpr int allHosts = 40;
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    std::vector<std::unique_ptr<Host>> hosts;
    int64_t incarnation = 0;
    const auto startUpTo = [&](int count) {
        for (auto index = static_cast<int>(hosts.size()); index < count; ++index)
            hosts.push_back(std::make_unique<Host>(
                scheduler, store, "host-" + std::to_string(index), ++incarnation, engineSet()));
    };
    const auto owners = [&hosts] {
        std::map<UpstreamId, int> owners;
        for (size_t index = 0; index < hosts.size(); ++index) {
            for (const auto& entry : hosts[index]->owned)
                owners[entry.first] = static_cast<int>(index);
        }
        return owners;
    };
    // Hosts that start later own no engines, so that an even division would choose them.
    startUpTo(firstHosts);
    scheduler.advance(5s);
    startUpTo(allHosts);
    scheduler.advance(5s);
    const auto before = owners();
    BOOST_TEST(before.size() == engineSet().size());
    hosts.clear();
    scheduler.advance(1s);
    store.conflicts = 0;
    startUpTo(allHosts);
    scheduler.advance(100ms);
    BOOST_TEST((owners() == before));
    BOOST_TEST(store.conflicts == 0);
}

// Guards against engines that are left to a host which can't claim them because it can't reach the store.
BOOST_AUTO_TEST_CASE(EnginesGoToHostsThatReachTheStore)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    auto b = std::make_unique<Host>(scheduler, store, "b", 2, engineSet());
    scheduler.advance(4s);
    b.reset();
    // The new incarnation of host b writes its row but claims nothing.
    Host again(scheduler, store, "b", 3, {});
    scheduler.advance(500ms);
    a.ineligible = { HostId("b") };
    scheduler.advance(1s);
    BOOST_TEST(a.owned.size() == 6);
}

// Load: hosts that start together claim engines with incomplete views of the table. Guards against a host
// that repeats claims for another host's engines until it reads the table again.
BOOST_AUTO_TEST_CASE(AClaimConflictReportsTheOwner)
{
    VirtualScheduler scheduler;
    SilentFeedStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    scheduler.advance(100ms);
    // Rows of another host, which this one does not see because its feed reports no changes.
    store.put(FleetRows::hostKey(HostId("c")), FleetRows::encode(Host::record("c", 9)));
    for (const UpstreamId& engine : engineSet())
        store.put(FleetRows::ownerKey(engine),
            FleetRows::encode(OwnerRecord { engine, HostId("c"), Incarnation(9) }));
    scheduler.advance(1100ms);
    // The first conflict returns the owner rows, the second the owner's host row, which shows that it is
    // alive.
    BOOST_TEST(store.conflicts == 2);
    BOOST_TEST(a.owned.empty());
    scheduler.advance(2s);
    BOOST_TEST(store.conflicts == 2);
    BOOST_TEST((a.agent.registry().ownerVersion(UpstreamId("engine-0")) > RowVersion(0)));
}

// Guards against claims and renewals in a tight loop, as fast as the store answers, if its conflicts do not
// return the current rows.
BOOST_AUTO_TEST_CASE(ConflictsWithoutRowsCauseNoTightLoop)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    store.returnsConflictingRows = false;
    Host a(scheduler, store, "a", 1, engineSet());
    scheduler.advance(100ms);
    for (const UpstreamId& engine : engineSet())
        store.put(FleetRows::ownerKey(engine),
            FleetRows::encode(OwnerRecord { engine, HostId("c"), Incarnation(9) }));
    store.put(FleetRows::hostKey(HostId("a")), FleetRows::encode(Host::record("a", 1)));
    store.conflicts = 0;
    scheduler.advance(10s);
    BOOST_TEST(store.conflicts <= 40);
}

// Guards against two hosts that send orders to one engine, which executes both since it does not check
// fencing numbers. It comes about when the store rejects the owner's calls, another host takes over, and the
// owner's writes succeed again before it has read who owns its engines.
BOOST_FIXTURE_TEST_CASE(AnOwnerWithAnExpiredLeaseClaimsAgainBeforeItSendsOrders, TwoHostsWithLeaseOnly)
{
    BOOST_TEST(a.owned.size() == 3);
    hostStore.refusesReads = hostStore.refusesWrites = true;
    scheduler.advance(7s);
    BOOST_TEST(!a.agent.isLeaseValid());
    BOOST_TEST(b.owned.size() == 6);
    hostStore.refusesWrites = false;
    for (int step = 0; step < 300; ++step) {
        scheduler.advance(10ms);
        for (const auto& [engine, number] : b.owned)
            BOOST_TEST(!(a.agent.isLeaseValid() && a.owned.count(engine) > 0));
    }
    hostStore.refusesReads = false;
    scheduler.advance(5s);
    BOOST_TEST(b.owned.size() == 6);
}

// Guards against engines without an owner after their host's lease has expired and no other host has taken
// over.
BOOST_FIXTURE_TEST_CASE(AnOwnerClaimsItsEnginesAgainAfterAnOutage, TwoHostsWithLeaseOnly)
{
    const auto before = a.owned;
    store.fault = RowStoreError::Refused;
    scheduler.advance(10s);
    BOOST_TEST(!a.agent.isLeaseValid());
    store.fault.reset();
    scheduler.advance(5s);
    BOOST_TEST(a.agent.isLeaseValid());
    BOOST_TEST(a.owned.size() == 3);
    for (const auto& [engine, number] : before)
        BOOST_TEST((a.owned.at(engine) > number));
}

// Guards against a host that takes the engines of live hosts because it missed their renewals while it could
// not read the table.
BOOST_FIXTURE_TEST_CASE(AHostThatMissedRenewalsTakesNoEngines, TwoHostsWithLeaseOnly)
{
    const auto before = b.owned;
    hostStore.refusesReads = true;
    scheduler.advance(8s);
    BOOST_TEST((b.owned == before));
    hostStore.refusesReads = false;
    scheduler.advance(3s);
    BOOST_TEST((b.owned == before));
}

// Guards against an owner that counts its lease from the result of a renewal instead of from its sending, or
// that sends orders until the lease expires, so that they may arrive after its end.
BOOST_FIXTURE_TEST_CASE(ALeaseEndsBeforeAnotherHostMayTakeOver, TwoHostsWithLeaseOnly)
{
    hostStore.refusesReads = hostStore.refusesWrites = true;
    std::optional<MonotonicTime> lastOrder;
    std::optional<MonotonicTime> takenOver;
    for (int step = 0; step < 700; ++step) {
        scheduler.advance(10ms);
        if (a.agent.isLeaseValid())
            lastOrder = scheduler.now();
        if (!takenOver && b.owned.size() > 3)
            takenOver = scheduler.now();
    }
    BOOST_REQUIRE(lastOrder.has_value());
    BOOST_REQUIRE(takenOver.has_value());
    BOOST_TEST(toMilliseconds(*takenOver - *lastOrder) >= 400);
}

// Load: a large fleet starts and its engines come up one after the other. Guards against engines that stay
// unclaimed for long because each host divides them by a different outdated view of the table, and against
// renewals at short intervals in the meantime.
BOOST_AUTO_TEST_CASE(ALargeFleetOwnsItsEnginesSoonAfterTheyComeUp)
{
    constexpr int hostCount = 195;
    constexpr int engineCount = 117;
    constexpr Duration startTime = 4s;
    constexpr Duration heartbeatInterval = 1s;
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    ReportedOwners reported;
    std::set<UpstreamId> engines;
    std::vector<std::unique_ptr<Host>> hosts;
    std::set<HostId> names;
    for (int index = 0; index < hostCount; ++index) {
        const std::string name = "host-" + std::to_string(index);
        names.insert(HostId(name));
        hosts.push_back(std::make_unique<Host>(scheduler, store, name, index + 1, std::set<UpstreamId>()));
        hosts.back()->inUse = &engines;
        hosts.back()->reported = &reported;
    }
    const auto owned = [&hosts] {
        size_t count = 0;
        for (const auto& host : hosts)
            count += host->owned.size();
        return count;
    };
    constexpr Duration step = 100ms;
    int elapsed = 0;
    int callsAtEnd = 0;
    for (Duration time {}; time < startTime + 10s; time += step, ++elapsed) {
        if (time < startTime) {
            const auto up = static_cast<int>(engineCount * (time + step) / startTime);
            for (int index = 0; index < up; ++index)
                engines.insert(UpstreamId("engine-" + std::to_string(index)));
        }
        scheduler.advance(step);
        for (const auto& host : hosts)
            host->agent.setInTouch(names);
        if (elapsed % (heartbeatInterval / step) == 0) {
            reported.clear();
            for (const auto& host : hosts) {
                for (const auto& entry : host->owned)
                    reported.emplace(entry.first, host->agent.self());
            }
        }
        if (time == startTime + heartbeatInterval * 2) {
            BOOST_TEST(owned() == static_cast<size_t>(engineCount));
            callsAtEnd = store.calls;
        }
    }
    // In a stable large fleet each host renews and reads at intervals of many seconds.
    BOOST_TEST(store.calls - callsAtEnd <= hostCount * 3);
}

// Guards against engines without an owner for a whole lease time after a planned stop.
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

// Guards against hosts that never connect to each other because the store refused the link secret when a new
// fleet started.
BOOST_AUTO_TEST_CASE(TheLinkSecretIsCreatedOnceTheStoreTakesWrites)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    HostStore refusing(store);
    refusing.refusesWrites = true;
    Host a(scheduler, refusing, "host-a", 1, {});
    Host b(scheduler, refusing, "host-b", 1, {});
    scheduler.advance(5s);
    BOOST_TEST(!a.agent.registry().linkSecret().has_value());
    refusing.refusesWrites = false;
    scheduler.advance(5s);
    BOOST_REQUIRE(a.agent.registry().linkSecret().has_value());
    BOOST_TEST((a.agent.registry().linkSecret() == b.agent.registry().linkSecret()));
}

// Guards against engines without an owner, and with two of them, after the store has come back from a copy
// that lacks the rows of the hosts or shows an earlier owner.
BOOST_AUTO_TEST_CASE(OwnersWriteTheirRowsAgainAfterALoss)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    Host b(scheduler, store, "b", 2, engineSet());
    scheduler.advance(4s);
    const std::string secret = store.find(FleetRows::secretKey()).value();
    ReportedOwners ofA;
    ReportedOwners ofB;
    for (const auto& entry : a.owned)
        ofA.emplace(entry.first, HostId("a"));
    for (const auto& entry : b.owned)
        ofB.emplace(entry.first, HostId("b"));
    a.reported = &ofB;
    b.reported = &ofA;
    const auto before = a.owned;
    store.restore(1000s);
    scheduler.advance(4s);
    BOOST_TEST(a.owned.size() == 3);
    BOOST_TEST(b.owned.size() == 3);
    for (const auto& [engine, number] : a.owned) {
        BOOST_REQUIRE(before.count(engine) == 1);
        BOOST_TEST(number > before.at(engine));
        BOOST_TEST(b.owned.count(engine) == 0);
    }
    for (const UpstreamId& engine : engineSet())
        BOOST_TEST(store.find(FleetRows::ownerKey(engine)).has_value());
    BOOST_TEST(store.find(FleetRows::secretKey()).value() == secret);
    BOOST_TEST(a.losses == 0);
}

// Guards against an earlier owner that takes an engine back because a copy of the store names it.
BOOST_AUTO_TEST_CASE(ARowOfACopyGivesNoEngineToTheHostThatItNames)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    Host a(scheduler, store, "a", 1, engineSet());
    scheduler.advance(4s);
    BOOST_TEST(a.owned.size() == 6);
    a.ineligible = { HostId("a") };
    for (const UpstreamId& engine : engineSet())
        a.agent.stepDown(engine);
    Host b(scheduler, store, "b", 2, {});
    for (const UpstreamId& engine : engineSet())
        store.put(FleetRows::ownerKey(engine),
            FleetRows::encode(OwnerRecord { engine, HostId("b"), Incarnation(2) }));
    scheduler.advance(3s);
    BOOST_TEST(a.owned.empty());
    BOOST_TEST(b.owned.size() == 6);
    ReportedOwners ofB;
    for (const UpstreamId& engine : engineSet())
        ofB.emplace(engine, HostId("b"));
    a.reported = &ofB;
    const std::set<UpstreamId> inUse = engineSet();
    b.inUse = &inUse;
    store.restore(5s);
    for (int step = 0; step < 50; ++step) {
        scheduler.advance(100ms);
        BOOST_TEST(a.owned.empty());
        BOOST_TEST(b.owned.size() == 6);
    }
}

// Load: a fleet whose store loses seconds again and again, at any moment, while hosts restart. Guards against
// engines with two orderers of one number or a number below an earlier one, and against engines that stay
// without an owner.
BOOST_AUTO_TEST_CASE(NumbersRiseThroughRandomLosses)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Random random(seed);
            VirtualScheduler scheduler;
            FakeRowStore store(scheduler);
            std::vector<std::unique_ptr<Host>> hosts;
            int64_t incarnation = 0;
            const auto start = [&](const std::string& name) {
                return std::make_unique<Host>(scheduler, store, name, ++incarnation, engineSet());
            };
            for (const char* name : { "a", "b", "c" })
                hosts.push_back(start(name));
            ReportedOwners reported;
            for (const auto& host : hosts)
                host->reported = &reported;
            std::map<UpstreamId, std::pair<FencingNumber, const Host*>> highest;
            for (int step = 0; step < 600; ++step) {
                const double event = step < 400 ? random.uniform() : 1;
                if (event < 0.02)
                    store.restore(std::chrono::milliseconds(static_cast<int>(random.uniform() * 8000)));
                else if (event < 0.04)
                    store.fault = store.fault ? std::nullopt : std::make_optional(RowStoreError::Unknown);
                else if (event < 0.05) {
                    auto& host = hosts[static_cast<size_t>(random.uniform() * 3)];
                    const std::string name = host->agent.self().value();
                    host.reset();
                    host = start(name);
                    host->reported = &reported;
                }
                if (step == 400)
                    store.fault.reset();
                scheduler.advance(50ms);
                reported.clear();
                for (const auto& host : hosts) {
                    for (const auto& [engine, number] : host->owned) {
                        reported.emplace(engine, host->agent.self());
                        auto& known = highest[engine];
                        if (number > known.first)
                            known = { number, host.get() };
                        // A lower number is of an owner that engines reject.
                        if (number == known.first)
                            BOOST_TEST(known.second == host.get());
                    }
                }
            }
            for (const UpstreamId& engine : engineSet()) {
                const auto owners = std::count_if(hosts.begin(), hosts.end(),
                    [&engine](const auto& host) { return host->owned.count(engine) > 0; });
                BOOST_TEST(owners == 1);
                BOOST_TEST(store.find(FleetRows::ownerKey(engine)).has_value());
            }
        }
    }
}

// Guards against engines that keep an owner who has lost its links to them, also while the store can't tell
// the others, and against engines without orders once the links are whole.
BOOST_AUTO_TEST_CASE(AnOwnerWithoutLinksLeavesItsEnginesToOthers)
{
    for (const bool reachesStore : { true, false }) {
        VirtualScheduler scheduler;
        FakeRowStore store(scheduler);
        HostStore ownStore(store);
        const std::set<UpstreamId> engines { UpstreamId("e-1"), UpstreamId("e-2") };
        Host cut(scheduler, ownStore, "host-1", 1, engines);
        Host other(scheduler, store, "host-2", 2, engines);
        scheduler.advance(3s);
        BOOST_REQUIRE(!cut.owned.empty());
        ownStore.refusesWrites = !reachesStore;
        cut.ineligible = other.ineligible = other.withoutEngines = { HostId("host-1") };
        cut.agent.handOver();
        BOOST_TEST(cut.owned.empty());
        scheduler.advance(1s);
        BOOST_TEST(other.owned.size() == engines.size());
        BOOST_TEST(cut.owned.empty());
    }
}

// Guards against an engine that nobody owns since no other host has claimed it before the links were whole.
BOOST_AUTO_TEST_CASE(AnEngineThatNobodyHasClaimedIsClaimedAgain)
{
    VirtualScheduler scheduler;
    FakeRowStore store(scheduler);
    HostStore ownStore(store);
    Host cut(scheduler, ownStore, "host-1", 1, { UpstreamId("e-1") });
    scheduler.advance(3s);
    const FencingNumber before = cut.owned.at(UpstreamId("e-1"));
    ownStore.refusesWrites = true;
    cut.ineligible = { HostId("host-1") };
    cut.agent.handOver();
    scheduler.advance(1s);
    BOOST_TEST(cut.owned.empty());
    ownStore.refusesWrites = false;
    cut.ineligible.clear();
    scheduler.advance(3s);
    BOOST_REQUIRE(cut.owned.size() == 1u);
    BOOST_TEST(cut.owned.at(UpstreamId("e-1")).value() > before.value());
}

BOOST_AUTO_TEST_SUITE_END()
