#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"

#include <map>
#include <set>
#include <string>

namespace lacewing {

/// Judges the upstreams of one base model or one service by their failures. Ejects failing ones for a while,
/// never more than a third at once, and readmits them with a slow start.
class UpstreamHealth {
public:
    struct Options {
        int consecutiveFailures = 5;
        /// Share of failed requests above which an upstream is ejected ...
        double failureRate = 0.5;
        /// ... if there were at least this many requests within about the rate's time constant.
        double minimumRequests = 10;
        Duration rateTimeConstant = std::chrono::seconds(10);
        Duration initialEjection = std::chrono::seconds(5);
        Duration maximumEjection = std::chrono::seconds(60);
        Duration slowStart = std::chrono::seconds(30);
        /// Weight at the beginning of the slow start.
        double initialWeight = 0.1;
        uint64_t seed = 1;
    };

    explicit UpstreamHealth(Options options);

    /// Sets the upstreams of the group. Those that are new start with full weight, the others keep their
    /// state. If the group has shrunk, the longest ejected ones are readmitted until at most a third is
    /// ejected.
    void setMembers(const std::set<UpstreamId>& members, MonotonicTime now);

    void recordSuccess(const UpstreamId& upstream, MonotonicTime now);
    void recordFailure(const UpstreamId& upstream, MonotonicTime now);

    /// Notes the boot id of the upstream. A new one starts a slow start, because a restarted upstream is
    /// cold.
    void recordBootId(const UpstreamId& upstream, const std::string& bootId, MonotonicTime now);

    /// @return the share of full work that the upstream may get, in [0, 1]; 0 while it is ejected.
    double weight(const UpstreamId& upstream, MonotonicTime now) const;

    /// @return the number of upstreams that are ejected.
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
        /// Begin of the slow start; the far past if there was none.
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
