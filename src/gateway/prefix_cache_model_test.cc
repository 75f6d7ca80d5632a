#include "gateway/prefix_cache_model.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;

namespace {

const AdapterRef adapter { ModelId("base"), AdapterId("a1") };
const AdapterRef other { ModelId("base"), AdapterId("a2") };
const std::vector<PromptPart> prompt { { 1, Tokens(100) }, { 2, Tokens(50) }, { 3, Tokens(10) } };

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixCacheModelTest)

// Guards against cache hits for another adapter, or without the parts before.
BOOST_AUTO_TEST_CASE(PartsAreCachedWithAllPartsBeforeThem)
{
    PrefixCacheModel memory;
    memory.setCapacity(Tokens(1000));
    BOOST_TEST((memory.cachedTokens(adapter, prompt) == Tokens(0)));
    memory.promptProcessed(adapter, prompt);
    BOOST_TEST((memory.cachedTokens(adapter, prompt) == Tokens(160)));
    BOOST_TEST((memory.cachedTokens(other, prompt) == Tokens(0)));
    BOOST_TEST((memory.cachedTokens(adapter, { { 1, Tokens(100) }, { 9, Tokens(50) } }) == Tokens(100)));
    BOOST_TEST((memory.cachedTokens(adapter, { { 2, Tokens(50) } }) == Tokens(0)));
}

// Guards against unbounded memory, and against evicting a shared prefix before the parts that follow it.
BOOST_AUTO_TEST_CASE(EvictsTheLeastRecentlyUsedParts)
{
    PrefixCacheModel memory;
    memory.setCapacity(Tokens(200));
    memory.promptProcessed(adapter, prompt);
    memory.promptProcessed(adapter, { { 1, Tokens(100) }, { 4, Tokens(80) } });
    BOOST_TEST((memory.used() <= Tokens(200)));
    BOOST_TEST((memory.cachedTokens(adapter, prompt) == Tokens(100)));
    for (uint64_t part = 10; part < 100000; ++part)
        memory.promptProcessed(adapter, { { part, Tokens(0) } });
    BOOST_TEST((memory.used() <= Tokens(200)));
}

// Guards against cache hits after the engine has unloaded the adapter.
BOOST_AUTO_TEST_CASE(ForgetsThePartsOfAnUnloadedAdapter)
{
    PrefixCacheModel memory;
    memory.setCapacity(Tokens(1000));
    memory.promptProcessed(adapter, prompt);
    memory.promptProcessed(other, prompt);
    memory.forget(adapter);
    BOOST_TEST((memory.cachedTokens(adapter, prompt) == Tokens(0)));
    BOOST_TEST((memory.cachedTokens(other, prompt) == Tokens(160)));
    memory.forget(other);
    BOOST_TEST((memory.used() == Tokens(0)));
}

// Load: most parts are a single request's own. Guards against a digest full of parts that no other request
// will use, or that the memory of running requests has displaced.
BOOST_AUTO_TEST_CASE(ListsPrefixesThatMoreThanOneRequestHasUsed)
{
    PrefixCacheModel memory;
    memory.setCapacity(Tokens(1000));
    memory.promptProcessed(adapter, prompt);
    BOOST_TEST(memory.sharedPrefixes(Tokens(1000), 64).empty());
    memory.promptProcessed(adapter, { { 1, Tokens(100) }, { 2, Tokens(50) }, { 4, Tokens(10) } });
    affinity::PromptPrefixes expected(adapter.model, adapter.adapter);
    expected.append(1, Tokens(100));
    expected.append(2, Tokens(50));
    const auto shared = memory.sharedPrefixes(Tokens(1000), 64);
    BOOST_REQUIRE(shared.size() == 2);
    BOOST_TEST((shared[0] == expected.all()[0].fingerprint));
    BOOST_TEST((shared[1] == expected.all()[1].fingerprint));
    BOOST_TEST(memory.sharedPrefixes(Tokens(1000), 1).size() == 1);
    BOOST_TEST(memory.sharedPrefixes(Tokens(120), 64).size() == 1);
    BOOST_TEST(memory.sharedPrefixes(Tokens(0), 64).empty());
    memory.forget(adapter);
    BOOST_TEST(memory.sharedPrefixes(Tokens(1000), 64).empty());
}

BOOST_AUTO_TEST_SUITE_END()
