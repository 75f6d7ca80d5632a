#include "experiment/engine_selector.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <utility>

namespace lacewing::experiment {

namespace {

using gateway::AdapterRef;
using gateway::EngineCandidate;

class Current : public EngineSelector {
public:
    std::vector<UpstreamId> rank(const AdapterRef& adapter, const std::vector<EngineCandidate>& candidates,
        Random& random) const override
    {
        return gateway::EngineChooser::rank(adapter, candidates, random);
    }
};

/// Takes what the owners told last at its word.
class WithoutError : public EngineSelector {
public:
    std::vector<UpstreamId> rank(const AdapterRef& adapter, const std::vector<EngineCandidate>& candidates,
        Random& random) const override
    {
        std::vector<EngineCandidate> exact = candidates;
        for (EngineCandidate& candidate : exact)
            candidate.updateInterval = Duration::zero();
        return gateway::EngineChooser::rank(adapter, exact, random);
    }
};

class LeastLoaded : public EngineSelector {
public:
    std::vector<UpstreamId> rank(
        const AdapterRef&, const std::vector<EngineCandidate>& candidates, Random& random) const override
    {
        std::vector<std::pair<Duration, size_t>> order;
        for (size_t index = 0; index < candidates.size(); ++index) {
            const auto tie = static_cast<int64_t>(random.below(1'000'000));
            order.emplace_back(candidates[index].prefillBacklog + Duration(tie), index);
        }
        std::sort(order.begin(), order.end());
        std::vector<UpstreamId> engines;
        for (const auto& [load, index] : order)
            engines.push_back(candidates[index].engine);
        return engines;
    }
};

/// One engine for each adapter, and no other while it is there.
class StaticHome : public EngineSelector {
public:
    std::vector<UpstreamId> rank(
        const AdapterRef& adapter, const std::vector<EngineCandidate>& candidates, Random&) const override
    {
        const EngineCandidate* home = nullptr;
        uint64_t highest = 0;
        for (const EngineCandidate& candidate : candidates) {
            const uint64_t hash = stableHash(adapter.adapter.value() + '@' + candidate.engine.value());
            if (home && hash <= highest)
                continue;
            home = &candidate;
            highest = hash;
        }
        return home ? std::vector<UpstreamId> { home->engine } : std::vector<UpstreamId>();
    }
};

} // namespace

std::vector<Arm> allArms()
{
    return { { "current", std::make_shared<Current>() },
        { "without-slowdown", std::make_shared<Current>(),
            [](size_t, double, MonotonicTime) { return std::optional<double>(); } },
        { "without-error", std::make_shared<WithoutError>() },
        { "least-loaded", std::make_shared<LeastLoaded>() },
        { "static-homes", std::make_shared<StaticHome>() } };
}

std::vector<Arm> promptArms()
{
    const auto current = std::make_shared<Current>();
    return { { "current", current, nullptr, false }, { "affinity", current, nullptr, true } };
}

} // namespace lacewing::experiment
