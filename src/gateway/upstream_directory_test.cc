#include "gateway/upstream_directory.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("engines");

/// Decodes rows with the value "ready" or "draining", "restarted" for another process, and "cold " with the
/// remaining seconds; all others are invalid.
class PlainRowDecoder : public FakeRowDecoder {
public:
    std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const override
    {
        const bool isCold = row.value.rfind("cold ", 0) == 0;
        if (!isCold && row.value != "ready" && row.value != "draining" && row.value != "restarted")
            return std::nullopt;
        UpstreamEntry entry;
        if (isCold)
            entry.coldRemaining = std::chrono::seconds(std::stoi(row.value.substr(5)));
        entry.id = UpstreamId(row.id.key);
        entry.service = service;
        entry.isDraining = row.value == "draining";
        entry.startedAt = row.value == "restarted" ? 2 : 1;
        return entry;
    }
};

struct Fixture {
    Fixture()
    {
        put("s1", "ready");
        put("s2", "ready");
        directory.start();
        scheduler.advance(100ms);
    }

    void put(const char* key, const char* value) { store.put({ "servers", key }, value); }
    void remove(const char* key) { store.remove({ "servers", key }); }
    size_t usable() const { return directory.usable(service).size(); }

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    PlainRowDecoder decoder;
    int changes = 0;
    std::vector<StoredRow> news;
    std::vector<table_sync::ChangeSet> relays;
    UpstreamDirectory directory { scheduler, store, decoder,
        { [this] { ++changes; },
            [this](const table_sync::ChangeSet& changes) {
                news.insert(news.end(), changes.rows.begin(), changes.rows.end());
                relays.push_back(changes);
            } } };
};

/// Decodes rows whose value is the data centre.
class PlacedRowDecoder : public FakeRowDecoder {
public:
    std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const override
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(row.id.key);
        entry.service = service;
        entry.dataCentre = DataCentreId(row.value);
        return entry;
    }
};

/// Upstreams in two data centres of two regions.
struct PlacedFixture {
    PlacedFixture()
    {
        store.put({ "servers", "s1" }, "z-1");
        store.put({ "servers", "s2" }, "z-2");
        directory.start();
        scheduler.advance(100ms);
    }
    std::set<UpstreamId> usable(const UpstreamFilter& filter = UpstreamFilter()) const
    {
        std::set<UpstreamId> ids;
        for (const UpstreamEntry* entry : directory.usable(service, filter))
            ids.insert(entry->id);
        return ids;
    }

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    PlacedRowDecoder decoder;
    DataCentreId evacuated;
    UpstreamDirectory directory { scheduler, store, decoder,
        { [] {}, [](const table_sync::ChangeSet&) {},
            [this](const DataCentreId& dataCentre) { return dataCentre == evacuated; } },
        region::RegionMap(
            { { DataCentreId("z-1"), RegionId("north") }, { DataCentreId("z-2"), RegionId("south") } }) };
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamDirectoryTest)

// Guards against new requests to an upstream more than two seconds after it published that it is draining.
BOOST_AUTO_TEST_CASE(ADrainingUpstreamGetsNoNewWork)
{
    Fixture fixture;
    BOOST_TEST(fixture.usable() == 2);
    fixture.put("s1", "draining");
    fixture.scheduler.advance(1500ms);
    BOOST_TEST(fixture.usable() == 1);
    BOOST_TEST(fixture.directory.find(UpstreamId("s1")) != nullptr);
    fixture.remove("s1");
    fixture.scheduler.advance(1500ms);
    BOOST_TEST(fixture.directory.find(UpstreamId("s1")) == nullptr);
}

// Guards against losing all upstreams because their rows expired during an outage of the store, and against
// keeping those that do not renew their rows after it.
BOOST_AUTO_TEST_CASE(RowsThatExpiredInAnOutageAreKeptForAGracePeriod)
{
    Fixture fixture;
    fixture.store.fault = RowStoreError::Unknown;
    fixture.scheduler.advance(5s);
    BOOST_TEST(fixture.usable() == 2);
    fixture.remove("s1");
    fixture.remove("s2");
    fixture.store.fault.reset();
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.usable() == 2);
    fixture.put("s2", "ready");
    fixture.scheduler.advance(3s);
    BOOST_TEST(fixture.usable() == 1);
    BOOST_TEST(fixture.directory.findUsable(UpstreamId("s2")) != nullptr);
}

// Guards against using a row that can't be decoded, and against such a row keeping others from being read.
BOOST_AUTO_TEST_CASE(InvalidRowsAreSkipped)
{
    Fixture fixture;
    fixture.put("s1", "{}");
    fixture.put("s3", "\xff");
    fixture.put("s4", "ready");
    fixture.scheduler.advance(1500ms);
    BOOST_TEST(fixture.usable() == 2);
    BOOST_TEST(fixture.directory.findUsable(UpstreamId("s4")) != nullptr);
}

// Guards against missing a removal whose change history the store has compacted.
BOOST_AUTO_TEST_CASE(ReadsTheWholeTableAfterCompaction)
{
    Fixture fixture;
    fixture.remove("s1");
    fixture.store.compact();
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.usable() == 1);
}

// Load: a large fleet, in which only some hosts poll the store at short intervals. Guards against changes
// that do not reach the other hosts, and against an older row that overwrites a newer one.
BOOST_AUTO_TEST_CASE(ReadersRelayChangesToOtherHosts)
{
    Fixture reader;
    Fixture other;
    other.directory.setReader(false);
    other.scheduler.advance(1s);
    other.store.fault = RowStoreError::Refused;
    const auto before = reader.news;
    reader.put("s1", "draining");
    reader.scheduler.advance(2s);
    BOOST_TEST(reader.news.size() == before.size() + 1);
    other.directory.peerOffered(reader.relays.back());
    BOOST_TEST(other.usable() == 1);
    other.directory.peerOffered({ { { { "servers", "s1" }, "ready", RowVersion(1), false } }, {}, false });
    BOOST_TEST(other.usable() == 1);
}

// Load: a large fleet whose store discards its history right after a change. Guards against a change that
// only readers learn of, since they find it in a read of the whole table (review/7).
BOOST_AUTO_TEST_CASE(ReadersRelayWhatARereadOfTheTableShows)
{
    Fixture reader;
    Fixture other;
    other.directory.setReader(false);
    other.store.fault = RowStoreError::Refused;
    reader.put("s1", "draining");
    reader.remove("s2");
    reader.store.compact();
    reader.scheduler.advance(2s);
    BOOST_TEST(reader.usable() == 0);
    BOOST_REQUIRE(reader.relays.size() == 1u);
    BOOST_TEST(other.directory.peerOffered(reader.relays.back()));
    BOOST_TEST(other.usable() == 0);
    BOOST_TEST(other.directory.ids().size() == 1u);
}

// Guards against hosts that keep an upstream whose row expired in an outage that they haven't noticed.
BOOST_AUTO_TEST_CASE(ReadersRelayRemovalsThatTakeEffectAfterTheGracePeriod)
{
    Fixture reader;
    Fixture other;
    other.directory.setReader(false);
    reader.store.fault = RowStoreError::Unknown;
    reader.scheduler.advance(5s);
    reader.remove("s1");
    reader.store.fault.reset();
    reader.scheduler.advance(1s);
    BOOST_TEST(reader.relays.empty());
    reader.scheduler.advance(3s);
    reader.put("s2", "ready");
    reader.scheduler.advance(2s);
    BOOST_REQUIRE(reader.relays.size() == 1u);
    BOOST_TEST(other.directory.peerOffered(reader.relays.back()));
    BOOST_TEST(other.usable() == 1);
}

// Guards against a host that drops an upstream which a peer has told it of, because the table that it reads
// meanwhile is older.
BOOST_AUTO_TEST_CASE(AnOlderTableDoesNotRemoveWhatAPeerHasTold)
{
    Fixture fixture;
    fixture.directory.peerOffered({ { { { "servers", "s9" }, "ready", RowVersion(50), false } }, {}, false });
    fixture.store.compact();
    fixture.put("s1", "ready");
    fixture.store.compact();
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.usable() == 3);
}

// Guards against one store call per heartbeat of an upstream.
BOOST_AUTO_TEST_CASE(BoundsStoreCalls)
{
    Fixture fixture;
    const int before = fixture.store.calls;
    for (int beat = 0; beat < 100; ++beat) {
        fixture.put("s1", "ready");
        fixture.scheduler.advance(100ms);
    }
    BOOST_TEST(fixture.store.calls - before <= 20);
}

// Guards against requests to an upstream that was leaving, or had gone, before the store came back from a
// copy that shows it in use.
BOOST_AUTO_TEST_CASE(AnUpstreamThatWasLeavingBeforeALossStaysAway)
{
    Fixture fixture;
    fixture.put("s3", "ready");
    fixture.scheduler.advance(5s);
    fixture.put("s1", "draining");
    fixture.remove("s2");
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.usable() == 1);
    fixture.store.restore(4s);
    for (int step = 0; step < 20; ++step) {
        fixture.scheduler.advance(100ms);
        BOOST_TEST(fixture.usable() == 1);
    }
    fixture.put("s1", "draining");
    fixture.remove("s2");
    fixture.scheduler.advance(10s);
    BOOST_TEST(fixture.usable() == 1);
    fixture.put("s1", "restarted");
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.usable() == 2);
}

// Guards against an upstream that is never used again: its row was removed by mistake and written again
// before the first read after the loss, so nothing tells it from a row of the copy.
BOOST_AUTO_TEST_CASE(ARemovedRowThatTheCopyShowsCountsAgainAfterAWhile)
{
    Fixture fixture;
    fixture.scheduler.advance(5s);
    fixture.remove("s1");
    fixture.scheduler.advance(2s);
    fixture.store.restore(4s);
    fixture.scheduler.advance(4s);
    BOOST_TEST(fixture.usable() == 1);
    fixture.scheduler.advance(6s);
    BOOST_TEST(fixture.usable() == 2);
}

// Guards against requests that are refused because the copy lacks upstreams that are there, and against
// upstreams that stay although they have gone with the loss.
BOOST_AUTO_TEST_CASE(AnUpstreamThatTheCopyLacksIsKeptUntilItWritesAgain)
{
    Fixture fixture;
    fixture.scheduler.advance(5s);
    fixture.put("s3", "ready");
    fixture.put("s4", "ready");
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.usable() == 4);
    fixture.store.restore(4s);
    fixture.scheduler.advance(1500ms);
    BOOST_TEST(fixture.usable() == 4);
    fixture.put("s3", "ready");
    fixture.scheduler.advance(4s);
    BOOST_TEST(fixture.usable() == 3);
}

// Guards against a host that takes an upstream for usable because a peer, which has read the store after a
// loss first, passes on a row of the copy.
BOOST_AUTO_TEST_CASE(ARowOfALaterEraFromAPeerDoesNotBringALeavingUpstreamBack)
{
    Fixture fixture;
    fixture.scheduler.advance(1s);
    fixture.put("s1", "draining");
    fixture.scheduler.advance(2s);
    fixture.directory.peerOffered(
        { { { { "", "s1" }, "ready", RowVersion(StoreEra(1), 1), false } }, {}, false });
    BOOST_TEST(fixture.usable() == 1);
    fixture.directory.peerOffered(
        { { { { "", "s1" }, "restarted", RowVersion(StoreEra(1), 2), false } }, {}, false });
    BOOST_TEST(fixture.usable() == 2);
}

// Guards against an upstream that has said itself that it leaves, is kept because its row expired in an
// outage, and comes back with a row of the store's copy that says ready.
BOOST_AUTO_TEST_CASE(AnUpstreamThatSaysItLeavesStaysAwayThroughAnOutage)
{
    Fixture fixture;
    const UpstreamId id("s1");
    fixture.directory.availability().learnLeaving(
        { id, 1 }, StatementOrigin::Response, fixture.scheduler.now());
    BOOST_TEST(fixture.usable() == 1u);
    BOOST_TEST(!fixture.directory.areAllLeaving(service));
    fixture.put("s1", "ready");
    fixture.scheduler.advance(2s);
    BOOST_TEST(!fixture.directory.findUsable(id));
    BOOST_TEST(fixture.directory.find(id));
    fixture.put("s2", "draining");
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.directory.areAllLeaving(service));
    fixture.put("s1", "restarted");
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.directory.findUsable(id));
    BOOST_TEST(!fixture.directory.areAllLeaving(service));
}

// Guards against a relay to all peers for each row with a falling cold time, and against hosts that don't
// hear of an upstream that has become cold.
BOOST_AUTO_TEST_CASE(OnlyAColdTimeThatGrowsIsAChange)
{
    Fixture fixture;
    const UpstreamId id("s1");
    const auto rowsRelayed = [&fixture](const char* value) {
        const size_t before = fixture.news.size();
        fixture.put("s1", value);
        fixture.scheduler.advance(2s);
        return fixture.news.size() - before;
    };
    BOOST_TEST(rowsRelayed("cold 30") == 1u);
    const int changes = fixture.changes;
    BOOST_TEST(rowsRelayed("cold 28") == 0u);
    BOOST_TEST(rowsRelayed("cold 25") == 0u);
    BOOST_TEST(fixture.changes == changes);
    BOOST_TEST((fixture.directory.find(id)->coldRemaining == 25s));
    BOOST_TEST((fixture.scheduler.now() - fixture.directory.find(id)->read <= 2s));
    BOOST_TEST(rowsRelayed("cold 0") == 0u);
    BOOST_TEST(rowsRelayed("cold 60") == 1u);
    BOOST_TEST(rowsRelayed("ready") == 0u);
}

// Guards against requests to an evacuated data centre, against a restored one that gets none, and against
// owners that give the engines of an evacuated one up.
BOOST_AUTO_TEST_CASE(AnEvacuatedDataCentreIsInServiceButNotUsable)
{
    PlacedFixture fixture;
    fixture.evacuated = DataCentreId("z-1");
    BOOST_TEST(fixture.usable() == std::set<UpstreamId> { UpstreamId("s2") });
    BOOST_TEST(fixture.directory.findUsable(UpstreamId("s1")) == nullptr);
    BOOST_TEST(fixture.directory.inService(service).size() == 2);
    BOOST_TEST(!fixture.directory.areAllLeaving(service));
    fixture.evacuated = DataCentreId();
    BOOST_TEST(fixture.usable().size() == 2);
    BOOST_TEST(fixture.directory.findUsable(UpstreamId("s1")) != nullptr);
}

// Guards against a request with home regions that reaches another region, in the first choice or right before
// it is sent.
BOOST_AUTO_TEST_CASE(HomeRegionsExcludeUpstreamsOfOtherRegions)
{
    PlacedFixture fixture;
    const UpstreamFilter north(VersionFilter(), region::HomeRegions({ RegionId("north") }));
    BOOST_TEST(fixture.usable(north) == std::set<UpstreamId> { UpstreamId("s1") });
    BOOST_TEST(fixture.directory.findUsable(UpstreamId("s2"), north) == nullptr);
    BOOST_TEST(fixture.directory.findUsable(UpstreamId("s1"), north) != nullptr);
    const UpstreamFilter both(VersionFilter(),
        region::HomeRegions({ RegionId("north") }).intersect(region::HomeRegions({ RegionId("south") })));
    BOOST_TEST(fixture.usable(both).empty());
    fixture.evacuated = DataCentreId("z-1");
    BOOST_TEST(fixture.usable(north).empty());
    BOOST_TEST(fixture.directory.inService(service, north).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
