#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"

#include <map>
#include <set>
#include <string>

namespace lacewing {

/// Detects and ejects failing upstreams of one base model or one service (outlier detection).
///
/// Load pattern: some upstreams of a group fail while the others keep working. Ejections are temporary, never
/// cover more than a third of the group at once, and end with a slow start.
class UpstreamHealth {
public:
    struct Options {
        /// Number of failures in a row after which an upstream is ejected.
        int consecutiveFailures = 5;
        /// Fraction of failed requests above which an upstream is ejected ...
        double failureRate = 0.5;
        /// ... if the decayed number of requests is at least this high.
        double minimumRequests = 10;
        /// Time constant of the decayed request and failure counts.
        Duration rateTimeConstant = std::chrono::seconds(10);
        /// Duration of the first ejection, which jitter shortens by up to a quarter. It doubles with each
        /// further ejection up to maximumEjection.
        Duration initialEjection = std::chrono::seconds(5);
        Duration maximumEjection = std::chrono::seconds(60);
        /// Duration of the slow start.
        Duration slowStart = std::chrono::seconds(30);
        /// Weight at the start of the slow start.
        double initialWeight = 0.1;
        uint64_t seed = 1;
    };

    explicit UpstreamHealth(Options options);

    /// Sets the upstreams of the group. New ones start with full weight, existing ones keep their state. If
    /// the group has shrunk, the ones ejected first are readmitted until at most a third is ejected.
    void setMembers(const std::set<UpstreamId>& members, MonotonicTime now);

    void recordSuccess(const UpstreamId& upstream, MonotonicTime now);
    void recordFailure(const UpstreamId& upstream, MonotonicTime now);

    /// Records the boot id of the upstream. A changed id starts a slow start, because a restarted upstream is
    /// cold.
    void recordBootId(const UpstreamId& upstream, const std::string& bootId, MonotonicTime now);

    /// @return the fraction of its full load that the upstream may get, in [0, 1]; 0 while it is ejected.
    double weight(const UpstreamId& upstream, MonotonicTime now) const;

    /// @return the number of ejected upstreams.
    size_t ejected(MonotonicTime now) const;

private:
    struct Member {
        std::string bootId;
        int consecutiveFailures = 0;
        int ejections = 0;
        double requests = 0;
        double failures = 0;
        MonotonicTime countedAt;
        MonotonicTime ejectedAt;
        MonotonicTime ejectedUntil;
        /// Start of the slow start; MonotonicTime::min() if there was none.
        MonotonicTime slowStartBegin = MonotonicTime::min();
    };

    Member* count(const UpstreamId& upstream, bool failed, MonotonicTime now);
    bool isFailing(const Member& member, MonotonicTime now) const;
    bool isInSlowStart(const Member& member, MonotonicTime now) const;
    void eject(Member& member, MonotonicTime now);

    Options m_options;
    Random m_random;
    std::map<UpstreamId, Member> m_members;
};

} // namespace lacewing
