#include "gateway/prefix_cache_model.h"
#include "gateway/prefix_savings.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <set>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const AdapterRef adapter { ModelId("base"), AdapterId("popular") };
constexpr double tokensPerMillisecond = 20;
constexpr Tokens memorySize { 120'000 };
constexpr Tokens promptSize { 2368 };
constexpr int requests = 1500;
constexpr double requestsPerSecond = 20;

/// Replays requests for one adapter with four replicas, which read prompts one after the other.
class Replay {
public:
    Replay(bool usesAffinity, uint64_t seed)
        : m_usesAffinity(usesAffinity)
        , m_random(seed)
        , m_ties(seed)
    {
        for (size_t index = 0; index < std::size(m_engines); ++index) {
            m_engines[index].candidate.engine = UpstreamId("engine-" + std::to_string(index));
            m_engines[index].candidate.hasOwner = true;
            m_engines[index].candidate.holdsAdapter = true;
            m_engines[index].candidate.promptTokensPerMillisecond = tokensPerMillisecond;
            m_engines[index].memory.setCapacity(memorySize);
        }
        for (int request = 0; request < requests; ++request) {
            const double pause = -std::log(1 - m_random.uniform()) / requestsPerSecond;
            m_now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause));
            const uint64_t first = 1 + m_random.below(3);
            const uint64_t second = 10 + m_random.below(40);
            serve({ { first, Tokens(341) }, { second, Tokens(227) }, { m_random.next(), Tokens(1800) } });
        }
    }

    int64_t tokensRead = 0;
    Duration totalWait {};
    int late = 0;

private:
    struct Engine {
        EngineCandidate candidate;
        PrefixCacheModel memory;
        MonotonicTime freeAt;
    };

    void serve(const std::vector<PromptPart>& parts)
    {
        std::vector<EngineCandidate> candidates;
        PrefixSavings savings(adapter, parts, promptSize, 800ms);
        for (Engine& engine : m_engines) {
            engine.candidate.prefillBacklog = std::max<Duration>(engine.freeAt - m_now, 0ms);
            candidates.push_back(engine.candidate);
            const auto shared = engine.memory.sharedPrefixes(memorySize, 64);
            savings.add(engine.candidate, { 0, affinity::PrefixDigest(shared) }, 0ms);
        }
        if (m_usesAffinity)
            savings.apply(candidates);
        const UpstreamId chosen = EngineChooser::rank(adapter, candidates, m_ties).front();
        for (Engine& engine : m_engines) {
            if (engine.candidate.engine == chosen)
                read(engine, parts);
        }
    }

    void read(Engine& engine, const std::vector<PromptPart>& parts)
    {
        const Tokens uncached = promptSize - engine.memory.cachedTokens(adapter, parts);
        engine.memory.promptProcessed(adapter, parts);
        engine.freeAt = std::max(engine.freeAt, m_now)
            + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
                static_cast<double>(uncached.value()) / tokensPerMillisecond));
        tokensRead += uncached.value();
        totalWait += engine.freeAt - m_now;
        late += engine.freeAt - m_now > 800ms ? 1 : 0;
    }

    bool m_usesAffinity;
    Random m_random;
    Random m_ties;
    MonotonicTime m_now { 100s };
    Engine m_engines[4];
};

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixReplayTest)

// Load: a popular adapter with four replicas at about half of their rate, prompts of 2,368 tokens with 568
// shared ones of 3 x 40 variants, memory for the prompts of 10 s. Guards against reading prefixes again that
// another replica keeps, and against starting later for their sake.
BOOST_AUTO_TEST_CASE(ReadsFewerTokensAgainAtNoLaterStart)
{
    for (const uint64_t seed : { 1, 2, 3, 4, 5 }) {
        const Replay without(false, seed);
        const Replay with(true, seed);
        BOOST_TEST(with.tokensRead < without.tokensRead, "seed " << seed);
        BOOST_TEST((with.totalWait <= without.totalWait), "seed " << seed);
        BOOST_TEST(with.late <= without.late, "seed " << seed);
        BOOST_TEST_MESSAGE("seed " << seed << ": tokens read " << without.tokensRead << ", "
                                   << with.tokensRead << "; mean first event "
                                   << toSeconds(without.totalWait) * 1000 / requests << " ms, "
                                   << toSeconds(with.totalWait) * 1000 / requests << " ms");
    }
}

BOOST_AUTO_TEST_SUITE_END()
