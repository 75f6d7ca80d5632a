#include "gateway/operator_row_exchange.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <memory>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

/// Decodes every configuration row, and treats rows of other keys as releases of the adapter in the key.
class AnyRowDecoder : public FakeRowDecoder {
public:
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string& value, std::string&) const override
    {
        return ServingConfiguration::Builder(Revision(std::stoll(value))).build();
    }
    std::optional<AdapterRelease> readRelease(const StoredRow& row) const override
    {
        return AdapterRelease { ModelId("m"), AdapterId(row.id.key), std::stoll(row.value) };
    }
};

const RowKey evacuation { "op", "evacuated:z-1" };

struct Host {
    Host(VirtualScheduler& scheduler, const RowDecoder& decoder)
        : store(scheduler)
        , tracker(scheduler, store, decoder, { [] {}, [](const AdapterRelease&) {} })
        , exchange(scheduler, tracker, random, [this](const HostId& peer, const PeerMessage& message) {
            sent.push_back(message);
            asked.push_back(peer);
        })
    {
        store.put({ "op", "config" }, "1");
        tracker.start();
    }

    /// Delivers the messages between this host and another one until neither has any left.
    void exchangeMessages(Host& other)
    {
        while (!sent.empty() || !other.sent.empty()) {
            Host& sender = sent.empty() ? other : *this;
            Host& receiver = sent.empty() ? *this : other;
            const PeerMessage message = sender.sent.front();
            sender.sent.pop_front();
            if (const auto* request = std::get_if<PeerOperatorRequest>(&message))
                receiver.exchange.onRequest(HostId("peer"), *request);
            else if (const auto* rows = std::get_if<PeerOperatorRows>(&message))
                receiver.exchange.onRows(HostId("peer"), table_sync::RowPacker::unpack(rows->rows));
        }
    }
    bool isEvacuated() const { return tracker.evacuations().isEvacuated(DataCentreId("z-1")); }
    int64_t release(const char* adapter) const
    {
        const auto found = tracker.releases().find({ ModelId("m"), AdapterId(adapter) });
        return found == tracker.releases().end() ? 0 : found->second;
    }

    FakeRowStore store;
    ConfigurationTracker tracker;
    std::deque<PeerMessage> sent;
    std::vector<HostId> asked;
    Random random { 1 };
    OperatorRowExchange exchange;
};

struct Fixture {
    Fixture() { scheduler.advance(100ms); }

    /// Lets the disconnected host hear a heartbeat of another one and ask it for rows.
    void syncFrom(Host& other)
    {
        scheduler.advance(1s);
        disconnected.exchange.onHeartbeat(
            HostId("peer"), other.tracker.newestRowVersion(), other.tracker.revision());
        scheduler.advance(2s);
        disconnected.exchangeMessages(other);
    }

    VirtualScheduler scheduler;
    AnyRowDecoder decoder;
    Host connected { scheduler, decoder };
    Host disconnected { scheduler, decoder };
};

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorRowExchangeTest)

// Guards against a host that keeps old adapter versions while its connection to the store is down, although
// its peers have the new ones.
BOOST_AUTO_TEST_CASE(FetchesReleasesAndTheConfiguration)
{
    Fixture fixture;
    fixture.disconnected.store.fault = RowStoreError::Unknown;
    fixture.connected.store.put({ "op", "a1" }, "2");
    fixture.connected.store.put({ "op", "config" }, "5");
    fixture.connected.store.put({ "op", "a2" }, "7");
    fixture.scheduler.advance(1s);
    fixture.disconnected.exchange.onHeartbeat(
        HostId("peer"), fixture.connected.tracker.newestRowVersion(), Revision(5));
    fixture.scheduler.advance(1s);
    fixture.disconnected.exchangeMessages(fixture.connected);
    BOOST_TEST(fixture.disconnected.release("a1") == 2);
    BOOST_TEST(fixture.disconnected.release("a2") == 7);
    BOOST_TEST((fixture.disconnected.tracker.current()->revision() == Revision(5)));
    BOOST_TEST(
        (fixture.disconnected.tracker.newestRowVersion() == fixture.connected.tracker.newestRowVersion()));
}

// Load: a large fleet in which the store reports a change to all hosts at nearly the same time. Guards
// against transfers of the configuration between all pairs of hosts.
BOOST_AUTO_TEST_CASE(RequestsFromOnePeerAndOnlyIfTheStoreIsLate)
{
    Fixture fixture;
    fixture.connected.store.put({ "op", "config" }, "5");
    fixture.scheduler.advance(100ms);
    const RowVersion newest = fixture.connected.tracker.newestRowVersion();
    for (int peer = 0; peer < 80; ++peer)
        fixture.disconnected.exchange.onHeartbeat(HostId("peer-" + std::to_string(peer)), newest, Revision());
    fixture.disconnected.store.put({ "op", "config" }, "5");
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.disconnected.sent.empty());
    const RowVersion newer(newest.number() + 3);
    for (int peer = 0; peer < 80; ++peer)
        fixture.disconnected.exchange.onHeartbeat(HostId("peer-" + std::to_string(peer)), newer, Revision());
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.disconnected.sent.size() == 1);
}

// Load: a large fleet in which few hosts long-poll the store. Guards against requests of all other hosts to
// the same reader, whose link they would saturate, and against hosts that never request the change.
BOOST_AUTO_TEST_CASE(NonReadersRequestFromDifferentPeers)
{
    constexpr int hostCount = 180;
    constexpr int readerCount = 16;
    constexpr Duration heartbeatInterval = 1s;
    VirtualScheduler scheduler;
    AnyRowDecoder decoder;
    std::vector<std::unique_ptr<Host>> hosts;
    for (int index = 0; index < hostCount; ++index) {
        hosts.push_back(std::make_unique<Host>(scheduler, decoder));
        hosts.back()->random = Random(static_cast<uint64_t>(index));
    }
    scheduler.advance(200ms);
    for (const auto& host : hosts)
        host->tracker.setReader(false);
    const RowVersion newest(50);
    for (int reader = 0; reader < readerCount; ++reader) {
        for (const auto& host : hosts)
            host->exchange.onHeartbeat(HostId("reader-" + std::to_string(reader)), newest, Revision());
        scheduler.advance(heartbeatInterval / readerCount);
    }
    scheduler.advance(1s);
    std::map<HostId, int> asked;
    for (const auto& host : hosts) {
        BOOST_TEST(!host->asked.empty());
        ++asked[host->asked.front()];
    }
    for (const auto& [peer, count] : asked)
        BOOST_TEST(count <= hostCount / 4);
}

// Guards against a host that is cut off from the store and goes on sending to an evacuated data centre, or
// keeps away from a restored one.
BOOST_AUTO_TEST_CASE(EvacuationsAndTheirRemovalsReachAHostWithoutTheStore)
{
    Fixture fixture;
    fixture.disconnected.store.fault = RowStoreError::Unknown;
    fixture.connected.store.put(evacuation, "{}");
    fixture.syncFrom(fixture.connected);
    BOOST_TEST(fixture.disconnected.isEvacuated());
    fixture.connected.store.remove(evacuation);
    fixture.syncFrom(fixture.connected);
    BOOST_TEST(!fixture.disconnected.isEvacuated());
}

// Guards against a host that never asks for a release, since it has been told of a later removal that it did
// not ask for.
BOOST_AUTO_TEST_CASE(ARemovalThatWasNotAskedForHidesNoRelease)
{
    Fixture fixture;
    fixture.disconnected.store.fault = RowStoreError::Unknown;
    fixture.connected.store.put(evacuation, "{}");
    fixture.syncFrom(fixture.connected);
    fixture.connected.store.put({ "op", "a1" }, "2");
    fixture.connected.store.remove(evacuation);
    fixture.scheduler.advance(2s);
    fixture.connected.exchange.onRows(
        HostId("peer"), fixture.disconnected.tracker.evacuations().rowsInForce());
    fixture.disconnected.exchangeMessages(fixture.connected);
    BOOST_TEST(!fixture.disconnected.isEvacuated());
    BOOST_TEST(fixture.disconnected.release("a1") == 0);
    fixture.syncFrom(fixture.connected);
    BOOST_TEST(fixture.disconnected.release("a1") == 2);
}

// Guards against a restarted host that takes a removed evacuation over from a host that was cut off, and
// against a host that keeps the evacuation although it takes a newer configuration from the restarted one.
BOOST_AUTO_TEST_CASE(ARestartedHostEndsAnEvacuationThatWasRemovedBefore)
{
    for (const bool hasNewerConfiguration : { false, true }) {
        Fixture fixture;
        fixture.connected.store.put(evacuation, "{}");
        fixture.disconnected.store.fault = RowStoreError::Unknown;
        fixture.syncFrom(fixture.connected);
        BOOST_TEST(fixture.disconnected.isEvacuated());
        fixture.scheduler.advance(10s);
        Host restarted { fixture.scheduler, fixture.decoder };
        for (int revision = 2; revision < 6; ++revision)
            restarted.store.put({ "servers", "other" }, "1");
        if (hasNewerConfiguration)
            restarted.store.put({ "op", "config" }, "9");
        fixture.scheduler.advance(3s);
        restarted.exchange.onHeartbeat(
            HostId("peer"), fixture.disconnected.tracker.newestRowVersion(), Revision());
        fixture.syncFrom(restarted);
        fixture.syncFrom(restarted);
        BOOST_TEST(!restarted.isEvacuated());
        BOOST_TEST(!fixture.disconnected.isEvacuated());
    }
}

// Guards against a host that starts after the store has come back from a copy without the evacuation, and
// sends requests to a data centre that its peers keep away from.
BOOST_AUTO_TEST_CASE(AHostThatStartsAfterALossLearnsOfAMissingEvacuation)
{
    Fixture fixture;
    fixture.scheduler.advance(5s);
    fixture.connected.store.put(evacuation, "{}");
    fixture.scheduler.advance(1s);
    fixture.connected.store.restore(3s);
    fixture.disconnected.store.restore(3s);
    fixture.scheduler.advance(3s);
    BOOST_TEST(fixture.connected.isEvacuated());
    BOOST_TEST(!fixture.disconnected.isEvacuated());
    for (int heartbeat = 0; heartbeat < 5; ++heartbeat)
        fixture.connected.exchange.onHeartbeat(HostId("peer"), RowVersion(), Revision());
    BOOST_TEST(fixture.connected.sent.size() == 1);
    fixture.disconnected.exchangeMessages(fixture.connected);
    BOOST_TEST(fixture.disconnected.isEvacuated());
    fixture.scheduler.advance(45s);
    BOOST_TEST(!fixture.connected.isEvacuated());
    BOOST_TEST(!fixture.disconnected.isEvacuated());
}

BOOST_AUTO_TEST_SUITE_END()
