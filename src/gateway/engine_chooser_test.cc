#include "gateway/engine_chooser.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const AdapterRef adapter { ModelId("base"), AdapterId("a1") };

std::vector<EngineCandidate> engines(int count)
{
    std::vector<EngineCandidate> candidates;
    for (int index = 0; index < count; ++index) {
        EngineCandidate candidate;
        candidate.engine = UpstreamId("engine-" + std::to_string(index));
        candidate.hasOwner = true;
        candidate.openSlots = 3;
        candidates.push_back(candidate);
    }
    return candidates;
}

std::vector<UpstreamId> rank(const AdapterRef& ref, const std::vector<EngineCandidate>& candidates)
{
    Random random(1);
    return EngineChooser::rank(ref, candidates, random);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineChooserTest)

// Guards against further replicas of an adapter that is loaded and has capacity.
BOOST_AUTO_TEST_CASE(PrefersAnEngineThatHoldsTheAdapter)
{
    auto candidates = engines(12);
    candidates[7].holdsAdapter = true;
    candidates[7].prefillBacklog = 100ms;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[7].engine);
}

// Load: the requests for one adapter exceed the prefill rate of an engine. Guards against a queue beside idle
// engines.
BOOST_AUTO_TEST_CASE(SpreadsAnAdapterWhoseEnginesAreBusy)
{
    auto candidates = engines(12);
    candidates[7].holdsAdapter = true;
    candidates[7].prefillBacklog = 900ms;
    BOOST_TEST(rank(adapter, candidates).front() != candidates[7].engine);
}

// Load: a rarely requested adapter is requested again after it was unloaded. Guards against fetching it from
// the weight store while an engine with an open slot keeps a cached copy.
BOOST_AUTO_TEST_CASE(PrefersAnEngineWithACopy)
{
    auto candidates = engines(12);
    const UpstreamId home = rank(adapter, candidates).front();
    const size_t other = home == candidates[7].engine ? 6 : 7;
    candidates[other].hasCopy = true;
    candidates[other].prefillBacklog = 100ms;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[other].engine);
    candidates[other].openSlots = 0;
    BOOST_TEST(rank(adapter, candidates).front() == home);
}

// Guards against a home that changes whenever another engine joins or leaves.
BOOST_AUTO_TEST_CASE(KeepsTheHomeWhenAnotherEngineLeaves)
{
    const auto all = engines(12);
    const UpstreamId home = rank(adapter, all).front();
    for (const EngineCandidate& leaving : all) {
        if (leaving.engine == home)
            continue;
        std::vector<EngineCandidate> rest;
        for (const EngineCandidate& candidate : all) {
            if (candidate.engine != leaving.engine)
                rest.push_back(candidate);
        }
        BOOST_TEST(rank(adapter, rest).front() == home);
    }
}

// Guards against homes that concentrate on few engines.
BOOST_AUTO_TEST_CASE(SpreadsTheHomesOfAdapters)
{
    const auto candidates = engines(12);
    std::map<UpstreamId, int> homes;
    for (int index = 0; index < 1200; ++index) {
        const AdapterRef each { ModelId("base"), AdapterId("a" + std::to_string(index)) };
        ++homes[rank(each, candidates).front()];
    }
    BOOST_TEST(homes.size() == 12);
    for (const auto& [engine, count] : homes)
        BOOST_TEST(count > 50);
}

// Guards against waiting for a load on an engine without an owner.
BOOST_AUTO_TEST_CASE(NeedsTheAdapterWhereThereIsNoOwner)
{
    auto candidates = engines(2);
    candidates[0].hasOwner = false;
    candidates[1].hasOwner = false;
    candidates[1].holdsAdapter = true;
    const auto ranked = rank(adapter, candidates);
    BOOST_REQUIRE(ranked.size() == 1);
    BOOST_TEST(ranked[0] == candidates[1].engine);
}

// Load: many hosts with requests for one popular adapter see the same state of its engines until the next
// update. Guards against sending all of them to the engine that was least loaded at that time.
BOOST_AUTO_TEST_CASE(SpreadsRequestsBetweenTwoUpdates)
{
    auto candidates = engines(6);
    for (size_t index = 0; index < candidates.size(); ++index) {
        candidates[index].holdsAdapter = true;
        candidates[index].prefillBacklog = 20ms * static_cast<int>(index);
        candidates[index].updateInterval = 600ms;
    }
    Random random(7);
    std::map<UpstreamId, int> sent;
    for (int request = 0; request < 600; ++request)
        ++sent[EngineChooser::rank(adapter, candidates, random).front()];
    BOOST_TEST(sent.size() == 6);
    for (const auto& [engine, count] : sent)
        BOOST_TEST(count < 200);
    candidates[0].prefillBacklog = 700ms;
    for (int request = 0; request < 100; ++request)
        BOOST_TEST(EngineChooser::rank(adapter, candidates, random).front() != candidates[0].engine);
}

// Load: an engine that holds the adapter takes one request a second. Guards against requests that queue for
// it while other engines are free.
BOOST_AUTO_TEST_CASE(AnEngineAtItsLimitComesAfterTheOthers)
{
    auto candidates = engines(3);
    candidates[1].holdsAdapter = true;
    candidates[1].startInterval = 1s;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[1].engine);
    candidates[1].limitWait = 1s;
    BOOST_TEST(rank(adapter, candidates).back() == candidates[1].engine);
    candidates[1] = engines(3)[1];
    candidates[1].startInterval = 1s;
    BOOST_TEST(rank(adapter, candidates).back() == candidates[1].engine);
}

// Load: engines of one service that differ for good. Guards against a long prompt at a slow engine beside a
// fast one with a little more backlog, and against a change of choices where no engine states a slowdown.
BOOST_AUTO_TEST_CASE(CountsTheOwnPromptWhereSlowdownsAreStated)
{
    auto candidates = engines(2);
    const double rates[] = { 18, 44 };
    for (size_t index = 0; index < 2; ++index) {
        EngineSummary summary;
        summary.promptTokensPerMillisecond = rates[index];
        candidates[index].holdsAdapter = true;
        candidates[index].setPromptTime(Tokens(6000), summary, 0ms);
    }
    candidates[1].prefillBacklog = 100ms;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[0].engine);
    candidates[1].statesSlowdown = true;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[1].engine);
}

// Load: an engine with the adapter is slowed for 600 ms. Guards against a fetch of the adapter elsewhere for
// a usual prompt, and against an old figure that counts like a new one.
BOOST_AUTO_TEST_CASE(AStretchIsNoReasonToFetch)
{
    auto candidates = engines(12);
    EngineSummary slowed;
    slowed.promptTokensPerMillisecond = 25;
    slowed.statesSlowdown = true;
    slowed.slowdown = 2.5;
    EngineSummary usual = slowed;
    usual.slowdown = 1;
    for (EngineCandidate& candidate : candidates) {
        candidate.setPromptTime(Tokens(2400), usual, 0ms);
        candidate.statesSlowdown = true;
    }
    candidates[7].holdsAdapter = true;
    candidates[7].setPromptTime(Tokens(2400), slowed, 0ms);
    BOOST_TEST(rank(adapter, candidates).front() == candidates[7].engine);
    candidates[3].holdsAdapter = true;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[3].engine);
    candidates[3].prefillBacklog = 50ms;
    candidates[7].setPromptTime(Tokens(2400), slowed, 2s);
    BOOST_TEST(rank(adapter, candidates).front() == candidates[7].engine);
}

// Load: all engines are slowed at once. Guards against a request that no engine is left for.
BOOST_AUTO_TEST_CASE(RanksAllEnginesWhileAllAreSlow)
{
    auto candidates = engines(12);
    const auto before = rank(adapter, candidates);
    EngineSummary slowed;
    slowed.promptTokensPerMillisecond = 5;
    slowed.slowdown = 5;
    for (EngineCandidate& candidate : candidates) {
        candidate.statesSlowdown = true;
        candidate.setPromptTime(Tokens(2400), slowed, 0ms);
    }
    BOOST_TEST((rank(adapter, candidates) == before));
}

// Load: two replicas of a popular adapter. Guards against a saving that outweighs a longer wait, and against
// one that makes an engine eligible.
BOOST_AUTO_TEST_CASE(AKeptPromptIsWeighedAgainstTheWait)
{
    auto candidates = engines(2);
    candidates[0].holdsAdapter = true;
    candidates[1].holdsAdapter = true;
    candidates[0].prefillBacklog = 20ms;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[1].engine);
    candidates[0].prefixSaving = 28ms;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[0].engine);
    candidates[0].prefillBacklog = 40ms;
    BOOST_TEST(rank(adapter, candidates).front() == candidates[1].engine);
    candidates[0].hasOwner = false;
    candidates[0].holdsAdapter = false;
    candidates[0].prefixSaving = 10s;
    BOOST_TEST(rank(adapter, candidates).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
