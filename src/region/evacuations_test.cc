#include "region/evacuations.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::region;
using namespace std::chrono_literals;

namespace {

const DataCentreId centre("z-1");

RowVersion version(int64_t era, int64_t number)
{
    return RowVersion(StoreEra(era), number);
}

StoredRow row(RowVersion version, bool isDeleted = false)
{
    return { { "", "z-1" }, "", version, isDeleted };
}

/// Lets the store answer once a second.
void answerFor(
    Evacuations& evacuations, std::chrono::seconds from, std::chrono::seconds to, RowVersion version)
{
    for (auto second = from; second <= to; ++second)
        evacuations.storeReadable(MonotonicTime() + second, version);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationsTest)

// Guards against an evacuation that an older row of a peer reinstates, and one that an older removal ends.
BOOST_AUTO_TEST_CASE(ALaterVersionWins)
{
    Evacuations evacuations;
    evacuations.apply(centre, row(version(0, 5)));
    BOOST_TEST(evacuations.isEvacuated(centre));
    evacuations.applyFromPeer(centre, row(version(0, 4), true), RowVersion());
    BOOST_TEST(evacuations.isEvacuated(centre));
    evacuations.apply(centre, row(version(0, 7), true));
    evacuations.applyFromPeer(centre, row(version(0, 5)), version(0, 7));
    BOOST_TEST(!evacuations.isEvacuated(centre));
    BOOST_TEST(evacuations.newestVersion() == version(0, 7));
}

// Guards against a restored data centre that gets no requests because the removal was missed, and against an
// evacuation that ends because this host has read an older table than its peer.
BOOST_AUTO_TEST_CASE(ARowThatIsMissingInTheSameEraHasBeenRemoved)
{
    Evacuations evacuations;
    evacuations.apply(centre, row(version(1, 5)));
    BOOST_TEST(evacuations.tableRead({}, version(1, 4)).empty());
    BOOST_TEST(evacuations.isEvacuated(centre));
    BOOST_TEST(evacuations.tableRead({}, version(1, 9)).size() == 1);
    BOOST_TEST(!evacuations.isEvacuated(centre));
    BOOST_REQUIRE(evacuations.rowsAfter(version(1, 5), StoreEra(1)).size() == 1);
    BOOST_TEST(evacuations.rowsAfter(version(1, 5), StoreEra(1)).front().isDeleted);
}

// Guards against a restarted host that takes a removed evacuation over from a host that was cut off.
BOOST_AUTO_TEST_CASE(ARowThatTheStoreNoLongerHasIsNotTakenFromAPeer)
{
    Evacuations evacuations;
    evacuations.applyFromPeer(centre, row(version(1, 5)), version(1, 9));
    BOOST_TEST(!evacuations.isEvacuated(centre));
    BOOST_TEST(evacuations.newestVersion() == version(1, 9));
}

// Guards against an evacuation that ends early because the copy of the store lacks it, and against one that
// never ends. Time in which the store is unreadable does not count.
BOOST_AUTO_TEST_CASE(ARowThatACopyLacksStaysInForceForSomeReadableTime)
{
    Evacuations evacuations;
    evacuations.apply(centre, row(version(1, 50)));
    evacuations.tableRead({}, version(2, 9));
    answerFor(evacuations, 0s, 20s, version(2, 9));
    evacuations.storeUnreadable();
    answerFor(evacuations, 100s, 109s, version(2, 9));
    BOOST_TEST(evacuations.isEvacuated(centre));
    answerFor(evacuations, 110s, 110s, version(2, 12));
    BOOST_TEST(!evacuations.isEvacuated(centre));
    BOOST_TEST(evacuations.newestVersion() == version(2, 12));
}

// Guards against an evacuation that ends although the operator has written it again after the loss.
BOOST_AUTO_TEST_CASE(ARowThatIsWrittenAgainIsNoLongerMissing)
{
    Evacuations evacuations;
    evacuations.apply(centre, row(version(1, 50)));
    evacuations.tableRead({}, version(2, 9));
    BOOST_TEST(evacuations.missingRows().size() == 1);
    evacuations.apply(centre, row(version(2, 10)));
    answerFor(evacuations, 0s, 60s, version(2, 10));
    BOOST_TEST(evacuations.isEvacuated(centre));
    BOOST_TEST(evacuations.missingRows().empty());
}

// Guards against memory that grows with the keys of the operators' table.
BOOST_AUTO_TEST_CASE(TombstonesAreBounded)
{
    Evacuations evacuations;
    evacuations.apply(centre, row(version(0, 1)));
    for (size_t i = 0; i < 2 * Evacuations::maximumRecords; ++i)
        evacuations.apply(
            DataCentreId("old-" + std::to_string(i)), row(version(0, static_cast<int64_t>(i) + 2), true));
    BOOST_TEST(evacuations.rowsAfter(RowVersion(), StoreEra()).size() == Evacuations::maximumRecords);
    BOOST_TEST(evacuations.isEvacuated(centre));
}

BOOST_AUTO_TEST_SUITE_END()
