#pragma once

#include "coordination/in_flight_tracker.h"
#include "coordination/popularity_tracker.h"
#include "coordination/upstream_selector.h"

#include <map>

namespace lacewing {

/// Places adapters by rendezvous hashing with bounded loads. An adapter has one candidate upstream, or
/// several if it is popular; among those within the load bound, one that holds the adapter goes first, then
/// the one with the least load. If all candidates are over the bound, the next upstreams in the ranking take
/// over.
class BoundedLoadSelector : public UpstreamSelector {
public:
    struct Options {
        /// An upstream is over the bound when its load exceeds both this multiple of the mean load ...
        double loadBound = 1.25;
        /// ... and this share of its maximum concurrency. Below that nothing waits, so spreading only costs
        /// loads.
        double lowLoadShare = 0.6;
        /// Uses within the time constant below which an adapter counts as unpopular: an entry sees few.
        double minimumUses = 4;
        Duration popularityTimeConstant = std::chrono::seconds(60);
        /// Upstreams that an adapter may be loaded on; the one whose eviction costs least is taken.
        size_t placementCandidates = 3;
        /// How long an upstream that this entry chose for an adapter counts as holding it, in spite of
        /// reports.
        Duration recentPlacementTime = std::chrono::seconds(3);
    };

    explicit BoundedLoadSelector(Options options);

    std::optional<UpstreamId> select(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) override;
    void started(
        const UpstreamId& upstream, const std::optional<AdapterKey>& adapter, MonotonicTime now) override;
    void finished(const UpstreamId& upstream, MonotonicTime now) override;

private:
    struct RecentPlacement {
        UpstreamId upstream;
        MonotonicTime at;
    };

    struct Candidate {
        const UpstreamView* view = nullptr;
        /// Requests per maximum concurrency.
        double load = 0;
        bool withinBound = false;
        bool holds = false;
        bool local = false;
        size_t rank = 0;
    };

    using Candidates = std::vector<Candidate>;

    Candidates candidates(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now) const;
    static const Candidate* leastLoaded(const Candidates& candidates);
    static const Candidate* leastLoadedHolder(const Candidates& candidates, size_t replicas);
    const Candidate* cheapestPlacement(const Candidates& candidates) const;
    bool holds(const UpstreamView& view, const std::optional<AdapterKey>& adapter, MonotonicTime now) const;
    size_t replicas(const AdapterKey& adapter, const Candidates& candidates, MonotonicTime now) const;

    Options m_options;
    InFlightTracker m_inFlight;
    PopularityTracker m_popularity;
    std::map<AdapterKey, RecentPlacement> m_recentPlacements;
};

} // namespace lacewing
