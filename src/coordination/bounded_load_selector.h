#pragma once

#include "coordination/in_flight_tracker.h"
#include "coordination/popularity_tracker.h"
#include "coordination/upstream_selector.h"

#include <map>

namespace lacewing {

/// Places adapters by rendezvous hashing with bounded loads.
///
/// Load pattern: many adapters with skewed popularity. An adapter has one candidate upstream, or several if
/// it is popular. Among the candidates within the load bound, one that already holds the adapter is
/// preferred, then the least loaded one. If all candidates exceed the bound, the next upstreams in the
/// ranking are used.
class BoundedLoadSelector : public UpstreamSelector {
public:
    struct Options {
        /// An upstream exceeds the bound if its load is above both this multiple of the mean load ...
        double loadBound = 1.25;
        /// ... and this fraction of its maximum concurrency. Below that fraction requests do not queue, so
        /// spreading them would only cause additional adapter loads.
        double lowLoadShare = 0.6;
        /// Minimum decayed number of uses for an adapter to get more than one replica. It is low because a
        /// single entry sees only few of the requests.
        double minimumUses = 4;
        Duration popularityTimeConstant = std::chrono::seconds(60);
        /// Number of upstreams considered for loading an adapter; the one with the lowest eviction cost is
        /// used.
        size_t placementCandidates = 3;
        /// How long an upstream that this entry chose for an adapter is assumed to hold it, regardless of
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
        /// Number of requests divided by the upstream's weighted maximum concurrency.
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
