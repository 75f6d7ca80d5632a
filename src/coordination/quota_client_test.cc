#include "coordination/load_permits.h"
#include "coordination/simulated_quota.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

/// Two daemons with half of the partitions each, full buckets and 640 tokens a second, 6,400 at once.
struct Fixture {
    Fixture()
    {
        QuotaLimits limits = LoadPermits::limits({ 2, 4 });
        limits[workspace] = { QuotaKind::Rate, Tokens(640), Tokens(6400) };
        for (const char* name : { "a", "b" }) {
            auto& daemon = fleet.start(HostId(name), Incarnation(1), name == std::string("a") ? 0s : 50s);
            daemon.holder.setLimits(limits);
            daemon.quotaClient.setLimits(limits);
        }
        std::set<int> halves[2];
        for (int partition = 0; partition < quotaPartitions; ++partition)
            halves[partition % 2].insert(partition);
        fleet.setPartitions(HostId("a"), halves[0], grantTtl);
        fleet.setPartitions(HostId("b"), halves[1], grantTtl);
        fleet.announceHolders();
        scheduler.advance(30s);
    }
    QuotaClient& quotaClient() { return fleet.find(HostId("a"))->quotaClient; }
    /// Reserves at host a and appends the result on completion.
    void reserve(int64_t tokens, Duration wait = 250ms)
    {
        quotaClient().reserve(workspace, Tokens(tokens), fleet.find(HostId("a"))->after(wait),
            [this](const ReserveResult& result) { results.push_back(result); });
    }
    bool isReserved(size_t index) { return results.at(index).reservation.has_value(); }

    WorkspaceId workspace { "w" };
    VirtualScheduler scheduler;
    SimulatedQuotaFleet fleet { scheduler, 1 };
    std::vector<ReserveResult> results;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuotaClientTest, Fixture)

// Guards against a daemon that can charge only the amounts of its own partitions.
BOOST_AUTO_TEST_CASE(GathersFromPeers)
{
    reserve(6000);
    scheduler.advance(100ms);
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST(isReserved(0));
    reserve(7000);
    BOOST_TEST((results.at(1).error == ReserveError::ExceedsBurst));
}

// Guards against waiting until the deadline for refill that can't suffice, and a Retry-After that is too
// short.
BOOST_AUTO_TEST_CASE(RefusesEarlyWithTheTimeUntilRefill)
{
    reserve(6390);
    scheduler.advance(100ms);
    BOOST_TEST(isReserved(0));
    reserve(3200, 2s);
    scheduler.advance(300ms);
    BOOST_REQUIRE(results.size() == 2);
    BOOST_TEST((results[1].error == ReserveError::RateLimited));
    BOOST_TEST(toSeconds(results[1].retryAfter) > 4);
    BOOST_TEST(toSeconds(results[1].retryAfter) < 5.5);
}

// Guards against small requests that overtake a large one and starve it.
BOOST_AUTO_TEST_CASE(ServesInOrderOfArrival)
{
    reserve(6390);
    scheduler.advance(300ms);
    reserve(600, 2s);
    reserve(10, 2s);
    scheduler.advance(200ms);
    BOOST_TEST(results.size() == 1);
    scheduler.advance(2s);
    BOOST_REQUIRE(results.size() == 3);
    BOOST_TEST((isReserved(1) && results[1].reservation->tokens == Tokens(600)));
    BOOST_TEST(isReserved(2));
}

// Guards against unused amounts that are lost, and against use beyond the reservation that is never charged.
BOOST_AUTO_TEST_CASE(SettlesUnusedAndExcess)
{
    reserve(6000);
    scheduler.advance(100ms);
    quotaClient().settle(*results.at(0).reservation, Tokens(0));
    scheduler.advance(500ms);
    reserve(6000);
    scheduler.advance(100ms);
    BOOST_REQUIRE(isReserved(1));
    quotaClient().settle(*results[1].reservation, Tokens(7000));
    BOOST_TEST(quotaClient().debt(workspace) > Tokens(0));
    reserve(100, 100ms);
    scheduler.advance(200ms);
    BOOST_TEST(!isReserved(2));
    scheduler.advance(3s);
    BOOST_TEST(quotaClient().debt(workspace) == Tokens(0));
    reserve(100);
    scheduler.advance(300ms);
    BOOST_TEST(isReserved(3));
}

// Guards against a stopping daemon that keeps amounts or accepts new requests.
BOOST_AUTO_TEST_CASE(StopReturnsEverything)
{
    reserve(6390);
    reserve(6000, 5s);
    scheduler.advance(50ms);
    quotaClient().stop();
    reserve(1);
    scheduler.advance(1s);
    BOOST_REQUIRE(results.size() == 3);
    BOOST_TEST((results.back().error == ReserveError::Stopping));
    for (const auto& [host, daemon] : fleet.daemons())
        BOOST_TEST(daemon->holder.bucket(workspace)->outstanding() == Tokens(0));
}

// Guards against more loads in flight or more starts than the fleet may have, and against slots that are
// never released.
BOOST_AUTO_TEST_CASE(LoadPermitsBoundLoadsInFlightAndStarts)
{
    LoadPermits permits(quotaClient());
    std::vector<LoadPermits::Permit> held;
    int refused = 0;
    const auto acquire = [&] {
        permits.acquire(scheduler.now() + 250ms, [&](std::optional<LoadPermits::Permit> permit, Duration) {
            if (permit)
                held.push_back(*permit);
            else
                ++refused;
        });
        scheduler.advance(500ms);
    };
    for (int load = 0; load < 10; ++load)
        acquire();
    BOOST_TEST(held.size() == 4);
    BOOST_TEST(refused == 6);
    permits.finish(held.front(), true);
    scheduler.advance(1s);
    acquire();
    BOOST_TEST(held.size() == 5);
}

BOOST_AUTO_TEST_SUITE_END()
