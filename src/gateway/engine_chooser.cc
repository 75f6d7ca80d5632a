#include "gateway/engine_chooser.h"

#include "base/stable_hash.h"
#include "gateway/prefill_rate.h"
#include "speed/slowdown_estimate.h"

#include <algorithm>
#include <utility>

namespace lacewing::gateway {

namespace {

using std::chrono::milliseconds;

/// Expected cost of fetching an adapter, and of the slot that it takes from others.
constexpr Duration fetchCost = milliseconds(350);
/// Expected cost of loading an adapter from the engine's cached copy.
constexpr Duration cachedLoadCost = milliseconds(150);
constexpr Duration remainingLoadCost = milliseconds(60);
/// Engines further down the adapter's ranking are less likely to have a cached copy.
constexpr Duration homeRankCost = milliseconds(40);
constexpr size_t maximumCountedRank = 6;
/// Expected wait if every adapter slot is in use.
constexpr Duration slotWaitCost = milliseconds(300);
constexpr Duration suspectCost = std::chrono::seconds(3);
/// Prompt tokens per millisecond; lower bound for owners that report no prefill rate.
constexpr double minimumPrefillRate = 1;
/// Traffic between data centres costs more than a short wait.
constexpr Duration dataCentreCost = milliseconds(8);

} // namespace

void EngineCandidate::applySummary(const EngineSummary& summary, const AdapterRef& adapter)
{
    prefillBacklog = summary.prefillBacklog;
    promptTokensPerMillisecond = summary.promptTokensPerMillisecond;
    openSlots = summary.openSlots;
    fetchWait = summary.fetchWait;
    waiting = summary.waiting;
    limitWait = summary.limitWait;
    startInterval = summary.startInterval;
    statesSlowdown = summary.statesSlowdown;
    for (const AdapterSummary& held : summary.adapters) {
        if (held.adapter != adapter)
            continue;
        holdsAdapter = !held.isLoading;
        isLoadingAdapter = held.isLoading;
    }
}

void EngineCandidate::setPromptTime(Tokens prompt, const EngineSummary& summary, Duration age)
{
    const double rate = std::max(minimumPrefillRate, summary.promptTokensPerMillisecond);
    promptTimeAtMean = PrefillRate::prefillTime(prompt, rate);
    promptTime = speed::slowedTime(promptTimeAtMean, speed::faded(summary.slowdown, age));
}

Duration EngineChooser::promptCost(const EngineCandidate& candidate, bool needsAdapter)
{
    const bool isReady = !needsAdapter || candidate.holdsAdapter || candidate.isLoadingAdapter;
    return isReady ? candidate.promptTime : candidate.promptTimeAtMean;
}

Duration EngineChooser::cost(
    const EngineCandidate& candidate, bool needsAdapter, size_t homeRank, Random& random)
{
    Duration cost = std::max(candidate.prefillBacklog, candidate.limitWait);
    cost -= candidate.prefixSaving;
    if (!candidate.isInCallersDataCentre)
        cost += dataCentreCost;
    if (candidate.isSuspect)
        cost += suspectCost;
    const bool isPresent = !needsAdapter || candidate.holdsAdapter;
    if (isPresent || candidate.isLoadingAdapter) {
        const double error = random.uniform() - 0.5;
        cost += std::chrono::duration_cast<Duration>(error * candidate.updateInterval);
        return isPresent ? cost : cost + remainingLoadCost;
    }
    cost += candidate.hasCopy ? cachedLoadCost
                              : candidate.fetchWait + fetchCost
            + homeRankCost * static_cast<int64_t>(std::min(homeRank, maximumCountedRank));
    cost += ordersForLoad * candidate.startInterval;
    if (candidate.openSlots <= 0)
        cost += slotWaitCost + candidate.waiting * milliseconds(20);
    return cost;
}

std::vector<UpstreamId> EngineChooser::rank(
    const AdapterRef& adapter, const std::vector<EngineCandidate>& candidates, Random& random)
{
    const bool needsAdapter = !adapter.adapter.empty();
    const std::string name = adapter.model.value() + '/' + adapter.adapter.value();
    std::vector<std::pair<uint64_t, const EngineCandidate*>> home;
    for (const EngineCandidate& candidate : candidates)
        home.emplace_back(stableHash(name + '@' + candidate.engine.value()), &candidate);
    std::sort(home.begin(), home.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    const bool countsPrompt = std::any_of(candidates.begin(), candidates.end(),
        [](const EngineCandidate& candidate) { return candidate.statesSlowdown; });
    std::vector<std::pair<Duration, UpstreamId>> ranked;
    for (size_t homeRank = 0; homeRank < home.size(); ++homeRank) {
        const EngineCandidate& candidate = *home[homeRank].second;
        const bool canServe = candidate.hasOwner || !needsAdapter || candidate.holdsAdapter;
        if (!canServe)
            continue;
        const Duration prompt = countsPrompt ? promptCost(candidate, needsAdapter) : Duration::zero();
        ranked.emplace_back(cost(candidate, needsAdapter, homeRank, random) + prompt, candidate.engine);
    }
    std::stable_sort(
        ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<UpstreamId> engines;
    for (auto& entry : ranked)
        engines.push_back(std::move(entry.second));
    return engines;
}

} // namespace lacewing::gateway
