#include "gateway/cached_adapters.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;

namespace {

AdapterRef adapter(int number)
{
    return { ModelId("m"), AdapterId("a" + std::to_string(number)) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(CachedAdaptersTest)

// Guards against counting copies that the engine has evicted in favour of later ones.
BOOST_AUTO_TEST_CASE(EvictsTheOldestCopies)
{
    CachedAdapters copies;
    for (int number = 0; number < 100; ++number)
        copies.unloaded(adapter(number));
    BOOST_TEST(copies.has(adapter(99)));
    BOOST_TEST(copies.has(adapter(70)));
    BOOST_TEST(!copies.has(adapter(60)));
    copies.unloaded(adapter(70));
    for (int number = 100; number < 115; ++number)
        copies.unloaded(adapter(number));
    BOOST_TEST(copies.has(adapter(70)));
}

// Guards against counting an abandoned load as a cached copy.
BOOST_AUTO_TEST_CASE(OnlyLoadedAdaptersLeaveACopy)
{
    CachedAdapters copies;
    copies.observe(
        { { adapter(1), false }, { adapter(2), true }, { adapter(3), false } }, { { adapter(3), false } });
    BOOST_TEST(copies.has(adapter(1)));
    BOOST_TEST(!copies.has(adapter(2)));
    BOOST_TEST(!copies.has(adapter(3)));
}

BOOST_AUTO_TEST_SUITE_END()
