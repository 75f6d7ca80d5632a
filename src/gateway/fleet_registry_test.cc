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

// Guards against taking a living host's engines because the store was away.
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

// Load: rows are renewed seldom in a large fleet. Guards against a host that is taken for dead while its
// heartbeats arrive, and against one that stays alive long after they stopped.
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

// Guards against an owner that is taken for alive although its process has started anew and forgot
// everything.
BOOST_AUTO_TEST_CASE(AnEarlierIncarnationOwnsNothing)
{
    FleetRegistry registry(HostId("host-a"), Incarnation(1), leaseTime);
    const MonotonicTime start(100s);
    registry.apply(hostRow("host-b", 1, 5), start);
    registry.apply(ownerRow("engine-0", "host-b", 1, 6), start);
    BOOST_TEST(registry.owner(UpstreamId("engine-0"), start).has_value());
    BOOST_TEST(registry.owner(UpstreamId("engine-0"), start)->fencingNumber == FencingNumber(6));
    registry.apply(hostRow("host-b", 2, 7), start);
    BOOST_TEST(!registry.owner(UpstreamId("engine-0"), start).has_value());
}

// Load: all hosts start at once. Guards against claims of two hosts for one engine and against uneven shares.
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

// Load: hosts of a whole fleet start anew. Guards against others that claim a host's engines before it could
// take them back, and against engines that nobody claims because it does not.
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

// Guards against engines that go to a host which is about to stop.
BOOST_AUTO_TEST_CASE(StoppingHostsGetNoEngines)
{
    FleetRegistry registry(HostId("host-a"), Incarnation(1), leaseTime);
    const MonotonicTime start(100s);
    registry.apply(hostRow("host-a", 1, 1), start);
    registry.apply(hostRow("host-b", 1, 2), start);
    BOOST_TEST(registry.enginesToClaim(engineSet(4), {}, { HostId("host-b") }, start).size() == 4);
}

// Guards against a foreign or damaged row that stops the reader.
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
