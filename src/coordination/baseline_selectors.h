#pragma once

#include "base/random.h"
#include "coordination/in_flight_tracker.h"
#include "coordination/upstream_selector.h"

namespace lacewing {

/// Baseline: any upstream, with equal chances.
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

/// Baseline: the upstream with the fewest requests; equal ones get equal chances.
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

/// Baseline: the first upstream by rendezvous hashing, whatever its load.
class RendezvousSelector : public UpstreamSelector {
public:
    std::optional<UpstreamId> select(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) override;
    void started(const UpstreamId&, const std::optional<AdapterKey>&, MonotonicTime) override { }
    void finished(const UpstreamId&, MonotonicTime) override { }
};

/// For plain services: the one with fewer requests of two that are drawn at random. With lagging reports this
/// avoids that all entries send to the same upstream.
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
