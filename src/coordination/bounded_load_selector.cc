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
    const std::vector<Candidate> ranked = candidates(selection, views, now);
    if (ranked.empty())
        return std::nullopt;
    const size_t own = replicas(selection.adapter, ranked.size(), now);
    // Order: within the bound; holds the adapter; one of the adapter's own candidates; load among those, and
    // rank among the others; same data centre.
    const auto order = [own](const Candidate& candidate) {
        const bool isOwn = candidate.rank < own;
        const size_t rank = isOwn ? 0 : candidate.rank;
        // Whole steps of load, so that the data centre decides between nearly equal ones.
        const double load
            = candidate.withinBound && !isOwn && !candidate.resident ? 0 : std::floor(candidate.load * 8);
        return std::make_tuple(!candidate.withinBound, candidate.withinBound ? !candidate.resident : false,
            candidate.withinBound && !candidate.resident ? rank : 0, load, !candidate.local, candidate.load,
            candidate.rank);
    };
    const auto best = std::min_element(ranked.begin(), ranked.end(),
        [&](const Candidate& a, const Candidate& b) { return order(a) < order(b); });
    return best->view->upstream;
}

void BoundedLoadSelector::started(
    const UpstreamId& upstream, const std::optional<AdapterKey>& adapter, MonotonicTime now)
{
    m_inFlight.started(upstream, now);
    if (!adapter)
        return;
    m_popularity.record(*adapter, now);
    m_choices[*adapter] = { upstream, now };
    for (auto it = m_choices.begin(); m_choices.size() > 1000 && it != m_choices.end();)
        it = it->second.at + m_options.choiceMemory < now ? m_choices.erase(it) : std::next(it);
}

void BoundedLoadSelector::finished(const UpstreamId& upstream, MonotonicTime now)
{
    m_inFlight.finished(upstream, now);
}

std::vector<BoundedLoadSelector::Candidate> BoundedLoadSelector::candidates(
    const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) const
{
    std::vector<Candidate> result;
    double total = 1; // The request itself.
    double weight = 0;
    for (const UpstreamView* view : rankByRendezvous(selection, views)) {
        Candidate candidate;
        candidate.view = view;
        candidate.load = m_inFlight.load(*view);
        candidate.resident = holds(*view, selection.adapter, now);
        candidate.local = view->dataCentre == selection.dataCentre;
        candidate.rank = result.size();
        total += candidate.load;
        weight += view->weight * view->maximumConcurrency;
        result.push_back(candidate);
    }
    for (Candidate& candidate : result) {
        const double capacity = std::max(1, candidate.view->maximumConcurrency) * candidate.view->weight;
        const double fair = total * capacity / std::max(weight, 1.0);
        const double bound = std::max(m_options.loadBound * fair, m_options.idleShare * capacity);
        candidate.withinBound = candidate.load + 1 <= std::ceil(bound);
        candidate.load /= capacity;
    }
    return result;
}

bool BoundedLoadSelector::holds(
    const UpstreamView& view, const std::optional<AdapterKey>& adapter, MonotonicTime now) const
{
    if (!adapter)
        return false;
    if (view.resident.count(*adapter) > 0)
        return true;
    const auto choice = m_choices.find(*adapter);
    return choice != m_choices.end() && choice->second.upstream == view.upstream
        && now <= choice->second.at + m_options.choiceMemory;
}

size_t BoundedLoadSelector::replicas(
    const std::optional<AdapterKey>& adapter, size_t upstreams, MonotonicTime now) const
{
    if (!adapter)
        return upstreams;
    const double share = m_popularity.share(*adapter, now) * static_cast<double>(upstreams);
    const double wanted = std::ceil(share / m_options.shareOfUpstream);
    return static_cast<size_t>(std::clamp(wanted, 1.0, static_cast<double>(upstreams)));
}

} // namespace lacewing
