#include "transport/carried_ids.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(CarriedIdsTest)

BOOST_AUTO_TEST_CASE(KnowsEachIdThatWasCarried)
{
    CarriedIds ids;
    ids.add({ "r-1" });
    ids.add({});
    ids.add({ "r-2", "r-3" });
    BOOST_TEST(ids.containsAny({ "r-1" }));
    BOOST_TEST(ids.containsAny({ "r-9", "r-3" }));
    BOOST_TEST(!ids.containsAny({ "r-4" }));
    BOOST_TEST(!ids.containsAny({}));
}

// Guards against a connection that takes more memory with each request that it carries.
BOOST_AUTO_TEST_CASE(IsFullAfterManyIds)
{
    CarriedIds ids;
    size_t count = 0;
    for (; !ids.isFull() && count < 100000; ++count)
        ids.add({ "r-" + std::to_string(count) });
    BOOST_TEST(count == 1024);
}

BOOST_AUTO_TEST_SUITE_END()
