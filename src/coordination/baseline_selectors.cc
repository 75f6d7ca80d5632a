#include "coordination/baseline_selectors.h"

#include "coordination/rendezvous.h"

namespace lacewing {

namespace {

std::vector<const UpstreamView*> eligible(const Selection& selection, const std::vector<UpstreamView>& views)
{
    std::vector<const UpstreamView*> result;
    for (const UpstreamView& view : views) {
        if (isEligible(view, selection))
            result.push_back(&view);
    }
    return result;
}

} // namespace

std::optional<UpstreamId> RandomSelector::select(
    const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime)
{
    const auto candidates = eligible(selection, views);
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_random.below(candidates.size())]->upstream;
}

std::optional<UpstreamId> LeastQueueSelector::select(
    const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime)
{
    std::vector<const UpstreamView*> least;
    int leastLoad = 0;
    for (const UpstreamView* view : eligible(selection, views)) {
        const int load = m_inFlight.load(*view);
        if (!least.empty() && load > leastLoad)
            continue;
        if (least.empty() || load < leastLoad)
            least.clear();
        least.push_back(view);
        leastLoad = load;
    }
    if (least.empty())
        return std::nullopt;
    return least[m_random.below(least.size())]->upstream;
}

void LeastQueueSelector::started(
    const UpstreamId& upstream, const std::optional<AdapterKey>&, MonotonicTime now)
{
    m_inFlight.started(upstream, now);
}

void LeastQueueSelector::finished(const UpstreamId& upstream, MonotonicTime now)
{
    m_inFlight.finished(upstream, now);
}

std::optional<UpstreamId> RendezvousSelector::select(
    const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime)
{
    const auto ranked = rankByRendezvous(selection, views);
    if (ranked.empty())
        return std::nullopt;
    return ranked.front()->upstream;
}

std::optional<UpstreamId> TwoChoiceSelector::select(
    const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime)
{
    const auto candidates = eligible(selection, views);
    if (candidates.empty())
        return std::nullopt;
    if (candidates.size() == 1)
        return candidates.front()->upstream;
    const size_t first = m_random.below(candidates.size());
    const size_t other = m_random.below(candidates.size() - 1);
    const size_t second = other < first ? other : other + 1;
    return better(*candidates[first], *candidates[second], selection).upstream;
}

void TwoChoiceSelector::started(
    const UpstreamId& upstream, const std::optional<AdapterKey>&, MonotonicTime now)
{
    m_inFlight.started(upstream, now);
}

void TwoChoiceSelector::finished(const UpstreamId& upstream, MonotonicTime now)
{
    m_inFlight.finished(upstream, now);
}

const UpstreamView& TwoChoiceSelector::better(
    const UpstreamView& a, const UpstreamView& b, const Selection& selection) const
{
    // Dividing by the weight makes an upstream in slow start appear busier than it is.
    const double loadA = (m_inFlight.load(a) + 1) / a.weight;
    const double loadB = (m_inFlight.load(b) + 1) / b.weight;
    if (loadA != loadB)
        return loadA < loadB ? a : b;
    return b.dataCentre == selection.dataCentre && a.dataCentre != selection.dataCentre ? b : a;
}

} // namespace lacewing
