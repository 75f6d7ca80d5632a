#include "gateway/adapter_popularity.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(AdapterPopularityTest)

// Guards against preferring formerly popular adapters to those requested now.
BOOST_AUTO_TEST_CASE(OldRequestsDecay)
{
    const AdapterRef former { ModelId("base"), AdapterId("former") };
    const AdapterRef present { ModelId("base"), AdapterId("present") };
    AdapterPopularity popularity;
    MonotonicTime now(100s);
    for (int request = 0; request < 20; ++request)
        popularity.count(former, now);
    now += 40s;
    popularity.count(present, now);
    BOOST_TEST(popularity.decayedCount(present, now) == 1);
    BOOST_TEST(popularity.decayedCount(former, now) < 1);
    BOOST_TEST(popularity.decayedCount({ ModelId("base"), AdapterId("other") }, now) == 0);
}

// Guards against memory that grows with every adapter ever requested.
BOOST_AUTO_TEST_CASE(ErasesOldCounts)
{
    AdapterPopularity popularity;
    MonotonicTime now(100s);
    for (int index = 0; index < 5000; ++index) {
        popularity.count({ ModelId("base"), AdapterId(std::to_string(index)) }, now);
        now += 100ms;
    }
    BOOST_TEST(popularity.byModel().at(ModelId("base")) < 4200);
}

BOOST_AUTO_TEST_SUITE_END()
