#include "gateway/service_version_tracker.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("chat");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");

/// One host's tracker, which gets the row of the service when the test says so.
struct Host {
    Host(VirtualScheduler& scheduler, FakeRowStore& shared, size_t hostsAhead)
        : store(shared)
        , tracker(scheduler, shared,
              { [this] {
                   return ServiceVersionTracker::UpstreamCounts { { service, upstreams } };
               },
                  [] { return 30s; }, [hostsAhead] { return hostsAhead; },
                  [this](const StoredRow& row) { told.push_back(row); } })
    {
        tracker.start();
    }

    /// Reads the service's row as the store has it.
    void readTable(int64_t version)
    {
        const auto value = store.find(ServiceVersionTracker::rowKey(service));
        std::vector<StoredRow> rows;
        if (value)
            rows.push_back(
                { ServiceVersionTracker::rowKey(service), *value, RowVersion(StoreEra(), version), false });
        tracker.tableRead(rows);
    }

    FakeRowStore& store;
    std::map<SoftwareVersion, size_t> upstreams { { v1, 3 } };
    std::vector<StoredRow> told;
    ServiceVersionTracker tracker;
};

struct Fixture {
    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    Host first { scheduler, store, 0 };
    Host second { scheduler, store, 1 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceVersionTrackerTest, Fixture)

BOOST_AUTO_TEST_CASE(OneHostMakesAChangeAndTellsTheOthers)
{
    first.readTable(0);
    second.readTable(0);
    BOOST_TEST(!first.tracker.find(service));
    scheduler.advance(50ms);
    BOOST_REQUIRE(first.tracker.find(service));
    BOOST_TEST(first.tracker.find(service)->base == v1);
    BOOST_REQUIRE(first.told.size() == 1);
    second.tracker.rowsChanged(first.told);
    BOOST_TEST(second.tracker.find(service)->base == v1);
    scheduler.advance(1s);
    BOOST_TEST(second.told.empty());
    BOOST_TEST(store.conflicts == 0);
    // A host that has missed the news hears of it later.
    scheduler.advance(10s);
    BOOST_TEST(first.told.size() == 2);
    BOOST_TEST(second.told.empty());
}

// Guards against a version that nobody adds because the host whose turn it is has failed.
BOOST_AUTO_TEST_CASE(TheNextHostMakesAChangeThatTheFirstHasNot)
{
    second.readTable(0);
    scheduler.advance(1s);
    BOOST_REQUIRE(second.tracker.find(service));
    second.upstreams[v2] = 1;
    second.tracker.refresh();
    scheduler.advance(1s);
    BOOST_TEST(second.tracker.find(service)->includes(v2));
}

// Guards against two hosts that hold different versions of one service after a race.
BOOST_AUTO_TEST_CASE(AConflictBringsTheVersionsOfTheOtherHost)
{
    first.readTable(0);
    scheduler.advance(50ms);
    second.upstreams = { { v2, 3 } };
    second.readTable(1);
    first.upstreams[v2] = 3;
    first.tracker.refresh();
    second.tracker.refresh();
    scheduler.advance(1s);
    BOOST_TEST(second.tracker.find(service)->base == v1);
    BOOST_TEST(second.tracker.find(service)->includes(v2));
    BOOST_TEST(first.tracker.find(service)->revision == second.tracker.find(service)->revision);
}

// Guards against versions that change on the word of a host that has not read the table.
BOOST_AUTO_TEST_CASE(NothingIsWrittenBeforeTheTableHasBeenRead)
{
    first.tracker.refresh();
    scheduler.advance(5s);
    BOOST_TEST(store.calls == 0);
    first.readTable(0);
    scheduler.advance(50ms);
    second.tracker.rowsChanged(first.told);
    BOOST_TEST(second.tracker.find(service)->base == v1);
}

BOOST_AUTO_TEST_CASE(TheBaseMovesOnceItsVersionHasBeenGoneForLong)
{
    first.readTable(0);
    scheduler.advance(50ms);
    first.upstreams = { { v2, 3 } };
    first.tracker.refresh();
    scheduler.advance(29s);
    BOOST_TEST(first.tracker.find(service)->beginsUnrecorded(v1));
    scheduler.advance(5s);
    BOOST_TEST(first.tracker.find(service)->base == v1);
    BOOST_TEST(!first.tracker.find(service)->beginsUnrecorded(v1));
    scheduler.advance(34s);
    BOOST_TEST(first.tracker.find(service)->base == v2);
    BOOST_TEST(first.tracker.find(service)->beginsUnrecorded(v2));
}

// Guards against unrecorded streams of a version that is back, if the commit that replaces it as the base
// takes effect only then, without an answer.
BOOST_AUTO_TEST_CASE(ACommitThatTakesEffectLateFindsNoUnrecordedStreams)
{
    first.readTable(0);
    scheduler.advance(50ms);
    first.upstreams = { { v2, 3 } };
    first.tracker.refresh();
    scheduler.advance(40s);
    BOOST_TEST(!first.tracker.find(service)->beginsUnrecorded(v1));
    second.tracker.rowsChanged(first.told);
    store.losesCommitResults = true;
    scheduler.advance(30s);
    // The store has the new base, and no host knows it; the former one is back.
    BOOST_TEST(
        store.find(ServiceVersionTracker::rowKey(service))->find("\"base\":\"v2\"") != std::string::npos);
    first.upstreams = second.upstreams = { { v1, 3 } };
    BOOST_TEST(!first.tracker.find(service)->beginsUnrecorded(v1));
    BOOST_TEST(!second.tracker.find(service)->beginsUnrecorded(v1));
}

// Guards against hosts that hear of a change only with the next reminder, since the result of its commit was
// lost.
BOOST_AUTO_TEST_CASE(ACommitWhoseResultWasLostIsToldOnceItIsKnown)
{
    first.readTable(0);
    second.readTable(0);
    store.losesCommitResults = true;
    scheduler.advance(50ms);
    store.losesCommitResults = false;
    BOOST_TEST(first.told.empty());
    scheduler.advance(3s);
    BOOST_REQUIRE(first.told.size() == 1u);
    second.tracker.rowsChanged(first.told);
    BOOST_REQUIRE(second.tracker.find(service));
    BOOST_TEST(second.tracker.find(service)->base == v1);
}

// Guards against an upstream of the base version that is back, which starts its absence anew.
BOOST_AUTO_TEST_CASE(AReturnOfTheBaseEndsItsAbsence)
{
    first.readTable(0);
    scheduler.advance(50ms);
    for (int rollbacks = 0; rollbacks < 3; ++rollbacks) {
        first.upstreams = { { v2, 3 } };
        first.tracker.refresh();
        scheduler.advance(25s);
        first.upstreams = { { v1, 3 } };
        first.tracker.refresh();
        scheduler.advance(10s);
    }
    BOOST_TEST(first.tracker.find(service)->base == v1);
}

// Guards against a service without a base, or with an earlier one, after the store has come back from a copy.
BOOST_AUTO_TEST_CASE(ARowThatTheStoreHasLostIsWrittenAgain)
{
    first.readTable(0);
    scheduler.advance(1s);
    BOOST_TEST(store.find(ServiceVersionTracker::rowKey(service)).has_value());
    store.restore(1s);
    BOOST_TEST(!store.find(ServiceVersionTracker::rowKey(service)).has_value());
    first.readTable(0);
    scheduler.advance(1s);
    BOOST_TEST(store.find(ServiceVersionTracker::rowKey(service)).has_value());
    BOOST_TEST(first.tracker.find(service)->base == v1);
}

// Guards against a host that is stopped by a row that it can't read.
BOOST_AUTO_TEST_CASE(RowsThatCannotBeReadAreSkipped)
{
    const RowKey key = ServiceVersionTracker::rowKey(service);
    for (const char* value : { "", "\xff", "{}", R"({"base":1,"others":[],"revision":1})", "[]" }) {
        first.tracker.tableRead({ { key, value, RowVersion(9), false } });
        BOOST_TEST(!first.tracker.find(service));
    }
    first.tracker.tableRead({ { key, "", RowVersion(9), true } });
    BOOST_TEST(!first.tracker.find(service));
}

BOOST_AUTO_TEST_SUITE_END()
