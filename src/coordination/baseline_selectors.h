#pragma once

#include "base/random.h"
#include "coordination/in_flight_tracker.h"
#include "coordination/upstream_selector.h"

namespace lacewing {

/// Baseline for comparison: picks an eligible upstream uniformly at random.
///
/// Load pattern: none in particular; it ignores load and adapter residency.
class RandomSelector : public UpstreamSelector {
public:
    explicit RandomSelector(uint64_t seed)
        : m_random(seed)
    {
    }

    std::optional<UpstreamId> select(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) override;
    void started(const UpstreamId&, const std::optional<AdapterKey>&, MonotonicTime) override { }
    void finished(const UpstreamId&, MonotonicTime) override { }

private:
    Random m_random;
};

/// Baseline for comparison: picks the upstream with the fewest requests and breaks ties at random.
///
/// Load pattern: uneven load across upstreams; it ignores adapter residency.
class LeastQueueSelector : public UpstreamSelector {
public:
    explicit LeastQueueSelector(uint64_t seed)
        : m_random(seed)
    {
    }

    std::optional<UpstreamId> select(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) override;
    void started(
        const UpstreamId& upstream, const std::optional<AdapterKey>& adapter, MonotonicTime now) override;
    void finished(const UpstreamId& upstream, MonotonicTime now) override;

private:
    Random m_random;
    InFlightTracker m_inFlight;
};

/// Baseline for comparison: picks the first upstream in the rendezvous ranking, regardless of its load.
///
/// Load pattern: many adapters of about equal popularity; a hot adapter overloads its upstream.
class RendezvousSelector : public UpstreamSelector {
public:
    std::optional<UpstreamId> select(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) override;
    void started(const UpstreamId&, const std::optional<AdapterKey>&, MonotonicTime) override { }
    void finished(const UpstreamId&, MonotonicTime) override { }
};

/// Selector for plain services: picks two upstreams at random and takes the less loaded one (power of two
/// choices).
///
/// Load pattern: many entries that balance by delayed load reports. Picking the least loaded upstream would
/// make all entries send to the same one.
class TwoChoiceSelector : public UpstreamSelector {
public:
    explicit TwoChoiceSelector(uint64_t seed)
        : m_random(seed)
    {
    }

    std::optional<UpstreamId> select(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) override;
    void started(
        const UpstreamId& upstream, const std::optional<AdapterKey>& adapter, MonotonicTime now) override;
    void finished(const UpstreamId& upstream, MonotonicTime now) override;

private:
    const UpstreamView& better(
        const UpstreamView& a, const UpstreamView& b, const Selection& selection) const;

    Random m_random;
    InFlightTracker m_inFlight;
};

} // namespace lacewing
