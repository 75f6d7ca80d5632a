#include "gateway/upstream_row_exchange.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("ledger");

/// Decodes rows with the value "ready" or "draining".
class StateRowDecoder : public FakeRowDecoder {
public:
    std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const override
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(row.id.key);
        entry.service = service;
        entry.isDraining = row.value == "draining";
        return entry;
    }
};

/// A row store that one host may be cut off from.
class HostStore : public RowStore {
public:
    explicit HostStore(FakeRowStore& store)
        : m_store(store)
    {
    }

    bool isReachable = true;

    void readTable(std::string table, ReadCallback callback) override
    {
        m_store.readTable(std::move(table), filtered(std::move(callback)));
    }
    void readRow(RowKey id, ReadCallback callback) override
    {
        m_store.readRow(std::move(id), filtered(std::move(callback)));
    }
    void awaitChanges(std::string table, RowVersion after, Duration wait, ReadCallback callback) override
    {
        m_store.awaitChanges(std::move(table), after, wait, filtered(std::move(callback)));
    }
    void commit(RowTransaction transaction, CommitCallback callback) override
    {
        m_store.commit(std::move(transaction), std::move(callback));
    }

private:
    ReadCallback filtered(ReadCallback callback)
    {
        return [this, callback = std::move(callback)](const RowResult<RowSet>& result) {
            callback(isReachable ? result : RowResult<RowSet> { std::nullopt, RowStoreError::Unknown });
        };
    }

    FakeRowStore& m_store;
};

class Fleet;

struct Host {
    Host(Fleet& fleet, const std::string& name, uint64_t seed);

    size_t usable() const { return directory.usable(service).size(); }

    HostId id;
    HostStore store;
    Random random;
    MetricsRegistry metrics;
    /// Messages to this host are lost.
    bool isCut = false;
    std::unique_ptr<UpstreamDirectory> ownedDirectory;
    UpstreamDirectory& directory;
    UpstreamRowExchange exchange;
};

/// Hosts with links between all of them and one store, on virtual time.
class Fleet {
public:
    Fleet(size_t readers, size_t others)
    {
        store.put({ "servers", "s1" }, "ready");
        store.put({ "servers", "s2" }, "ready");
        for (size_t index = 0; index < readers + others; ++index)
            add(index < readers);
        advance(4s);
    }

    Host& add(bool isReader)
    {
        const std::string name = "host-" + std::to_string(hosts.size());
        hosts.push_back(std::make_unique<Host>(*this, name, hosts.size() + 1));
        hosts.back()->directory.setReader(isReader);
        hosts.back()->directory.start();
        return *hosts.back();
    }
    Host& host(size_t index) { return *hosts[index]; }

    void send(const HostId& from, const HostId& to, const PeerMessage& message)
    {
        const auto bytes = encodePeerMessage(message);
        scheduler.runAfter(linkDelay, [this, from, to, bytes] {
            for (const auto& receiver : hosts) {
                if (receiver->id == to && !receiver->isCut)
                    receiver->exchange.onMessage(from, *decodePeerMessage(bytes));
            }
        });
    }
    void sendToAll(const HostId& from, const PeerMessage& message)
    {
        for (const auto& receiver : hosts) {
            if (receiver->id != from)
                send(from, receiver->id, message);
        }
    }

    /// Advances the time, with heartbeats and rows that upstreams renew.
    void advance(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += heartbeatInterval) {
            scheduler.advance(heartbeatInterval);
            if (renewsRows)
                store.put({ "servers", "s2" }, "ready");
            for (const auto& host : hosts) {
                PeerHeartbeat heartbeat;
                heartbeat.quietUpstreams = host->directory.quietSpan();
                sendToAll(host->id, heartbeat);
            }
        }
    }
    int64_t requests() const
    {
        int64_t count = 0;
        for (const auto& host : hosts)
            count += host->metrics.counter("lacewing_upstream_row_requests_total");
        return count;
    }

    static constexpr Duration linkDelay = 1ms;
    static constexpr Duration heartbeatInterval = 200ms;

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    StateRowDecoder decoder;
    bool renewsRows = true;
    std::vector<std::unique_ptr<Host>> hosts;
};

Host::Host(Fleet& fleet, const std::string& name, uint64_t seed)
    : id(name)
    , store(fleet.store)
    , random(seed)
    , ownedDirectory(std::make_unique<UpstreamDirectory>(fleet.scheduler, store, fleet.decoder,
          UpstreamDirectory::Handlers { [] {},
              [this, &fleet](const table_sync::ChangeSet& changes) {
                  fleet.sendToAll(id, PeerUpstreamRows { changes });
              } }))
    , directory(*ownedDirectory)
    , exchange(fleet.scheduler, directory, random, metrics,
          [this, &fleet](const HostId& peer, const PeerMessage& message) { fleet.send(id, peer, message); })
{
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamRowExchangeTest)

// Guards against requests, and rows on the links, while nothing changes but the renewals of rows.
BOOST_AUTO_TEST_CASE(NothingIsAskedForOnACalmDay)
{
    Fleet fleet(3, 4);
    const int64_t before = fleet.requests();
    fleet.advance(30s);
    BOOST_TEST(fleet.requests() == before);
}

// Guards against a host that goes on using an upstream for seconds because a relay was lost with its link.
BOOST_AUTO_TEST_CASE(ALostRelayIsMadeUpFor)
{
    Fleet fleet(3, 4);
    Host& cut = fleet.host(5);
    cut.isCut = true;
    fleet.store.put({ "servers", "s1" }, "draining");
    fleet.advance(1200ms);
    BOOST_TEST(cut.usable() == 2);
    cut.isCut = false;
    fleet.advance(800ms);
    BOOST_TEST(cut.usable() == 1);
    BOOST_TEST(fleet.requests() == 1);
}

// Guards against a host that doesn't notice that it lacks a change, since it has got the one after it.
BOOST_AUTO_TEST_CASE(ALaterRelayDoesNotHideALostOne)
{
    Fleet fleet(3, 4);
    Host& cut = fleet.host(5);
    cut.isCut = true;
    fleet.store.put({ "servers", "s1" }, "draining");
    fleet.advance(1200ms);
    cut.isCut = false;
    fleet.store.put({ "servers", "s3" }, "ready");
    fleet.advance(2s);
    BOOST_TEST(cut.directory.findUsable(UpstreamId("s3")) != nullptr);
    BOOST_TEST(cut.directory.findUsable(UpstreamId("s1")) == nullptr);
}

// Guards against a change that is lost with the readers that have read it, and against hosts that can't read
// the store themselves.
BOOST_AUTO_TEST_CASE(ANewReaderBringsTheOthersUpToDate)
{
    Fleet fleet(1, 4);
    Host& reader = fleet.host(0);
    for (const auto& host : fleet.hosts)
        host->isCut = true;
    fleet.store.put({ "servers", "s1" }, "draining");
    fleet.advance(1s);
    BOOST_TEST(reader.usable() == 1);
    reader.directory.setReader(false);
    for (const auto& host : fleet.hosts)
        host->isCut = host->id == reader.id;
    fleet.host(2).store.isReachable = false;
    fleet.host(1).directory.setReader(true);
    fleet.advance(2s);
    for (size_t index = 1; index < fleet.hosts.size(); ++index)
        BOOST_TEST(fleet.host(index).usable() == 1);
}

// Guards against a host without the store that is never told of a removal, since its peers have all started
// after it.
BOOST_AUTO_TEST_CASE(ARemovalFromBeforeTheStartOfAllPeersIsFound)
{
    Fleet fleet(0, 1);
    Host& old = fleet.host(0);
    old.store.isReachable = false;
    fleet.store.remove({ "servers", "s1" });
    fleet.advance(1s);
    fleet.add(true);
    fleet.add(false);
    BOOST_TEST(old.usable() == 2);
    fleet.advance(4s);
    BOOST_TEST(old.usable() == 1);
}

// Guards against a start that makes all hosts ask the new one for the whole table.
BOOST_AUTO_TEST_CASE(AHostThatStartsCausesFewRequests)
{
    Fleet fleet(4, 20);
    const int64_t before = fleet.requests();
    fleet.add(true);
    fleet.add(false);
    fleet.advance(10s);
    BOOST_TEST(fleet.requests() - before <= 2);
}

// Guards against hosts that don't hear of changes after the store has come back from a copy.
BOOST_AUTO_TEST_CASE(AChangeAfterALossOfTheStoreReachesAll)
{
    Fleet fleet(2, 4);
    fleet.advance(5s);
    fleet.store.restore(4s);
    fleet.advance(1s);
    Host& cut = fleet.host(4);
    cut.isCut = true;
    fleet.store.put({ "servers", "s1" }, "draining");
    fleet.advance(1500ms);
    cut.isCut = false;
    fleet.advance(1s);
    for (const auto& host : fleet.hosts)
        BOOST_TEST(host->usable() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
