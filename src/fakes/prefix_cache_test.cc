#include "fakes/prefix_cache.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

namespace {

using Blocks = std::vector<uint64_t>;

Blocks store(PrefixCache& cache, const Blocks& blocks)
{
    Blocks stored;
    Blocks evicted;
    cache.store(blocks, stored, evicted);
    return evicted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixCacheTest)

// Guards against a prefix that is shared between adapters, whose cached state differs.
BOOST_AUTO_TEST_CASE(BlocksBelongToOneAdapterAndVersion)
{
    PrefixCache cache(1024);
    const std::string text(200, 'x');
    store(cache, PrefixCache::blocksOf("a@1", text));
    BOOST_TEST(cache.use(PrefixCache::blocksOf("a@1", text + "more")) == 48);
    BOOST_TEST(cache.use(PrefixCache::blocksOf("a@2", text)) == 0);
    BOOST_TEST(cache.use(PrefixCache::blocksOf("a@1", "y" + text)) == 0);
}

// Guards against a cache that grows without bound or evicts what is in use.
BOOST_AUTO_TEST_CASE(LeastRecentlyUsedBlocksAreEvicted)
{
    PrefixCache cache(3 * PrefixCache::blockTokens);
    store(cache, { 1, 2, 3 });
    BOOST_TEST(cache.use({ 1 }) == 16);
    BOOST_TEST(store(cache, { 4 }) == Blocks { 2 }, boost::test_tools::per_element());
    BOOST_TEST(store(cache, { 5, 6, 7, 8 }).size() == 3u);
    BOOST_TEST(cache.use({ 5, 6, 7, 8 }) == 48);
    BOOST_TEST(cache.cachedTokens() == 48);
}

BOOST_AUTO_TEST_SUITE_END()
