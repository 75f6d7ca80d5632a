#include "table_sync/change_log.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::table_sync;

namespace {

StoredRow row(const char* key, int64_t version, bool isDeleted = false)
{
    return { { "servers", key }, "value", RowVersion(version), isDeleted };
}

/// A host that has read a table of two rows at version 10, and the changes up to version 20.
struct Fixture {
    Fixture()
    {
        log.record(row("a", 4), RowVersion(10));
        log.record(row("b", 8), RowVersion(10));
        log.advance(RowVersion(10));
        log.record(row("b", 15), RowVersion(20));
        log.advance(RowVersion(20));
    }

    ChangeLog log;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ChangeLogTest)

// Guards against a host that lacks a change and doesn't notice, because it knows a later one.
BOOST_AUTO_TEST_CASE(ASpanThatBeginsLaterIsNotCovered)
{
    Fixture fixture;
    BOOST_TEST(!fixture.log.confirm({ RowVersion(21), RowVersion(30) }));
    BOOST_TEST(!fixture.log.covers({ RowVersion(21), RowVersion(30) }));
    BOOST_TEST((fixture.log.upTo() == RowVersion(20)));
    BOOST_TEST(fixture.log.confirm({ RowVersion(20), RowVersion(30) }));
    BOOST_TEST((fixture.log.upTo() == RowVersion(30)));
}

// Guards against all hosts asking a host that has just started: it takes all rows of its first read for new.
BOOST_AUTO_TEST_CASE(AHostThatHasJustReadTheTableTakesOverWhenItChangedLast)
{
    Fixture fixture;
    BOOST_TEST((fixture.log.lastChange() == RowVersion(15)));
    BOOST_TEST(fixture.log.confirm({ RowVersion(2), RowVersion(14) }));
    BOOST_TEST((fixture.log.lastChange() == RowVersion(15)));
    BOOST_TEST(fixture.log.confirm({ RowVersion(2), RowVersion(18) }));
    BOOST_TEST((fixture.log.lastChange() == RowVersion(2)));
    BOOST_TEST((fixture.log.upTo() == RowVersion(20)));
}

// Guards against removals that a peer never hears of, since the asked host has started after them.
BOOST_AUTO_TEST_CASE(APeerThatLacksMoreThanIsRecordedGetsTheWholeTable)
{
    Fixture fixture;
    fixture.log.record(row("a", 25, true), RowVersion(25));
    fixture.log.advance(RowVersion(25));
    const ChangeSet some = fixture.log.changesAfter(RowVersion(10));
    BOOST_TEST(!some.isWholeTable);
    BOOST_TEST(some.rows.size() == 2u);
    BOOST_TEST((some.span.after == RowVersion(10)));
    BOOST_TEST((some.span.upTo == RowVersion(25)));
    const ChangeSet all = fixture.log.changesAfter(RowVersion(9));
    BOOST_TEST(all.isWholeTable);
    BOOST_TEST(all.rows.size() == 1u);
    BOOST_TEST(!all.span.after.exists());
}

// Guards against a change that peers don't hear of, since they have been told that there was none up to the
// version of its row.
BOOST_AUTO_TEST_CASE(AChangeThatTakesEffectLateCountsAtTheVersionOfItsRead)
{
    Fixture fixture;
    fixture.log.record(row("a", 12, true), RowVersion(22));
    BOOST_TEST((fixture.log.lastChange() == RowVersion(22)));
    BOOST_TEST(fixture.log.changesAfter(RowVersion(20)).rows.size() == 1u);
}

// Guards against sending rows that were only renewed, and against sending old content of a changed row.
BOOST_AUTO_TEST_CASE(RenewedRowsAreNoChanges)
{
    Fixture fixture;
    fixture.log.renew(row("a", 18));
    fixture.log.renew(row("b", 19));
    const ChangeSet changes = fixture.log.changesAfter(RowVersion(10));
    BOOST_REQUIRE(changes.rows.size() == 1u);
    BOOST_TEST((changes.rows.front().version == RowVersion(19)));
    BOOST_TEST((fixture.log.lastChange() == RowVersion(15)));
}

// Guards against a host that takes a peer's statement for knowledge of a table that it has never read.
BOOST_AUTO_TEST_CASE(AnUnreadTableIsNotConfirmed)
{
    ChangeLog log;
    BOOST_TEST(!log.confirm({ RowVersion(), RowVersion(5) }));
    BOOST_TEST(!log.upTo().exists());
}

BOOST_AUTO_TEST_SUITE_END()
