#include "gateway/stream_records.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration lifetime = 30s;

/// The records of one host on a shared store.
struct HostRecords {
    HostRecords(VirtualScheduler& scheduler, RowStore& store)
        : records(
            scheduler, store, metrics, [] { return lifetime; }, [this](size_t count) { rewritten += count; })
    {
        records.start();
    }

    MetricsRegistry metrics;
    /// Number of records that were written again.
    size_t rewritten = 0;
    StreamRecords records;
};

struct Fixture {
    StreamLookup find(HostRecords& host, const StreamName& name)
    {
        std::optional<StreamLookup> found;
        host.records.find(name, [&found](const StreamLookup& lookup) { found = lookup; });
        scheduler.advance(20ms);
        // A look-up without an answer is repeated.
        if (!found)
            scheduler.advance(2s);
        BOOST_REQUIRE(found);
        return *found;
    }

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    HostRecords host { scheduler, store };
    HostRecords other { scheduler, store };
    const StreamName name { WorkspaceId("w-1"), "r-1" };
    const StreamOrigin origin { ServiceId("chat"), SoftwareVersion("v2") };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamRecordsTest, Fixture)

// Guards against a stream that goes on at another version because the host that began it has ended.
BOOST_AUTO_TEST_CASE(AnotherHostFindsARecord)
{
    bool isSaved = false;
    host.records.save(name, origin, [&isSaved] { isSaved = true; });
    BOOST_TEST(!isSaved);
    scheduler.advance(20ms);
    BOOST_TEST(isSaved);
    BOOST_TEST((find(host, name).source == StreamLookup::Source::Host));
    const StreamLookup lookup = find(other, name);
    BOOST_TEST((lookup.source == StreamLookup::Source::Record));
    BOOST_TEST(lookup.origin->version == origin.version);
    BOOST_TEST(lookup.origin->service == origin.service);
}

// Guards against the record of one workspace that counts for the stream of another.
BOOST_AUTO_TEST_CASE(WorkspacesDoNotShareNames)
{
    host.records.save(name, origin, [] {});
    scheduler.advance(20ms);
    for (const StreamName& foreign :
        { StreamName { WorkspaceId("w-2"), "r-1" }, StreamName { WorkspaceId(), "r-1" },
            StreamName { WorkspaceId(), "w-1\nr-1" }, StreamName { WorkspaceId("w-1"), "r-1 " } })
        BOOST_TEST((find(other, foreign).source == StreamLookup::Source::NoRecord));
}

// Guards against an event that is passed on before the store has its stream's record.
BOOST_AUTO_TEST_CASE(ASaveIsRepeatedUntilTheStoreHasIt)
{
    store.fault = RowStoreError::Unknown;
    bool isSaved = false;
    host.records.save(name, origin, [&isSaved] { isSaved = true; });
    scheduler.advance(2s);
    BOOST_TEST(!isSaved);
    BOOST_TEST((find(other, name).source == StreamLookup::Source::Unreadable));
    store.fault.reset();
    scheduler.advance(500ms);
    BOOST_TEST(isSaved);
    BOOST_TEST((find(other, name).source == StreamLookup::Source::Record));
}

// Guards against a write for each stream while many begin at once.
BOOST_AUTO_TEST_CASE(StreamsThatBeginDuringACommitShareTheNextOne)
{
    int saved = 0;
    for (int number = 0; number < 40; ++number)
        host.records.save({ name.workspace, std::to_string(number) }, origin, [&saved] { ++saved; });
    scheduler.advance(50ms);
    BOOST_TEST(saved == 40);
    BOOST_TEST(store.calls == 2);
}

// Guards against a record that the store has lost, and against taking it for missing before it is written
// again.
BOOST_AUTO_TEST_CASE(RecordsThatTheStoreHasLostAreWrittenAgain)
{
    store.restore(0ms);
    scheduler.advance(10s);
    host.records.save(name, origin, [] {});
    host.records.remember({ WorkspaceId(), "r-2" }, origin);
    scheduler.advance(20ms);
    // The other host has looked nothing up before.
    store.restore(500ms);
    BOOST_TEST((find(other, name).source == StreamLookup::Source::Unreadable));
    scheduler.advance(520ms);
    BOOST_TEST(host.rewritten == 1);
    BOOST_TEST((find(other, name).source == StreamLookup::Source::Record));
    scheduler.advance(6s);
    BOOST_TEST((find(other, { WorkspaceId(), "r-2" }).source == StreamLookup::Source::NoRecord));
}

// Guards against a table that grows without end.
BOOST_AUTO_TEST_CASE(RecordsAreRemovedOnceTheirStreamsAreOver)
{
    host.records.save(name, origin, [] {});
    scheduler.advance(lifetime - 1s);
    BOOST_TEST((find(other, name).source == StreamLookup::Source::Record));
    scheduler.advance(15s);
    BOOST_TEST((find(other, name).source == StreamLookup::Source::NoRecord));
    BOOST_TEST((find(host, name).source == StreamLookup::Source::NoRecord));
}

// Guards against rows that a host leaves behind when it ends.
BOOST_AUTO_TEST_CASE(AnotherHostRemovesWhatAHostHasLeftBehind)
{
    {
        HostRecords ended(scheduler, store);
        ended.records.save(name, origin, [] {});
        scheduler.advance(20ms);
    }
    for (int sweeps = 0; sweeps < 2; ++sweeps) {
        host.records.sweep();
        scheduler.advance(lifetime);
        BOOST_TEST((find(other, name).source == StreamLookup::Source::Record));
    }
    host.records.sweep();
    scheduler.advance(lifetime);
    host.records.sweep();
    scheduler.advance(1s);
    BOOST_TEST((find(other, name).source == StreamLookup::Source::NoRecord));
}

BOOST_AUTO_TEST_CASE(ARowThatCannotBeReadIsNoRecord)
{
    store.put(StreamRecords::rowKey(name), "\xff");
    BOOST_TEST((find(other, name).source == StreamLookup::Source::Unreadable));
}

BOOST_AUTO_TEST_SUITE_END()
