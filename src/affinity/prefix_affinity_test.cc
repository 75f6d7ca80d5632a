#include "affinity/prefix_affinity.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::affinity;
using namespace std::chrono_literals;

namespace {

const ModelId model("base");
constexpr Tokens promptTokens { 2368 };

/// The typical prompt: two shared parts and the request's own.
PromptPrefixes promptOf(uint64_t second = 2, const AdapterId& adapter = AdapterId("a1"))
{
    PromptPrefixes prefixes(model, adapter);
    prefixes.append(1, Tokens(341));
    prefixes.append(second, Tokens(227));
    prefixes.append(1000 + second, Tokens(1800));
    return prefixes;
}

PrefixAffinity::Engine engineKeeping(size_t parts, const PromptPrefixes& prompt = promptOf())
{
    std::vector<PrefixFingerprint> kept;
    for (size_t index = 0; index < parts; ++index)
        kept.push_back(prompt.all()[index].fingerprint);
    PrefixAffinity::Engine engine;
    engine.digest = PrefixDigest(kept);
    engine.tokensPerMillisecond = 20;
    return engine;
}

struct Fixture {
    Duration netSaving(const PrefixAffinity::Engine& engine)
    {
        affinity.observe(engine);
        return affinity.netSaving(engine);
    }

    PrefixAffinity affinity { { promptOf(), promptTokens, 800ms } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PrefixAffinityTest, Fixture)

// Load: several replicas of a popular adapter. Guards against a choice that ignores who keeps the prefix, and
// against counting more than the kept tokens.
BOOST_AUTO_TEST_CASE(AKeptPrefixSavesItsReadingTime)
{
    BOOST_TEST((netSaving(engineKeeping(2)) == 28400us));
    BOOST_TEST((netSaving(engineKeeping(1)) == 17050us));
    PrefixAffinity::Engine slow = engineKeeping(2);
    slow.tokensPerMillisecond = 10;
    BOOST_TEST((netSaving(slow) == 56800us));
}

// Guards against a choice that changes for requests whose prefix no engine keeps, or another adapter's does.
BOOST_AUTO_TEST_CASE(WithoutASharedPrefixNothingChanges)
{
    PrefixAffinity::Engine full = engineKeeping(0);
    full.memoryFill = 1;
    BOOST_TEST((netSaving(full) == 0ms));
    BOOST_TEST((netSaving(engineKeeping(2, promptOf(2, AdapterId("a2")))) == 0ms));
}

// Load: an engine with long answers whose memory running requests take. Guards against choosing it for parts
// that it evicts, and against further copies that evict what it still keeps.
BOOST_AUTO_TEST_CASE(AFullMemoryIsNotChosenForWhatItKeeps)
{
    PrefixAffinity::Engine keeping = engineKeeping(2);
    const Duration whole = netSaving(keeping);
    keeping.memoryFill = 0.5;
    BOOST_TEST((netSaving(keeping) == whole / 2));
    keeping.memoryFill = 1;
    BOOST_TEST((netSaving(keeping) == 0ms));
    PrefixAffinity::Engine other = engineKeeping(0);
    BOOST_TEST((netSaving(other) == 0ms));
    other.memoryFill = 0.9;
    BOOST_TEST((netSaving(other) < 0ms));
}

// Load: the replica that keeps most prefixes has the longest queue. Guards against a start that is late for
// the sake of the saving.
BOOST_AUTO_TEST_CASE(YieldsToTimeliness)
{
    PrefixAffinity::Engine busy = engineKeeping(2);
    busy.wait = 350ms;
    BOOST_TEST((netSaving(busy) > 0ms));
    // 1.6 times the wait and the 90 ms for the rest of the prompt exceed the 800 ms that are left.
    busy.wait = 420ms;
    BOOST_TEST((netSaving(busy) == 0ms));
}

// Guards against trust in a digest whose parts have been evicted since.
BOOST_AUTO_TEST_CASE(AnOldDigestCountsLess)
{
    PrefixAffinity::Engine engine = engineKeeping(2);
    const Duration fresh = netSaving(engine);
    engine.age = 5s;
    BOOST_TEST((netSaving(engine) == fresh / 2));
    engine.age = 1h;
    BOOST_TEST((netSaving(engine) == 0ms));
}

// Guards against figures of a peer that make an engine win against every wait.
BOOST_AUTO_TEST_CASE(WrongFiguresAreBounded)
{
    PrefixAffinity::Engine engine = engineKeeping(2);
    engine.tokensPerMillisecond = 0;
    engine.memoryFill = -5;
    engine.age = -1h;
    affinity = PrefixAffinity({ promptOf(), promptTokens, 1h });
    BOOST_TEST((netSaving(engine) == 568ms));
    engine.memoryFill = 7;
    BOOST_TEST((netSaving(engine) == 0ms));
    engine = engineKeeping(2);
    engine.wait = Duration::max();
    BOOST_TEST((netSaving(engine) == 0ms));
    // A caller states parts that are longer than its prompt.
    affinity = PrefixAffinity({ promptOf(), Tokens(200), 800ms });
    BOOST_TEST((netSaving(engineKeeping(2)) == 10ms));
}

// Guards against harm from two prefixes with the same fingerprint: the engine is credited with a prefix that
// it doesn't keep, which is bounded by the reading time of that prefix.
BOOST_AUTO_TEST_CASE(ACollisionCostsOnlyTheSaving)
{
    PrefixAffinity::Engine colliding = engineKeeping(0);
    colliding.digest = PrefixDigest({ promptOf().all()[1].fingerprint });
    BOOST_TEST((netSaving(colliding) == 28400us));
}

BOOST_AUTO_TEST_SUITE_END()
