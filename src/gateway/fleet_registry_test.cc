#include "gateway/fleet_registry.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration leaseTime = 3s;

StoredRow hostRow(const char* name, int64_t incarnation, int64_t version)
{
    HostRecord record;
    record.host = HostId(name);
    record.incarnation = Incarnation(incarnation);
    record.peerAddress = { "127.0.0.1", 1 };
    record.callerAddress = { "127.0.0.1", 2 };
    record.dataCentre = DataCentreId("dc-1");
    return { FleetRows::hostKey(record.host), FleetRows::encode(record), RowVersion(version), false };
}

StoredRow ownerRow(const char* engine, const char* host, int64_t incarnation, int64_t version)
{
    OwnerRecord record;
    record.host = HostId(host);
    record.incarnation = Incarnation(incarnation);
    return { FleetRows::ownerKey(UpstreamId(engine)), FleetRows::encode(record), RowVersion(version), false };
}

std::set<UpstreamId> engineSet(int count)
{
    std::set<UpstreamId> engines;
    for (int index = 0; index < count; ++index)
        engines.insert(UpstreamId("engine-" + std::to_string(index)));
    return engines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetRegistryTest)

// Guards against taking a live host's engines because the store was unavailable and its renewals were not
// seen.
BOOST_AUTO_TEST_CASE(AHostDiesOnlyWhileTheTableCanBeRead)
{
    FleetRegistry registry(HostId("host-a"), Incarnation(1), leaseTime);
    const MonotonicTime start(100s);
    registry.apply(hostRow("host-b", 1, 5), start);
    BOOST_TEST(registry.isAlive(HostId("host-b"), start + 3s));
    BOOST_TEST(!registry.isAlive(HostId("host-b"), start + 4s));
    registry.resumeObservation(start + 10s);
    BOOST_TEST(registry.isAlive(HostId("host-b"), start + 12s));
}

// Load: rows are renewed rarely in a large fleet. Guards against a host that is considered dead while its
// heartbeats arrive, and against one that is considered alive long after they have stopped.
BOOST_AUTO_TEST_CASE(AHostInTouchIsAlive)
{
    FleetRegistry registry(HostId("host-a"), Incarnation(1), leaseTime);
    const MonotonicTime start(100s);
    registry.apply(hostRow("host-b", 1, 5), start);
    registry.setInTouch({ HostId("host-b") }, start + 9s);
    BOOST_TEST(registry.isAlive(HostId("host-b"), start + 9s));
    BOOST_TEST(!registry.hasHostsOutOfTouch(start + 9s));
    registry.setInTouch({}, start + 10s);
    BOOST_TEST(registry.isAlive(HostId("host-b"), start + 11s));
    BOOST_TEST(registry.hasHostsOutOfTouch(start + 11s));
    BOOST_TEST(!registry.isAlive(HostId("host-b"), start + 13s));
}

// Guards against an owner that is considered alive although its process has restarted and lost all state.
BOOST_AUTO_TEST_CASE(AnEarlierIncarnationOwnsNothing)
{
    FleetRegistry registry(HostId("host-a"), Incarnation(1), leaseTime);
    const MonotonicTime start(100s);
    registry.apply(hostRow("host-b", 1, 5), start);
    registry.apply(ownerRow("engine-0", "host-b", 1, 6), start);
    BOOST_TEST(registry.owner(UpstreamId("engine-0"), start).has_value());
    const RowVersion version = registry.ownerVersion(UpstreamId("engine-0"));
    BOOST_TEST(FleetRows::fencingNumber(version) == FencingNumber(6));
    registry.apply(hostRow("host-b", 2, 7), start);
    BOOST_TEST(!registry.owner(UpstreamId("engine-0"), start).has_value());
}

// Load: all hosts start at once. Guards against two hosts that claim the same engine and against an uneven
// distribution.
BOOST_AUTO_TEST_CASE(HostsDivideTheEnginesEvenly)
{
    const MonotonicTime start(100s);
    const auto engines = engineSet(12);
    std::set<UpstreamId> claimed;
    for (const char* self : { "host-a", "host-b", "host-c", "host-d", "host-e" }) {
        FleetRegistry registry(HostId(self), Incarnation(1), leaseTime);
        int64_t version = 1;
        for (const char* host : { "host-a", "host-b", "host-c", "host-d", "host-e" })
            registry.apply(hostRow(host, 1, version++), start);
        const auto claims = registry.enginesToClaim(engines, {}, {}, start);
        BOOST_TEST(claims.size() >= 2);
        BOOST_TEST(claims.size() <= 3);
        for (const UpstreamId& engine : claims)
            BOOST_TEST(claimed.insert(engine).second);
    }
    BOOST_TEST(claimed.size() == engines.size());
}

// Load: all hosts of a fleet restart. Guards against other hosts that claim a host's engines before it can
// reclaim them, and against engines that stay unclaimed because their last owner does not reclaim them.
BOOST_AUTO_TEST_CASE(ARestartedHostMayReclaimItsEngines)
{
    const MonotonicTime start(100s);
    FleetRegistry other(HostId("host-a"), Incarnation(1), leaseTime);
    FleetRegistry self(HostId("host-b"), Incarnation(2), leaseTime);
    for (FleetRegistry* registry : { &other, &self }) {
        registry->apply(hostRow("host-a", 1, 1), start);
        registry->apply(hostRow("host-b", 1, 2), start);
        for (int index = 0; index < 4; ++index)
            registry->apply(
                ownerRow(("engine-" + std::to_string(index)).c_str(), "host-b", 1, 3 + index), start);
        registry->apply(hostRow("host-b", 2, 8), start);
    }
    BOOST_TEST(other.enginesToClaim(engineSet(4), {}, {}, start + 2500ms).empty());
    BOOST_TEST(self.enginesToClaim(engineSet(4), {}, {}, start + 500ms).size() == 4);
    BOOST_TEST(other.enginesToClaim(engineSet(4), {}, {}, start + 3200ms).size() == 2);
    BOOST_TEST(other.enginesToClaim(engineSet(4), {}, { HostId("host-b") }, start + 500ms).size() == 4);
}

// Guards against engines that are assigned to a stopping host.
BOOST_AUTO_TEST_CASE(StoppingHostsGetNoEngines)
{
    FleetRegistry registry(HostId("host-a"), Incarnation(1), leaseTime);
    const MonotonicTime start(100s);
    registry.apply(hostRow("host-a", 1, 1), start);
    registry.apply(hostRow("host-b", 1, 2), start);
    BOOST_TEST(registry.enginesToClaim(engineSet(4), {}, { HostId("host-b") }, start).size() == 4);
}

// Guards against unknown or corrupt rows that make reading the table fail.
BOOST_AUTO_TEST_CASE(SkipsRowsThatItCannotRead)
{
    FleetRegistry registry(HostId("host-a"), Incarnation(1), leaseTime);
    const MonotonicTime start(100s);
    registry.apply(
        { { FleetRows::table, "host:host-x" }, "{\"incarnation\":\"no\"}", RowVersion(3), false }, start);
    registry.apply({ { FleetRows::table, "owner:engine-0" }, "\xff\xfe", RowVersion(4), false }, start);
    registry.apply({ { FleetRows::table, "unknown" }, "", RowVersion(5), false }, start);
    BOOST_TEST(registry.liveHosts(start).empty());
    BOOST_TEST(!registry.owner(UpstreamId("engine-0"), start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
