#include "coordination/head_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(HeadTrackerTest)

// Guards against a head age computed from an observation of a revision that this daemon has not applied.
BOOST_AUTO_TEST_CASE(AgeCountsOnlyForTheRevisionInForce)
{
    const auto at = [](int64_t seconds) { return MonotonicTime(std::chrono::seconds(seconds)); };
    HeadTracker knowledge;
    knowledge.recordHeadAsOf(Revision(0), at(1));
    BOOST_TEST((knowledge.appliedAsOf() == at(1)));
    knowledge.recordRevision(Revision(2), ContentHash("b"));
    knowledge.recordHeadAsOf(Revision(2), at(5));
    BOOST_TEST(knowledge.isBehind());
    BOOST_TEST((knowledge.appliedAsOf() == at(1)));
    knowledge.apply(Revision(2), ContentHash("b"));
    BOOST_TEST((knowledge.appliedAsOf() == at(5)));
    knowledge.apply(Revision(1), ContentHash("a"));
    BOOST_TEST(knowledge.appliedRevision() == Revision(2));
    // A late observation of a lower revision still implies that no higher one existed at that time.
    knowledge.recordHeadAsOf(Revision(1), at(6));
    BOOST_TEST((knowledge.appliedAsOf() == at(6)));
}

BOOST_AUTO_TEST_SUITE_END()
