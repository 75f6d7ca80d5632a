#include "state/store_era_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(StoreEraTrackerTest)

// Guards against reading an era out of a damaged field.
BOOST_AUTO_TEST_CASE(OnlyAPositiveNumberIsAnEra)
{
    BOOST_TEST(StoreEraTracker::parse("7").value() == StoreEra(7));
    for (const char* text : { "", "0", "-1", "x", "1x", "1.5", " 1", "99999999999999999999999" })
        BOOST_TEST(!StoreEraTracker::parse(text).has_value());
    BOOST_TEST(!StoreEraTracker::parse(std::nullopt).has_value());
}

// Guards against rows of an earlier era that arrive late, or without an era, and are taken for current ones.
BOOST_AUTO_TEST_CASE(AnswersOfAnEarlierOrUnknownEraDoNotCount)
{
    StoreEraTracker tracker;
    BOOST_TEST(tracker.accept(std::nullopt));
    BOOST_TEST(tracker.accept(StoreEra(4)));
    BOOST_TEST(tracker.accept(StoreEra(5)));
    BOOST_TEST(!tracker.accept(StoreEra(4)));
    BOOST_TEST(!tracker.accept(std::nullopt));
    BOOST_TEST(tracker.accept(StoreEra(5)));
    BOOST_TEST(tracker.current() == StoreEra(5));
}

// Guards against one damaged answer after which all others look old, and against a host that missed a loss
// and never follows the store again.
BOOST_AUTO_TEST_CASE(AnEraThatSkipsOthersNeedsASecondAnswer)
{
    StoreEraTracker tracker;
    tracker.accept(StoreEra(2));
    BOOST_TEST(!tracker.accept(StoreEra(999)));
    BOOST_TEST(tracker.accept(StoreEra(2)));
    BOOST_TEST(!tracker.accept(StoreEra(5)));
    BOOST_TEST(tracker.accept(StoreEra(5)));
    BOOST_TEST(tracker.current() == StoreEra(5));
}

BOOST_AUTO_TEST_SUITE_END()
