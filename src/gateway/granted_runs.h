#pragma once

#include "gateway/run_request.h"
#include "gateway/serving_configuration.h"
#include "overload/queued_request.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// The runs of one engine that its owner has granted and that have not ended, and what they claim.
class GrantedRuns {
public:
    struct Run {
        RunRequest request;
        /// Prompt tokens that were not in the prefix cache when the run was granted.
        Tokens uncachedTokens;
        MonotonicTime grantedAt;
        /// Level in the order of starts; see overload::OverloadQueue.
        int level = 0;
        /// From this time on the prompt counts as read at the latest. Answers that do not come as a stream
        /// show no first event.
        MonotonicTime readBy;
        bool hasProgressed = false;
    };

    void add(Run run);
    /// Records the first event of a run.
    ///
    /// @return null if the run is unknown or has progressed before.
    const Run* progressed(const RunKey& key);
    /// @return the run, unless it is unknown.
    std::optional<Run> remove(const RunKey& key);

    size_t size() const { return m_runs.size(); }
    std::vector<RunKey> ofHost(const HostId& host) const;
    /// @return the shortest target pause of the running streams, or zero if none has a target.
    Duration shortestTargetPause() const;
    bool hasCapacityFor(const RunRequest& request, const EngineLimits& limits) const;

    /// @return uncached prompt tokens of the runs whose prefill has not finished.
    Tokens backlog() const { return m_backlog; }
    /// @return tokens of the engine's KV cache that the runs claim.
    Tokens cacheInUse() const { return m_cacheInUse; }
    /// @return uncached prompt tokens of the runs that the engine reads before a request of a level. A run
    ///     counts until its first event or Run::readBy.
    Tokens backlogBefore(int level, MonotonicTime now) const;
    /// @param runTime mean time from a grant to the end of a run.
    overload::EngineState state(
        const EngineLimits& limits, double tokensPerMillisecond, Duration runTime, MonotonicTime now) const;

private:
    /// @return tokens of the engine's KV cache that a run claims.
    static Tokens cacheDemand(const RunRequest& request);
    static bool isUnread(const Run& run, MonotonicTime now) { return !run.hasProgressed && now < run.readBy; }
    int freePlaces(const EngineLimits& limits) const;

    std::map<RunKey, Run> m_runs;
    Tokens m_backlog;
    Tokens m_cacheInUse;
};

} // namespace lacewing::gateway
