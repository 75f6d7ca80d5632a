#include "coordination/bounded_load_selector.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lacewing {

BoundedLoadSelector::BoundedLoadSelector(Options options)
    : m_options(options)
    , m_popularity(options.popularityTimeConstant)
{
}

std::optional<UpstreamId> BoundedLoadSelector::select(
    const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now)
{
    const Candidates ranked = candidates(selection, views, now);
    if (ranked.empty())
        return std::nullopt;
    const Candidate* chosen = nullptr;
    if (selection.adapter) {
        const auto holders = static_cast<size_t>(std::count_if(
            ranked.begin(), ranked.end(), [](const Candidate& candidate) { return candidate.holds; }));
        const size_t wanted = replicas(*selection.adapter, ranked, now);
        if (holders >= wanted)
            chosen = leastLoadedHolder(ranked, wanted);
        if (!chosen)
            chosen = cheapestPlacement(ranked);
        if (!chosen)
            chosen = leastLoadedHolder(ranked, wanted);
    }
    if (!chosen)
        chosen = leastLoaded(ranked);
    return chosen->view->upstream;
}

void BoundedLoadSelector::started(
    const UpstreamId& upstream, const std::optional<AdapterKey>& adapter, MonotonicTime now)
{
    m_inFlight.started(upstream, now);
    if (!adapter)
        return;
    m_popularity.record(*adapter, now);
    m_recentPlacements[*adapter] = { upstream, now };
    for (auto it = m_recentPlacements.begin();
         m_recentPlacements.size() > 1000 && it != m_recentPlacements.end();)
        it = it->second.at + m_options.recentPlacementTime < now ? m_recentPlacements.erase(it)
                                                                 : std::next(it);
}

void BoundedLoadSelector::finished(const UpstreamId& upstream, MonotonicTime now)
{
    m_inFlight.finished(upstream, now);
}

BoundedLoadSelector::Candidates BoundedLoadSelector::candidates(
    const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) const
{
    Candidates result;
    double total = 1; // Includes the request to place.
    double capacity = 0;
    for (const UpstreamView* view : rankByRendezvous(selection, views)) {
        Candidate candidate;
        candidate.view = view;
        candidate.load = m_inFlight.load(*view);
        if (selection.requestClass == RequestClass::Batch)
            candidate.load += view->queuedBatch;
        candidate.holds = holds(*view, selection.adapter, now);
        candidate.local = view->dataCentre == selection.dataCentre;
        candidate.rank = result.size();
        total += candidate.load;
        capacity += view->weight * std::max(1, view->maximumConcurrency);
        result.push_back(candidate);
    }
    for (Candidate& candidate : result) {
        const double own = candidate.view->weight * std::max(1, candidate.view->maximumConcurrency);
        const double bound
            = std::max(m_options.loadBound * total * own / capacity, m_options.lowLoadShare * own);
        candidate.withinBound = candidate.load + 1 <= std::ceil(bound);
        candidate.load /= own;
    }
    return result;
}

const BoundedLoadSelector::Candidate* BoundedLoadSelector::leastLoaded(const Candidates& candidates)
{
    // Compares loads in steps of 1/8, so that a local data centre is preferred among nearly equal loads.
    const auto order = [](const Candidate& candidate) {
        return std::make_tuple(
            std::floor(candidate.load * 8), !candidate.local, candidate.load, candidate.rank);
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(),
        [&](const Candidate& a, const Candidate& b) { return order(a) < order(b); });
    return best == candidates.end() ? nullptr : &*best;
}

const BoundedLoadSelector::Candidate* BoundedLoadSelector::leastLoadedHolder(
    const Candidates& candidates, size_t replicas)
{
    const Candidate* best = nullptr;
    size_t seen = 0;
    for (const Candidate& candidate : candidates) {
        if (!candidate.holds || !candidate.withinBound)
            continue;
        const bool better = best
            && std::make_tuple(candidate.load, !candidate.local) < std::make_tuple(best->load, !best->local);
        if (!best || better)
            best = &candidate;
        if (++seen >= replicas)
            break;
    }
    return best;
}

const BoundedLoadSelector::Candidate* BoundedLoadSelector::cheapestPlacement(
    const Candidates& candidates) const
{
    const Candidate* best = nullptr;
    size_t seen = 0;
    for (const Candidate& candidate : candidates) {
        if (candidate.holds || !candidate.withinBound)
            continue;
        const auto order = [](const Candidate& home) {
            return std::make_tuple(home.view->evictionCost, home.load, home.rank);
        };
        if (!best || order(candidate) < order(*best))
            best = &candidate;
        if (++seen >= m_options.placementCandidates)
            break;
    }
    return best;
}

bool BoundedLoadSelector::holds(
    const UpstreamView& view, const std::optional<AdapterKey>& adapter, MonotonicTime now) const
{
    if (!adapter)
        return false;
    if (view.resident.count(*adapter) > 0)
        return true;
    const auto choice = m_recentPlacements.find(*adapter);
    return choice != m_recentPlacements.end() && choice->second.upstream == view.upstream
        && now <= choice->second.at + m_options.recentPlacementTime;
}

size_t BoundedLoadSelector::replicas(
    const AdapterKey& adapter, const Candidates& candidates, MonotonicTime now) const
{
    if (m_popularity.count(adapter, now) < m_options.minimumUses)
        return 1;
    double inFlight = 0;
    double capacity = 0;
    for (const Candidate& candidate : candidates) {
        const double own = candidate.view->weight * std::max(1, candidate.view->maximumConcurrency);
        inFlight += candidate.load * own;
        capacity += own;
    }
    const auto count = static_cast<double>(candidates.size());
    const double perUpstream = m_options.lowLoadShare * capacity / count;
    const double wanted = 1 + std::floor(m_popularity.share(adapter, now) * inFlight / perUpstream);
    return static_cast<size_t>(std::min(wanted, count));
}

} // namespace lacewing
