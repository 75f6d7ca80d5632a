#include "coordination/head_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(HeadTrackerTest)

// Guards against a head age computed from an observation of a revision that this daemon has not applied.
BOOST_AUTO_TEST_CASE(AgeCountsOnlyForTheRevisionInForce)
{
    const auto at = [](int64_t seconds) { return MonotonicTime(std::chrono::seconds(seconds)); };
    HeadTracker tracker;
    tracker.recordHeadAsOf(Revision(0), at(1));
    BOOST_TEST((tracker.appliedAsOf() == at(1)));
    tracker.recordRevision(Revision(2), ContentHash("b"));
    tracker.recordHeadAsOf(Revision(2), at(5));
    BOOST_TEST(tracker.isBehind());
    BOOST_TEST((tracker.appliedAsOf() == at(1)));
    tracker.apply(Revision(2), ContentHash("b"));
    BOOST_TEST((tracker.appliedAsOf() == at(5)));
    tracker.apply(Revision(1), ContentHash("a"));
    BOOST_TEST(tracker.appliedRevision() == Revision(2));
    // A late observation of a lower revision still implies that no higher one existed at that time.
    tracker.recordHeadAsOf(Revision(1), at(6));
    BOOST_TEST((tracker.appliedAsOf() == at(6)));
}

BOOST_AUTO_TEST_SUITE_END()
