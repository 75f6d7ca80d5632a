#include "gateway/prefix_savings.h"

#include "gateway/fake_call_services_test.h"
#include "gateway/peer_states.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const AdapterRef adapter { ModelId("base"), AdapterId("a1") };
const std::vector<PromptPart> parts { { 1, Tokens(341) }, { 2, Tokens(227) }, { 3, Tokens(1800) } };

std::vector<EngineCandidate> replicas(int count)
{
    std::vector<EngineCandidate> candidates;
    for (int index = 0; index < count; ++index) {
        EngineCandidate candidate;
        candidate.engine = UpstreamId("engine-" + std::to_string(index));
        candidate.hasOwner = true;
        candidate.holdsAdapter = true;
        candidate.promptTokensPerMillisecond = 20;
        candidates.push_back(candidate);
    }
    return candidates;
}

/// What an owner states of an engine that keeps both shared parts.
affinity::PrefixStatement keeping()
{
    affinity::PromptPrefixes prefixes(adapter.model, adapter.adapter);
    prefixes.append(parts[0].id, parts[0].tokens);
    prefixes.append(parts[1].id, parts[1].tokens);
    return { 0, affinity::PrefixDigest({ prefixes.all()[0].fingerprint, prefixes.all()[1].fingerprint }) };
}

UpstreamId chosen(std::vector<EngineCandidate> candidates,
    const std::vector<affinity::PrefixStatement>& statements, Duration age = 0ms)
{
    PrefixSavings savings(adapter, parts, Tokens(2368), 800ms);
    for (size_t index = 0; index < candidates.size(); ++index)
        savings.add(candidates[index], statements[index], age);
    savings.apply(candidates);
    Random random(1);
    return EngineChooser::rank(adapter, candidates, random).front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixSavingsTest)

// Load: replicas of a popular adapter, one of which keeps the prompt's beginning. Guards against reading it
// again elsewhere, against choosing a long queue or a full memory for it, and against an old digest.
BOOST_AUTO_TEST_CASE(AReplicaIsChosenForWhatItKeepsIfItHasRoom)
{
    auto candidates = replicas(2);
    candidates[1].prefillBacklog = 15ms;
    const std::vector<affinity::PrefixStatement> statements { {}, keeping() };
    BOOST_TEST(chosen(candidates, { {}, {} }) == candidates[0].engine);
    BOOST_TEST(chosen(candidates, statements) == candidates[1].engine);
    BOOST_TEST(chosen(candidates, statements, 30s) == candidates[0].engine);
    affinity::PrefixStatement full = keeping();
    full.memoryFill = 1;
    BOOST_TEST(chosen(candidates, { {}, full }) == candidates[0].engine);
    candidates[1].prefillBacklog = 200ms;
    BOOST_TEST(chosen(candidates, statements) == candidates[0].engine);
}

// Guards against crediting an engine that has unloaded the adapter since its digest was stated.
BOOST_AUTO_TEST_CASE(OnlyEnginesThatHoldTheAdapterSave)
{
    auto candidates = replicas(2);
    candidates[1].holdsAdapter = false;
    PrefixSavings savings(adapter, parts, Tokens(2368), 800ms);
    savings.add(candidates[0], {}, 0ms);
    savings.add(candidates[1], keeping(), 0ms);
    BOOST_TEST(!savings.apply(candidates));
    BOOST_TEST((candidates[1].prefixSaving == 0ms));
}

// Guards against a choice other than before while the setting is off.
BOOST_FIXTURE_TEST_CASE(WithoutTheSettingNothingIsWeighed, FakeCallServices)
{
    auto candidates = replicas(3);
    for (EngineCandidate& candidate : candidates)
        candidate.prefixSaving = 1ms;
    BOOST_TEST(!view.addPrefixSavings(candidates, adapter, parts, Tokens(2368), 800ms));
    for (const EngineCandidate& candidate : candidates)
        BOOST_TEST((candidate.prefixSaving == 1ms));
    view.setPromptAffinity(true);
    BOOST_TEST(!view.addPrefixSavings(candidates, adapter, parts, Tokens(2368), 800ms));
    for (const EngineCandidate& candidate : candidates)
        BOOST_TEST((candidate.prefixSaving == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
