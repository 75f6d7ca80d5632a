#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/serving_configuration.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// Usage of a workspace at one host, as the host reports it.
struct UsageReport {
    WorkspaceId workspace;
    /// Since the host's start, in the unit of the limit.
    int64_t total = 0;
    /// Within the last window, in the unit of the limit.
    int64_t inWindow = 0;
};

/// Permitted excess over a limit while hosts do not know the usage at other hosts.
struct UsageTolerance {
    /// Fraction of the limit.
    double share = 0;
    /// In the unit of the limit.
    double amount = 0;
};

/// Distributed rate limiter: bounds the usage of each workspace over all hosts in any sliding window.
///
/// Load pattern: one workspace sends many times its usual load through all hosts at once, while hosts lose
/// contact with each other. Each host knows the usage of the others as of their last reports and admits
/// requests from the remaining limit without communication per request. Its usage since its last report is
/// bounded by its share of the remaining limit. Beyond that it reports early, a few times between two
/// heartbeats, so that requests within the limit are not refused because they arrived through one host. An
/// unreachable peer is assumed to use its fair share of the limit.
class WorkspaceRateLimiter {
public:
    /// @param window length of the sliding window in which the limit holds.
    /// @param knownSince time since which this host knows the usage of all hosts; earlier usage may be
    /// unknown.
    WorkspaceRateLimiter(Duration window, HostId self, MonotonicTime knownSince);

    /// Values that led to a refused charge, for the log.
    struct Refusal {
        double limit = 0;
        double ownUsage = 0;
        double otherHostsUsage = 0;
        /// Maximum usage of this host between two heartbeats, and its usage since the last one.
        double heartbeatBound = 0;
        double sinceHeartbeat = 0;
    };

    /// Charges a request if the limit of the workspace allows it.
    ///
    /// @param amount cost of the request, in the unit of the limit.
    /// @return nothing if charged, otherwise the time after which to retry.
    std::optional<Duration> charge(const ServingWorkspace& workspace, int64_t amount, MonotonicTime now);
    const Refusal& lastRefusal() const { return m_lastRefusal; }
    /// @return whether an early report should be sent before the next heartbeat.
    bool isReportDue() const { return m_isReportDue; }
    /// Refunds the charge of a request that has not run.
    void refund(const WorkspaceId& workspace, int64_t amount, MonotonicTime now);

    /// @return usage that changed since the last report, for a heartbeat to all peers.
    std::vector<UsageReport> heartbeatReport(MonotonicTime now);
    /// @return usage that changed since the last report, for a message to all peers between two heartbeats.
    std::vector<UsageReport> earlyReport(MonotonicTime now);
    /// @return all usage at this host, for a newly connected peer.
    std::vector<UsageReport> fullReport(MonotonicTime now);
    void peerReported(const HostId& peer, Incarnation incarnation, const std::vector<UsageReport>& usage,
        MonotonicTime now);

    /// @param members all hosts that may charge workspaces, including this one, and whether each is
    /// reachable.
    void setMembers(const std::map<HostId, bool>& members) { m_members = members; }
    void setWindow(Duration window) { m_window = window; }
    void setTolerance(const UsageTolerance& tolerance) { m_tolerance = tolerance; }
    /// Records that a peer knows the usage of all hosts since the given time.
    void extendKnownSince(MonotonicTime time) { m_knownSince = std::min(m_knownSince, time); }
    /// @return the time since which this host knows the usage of all hosts.
    MonotonicTime knownSince() const { return m_knownSince; }

private:
    struct UsageEntry {
        MonotonicTime time;
        int64_t amount = 0;
        /// Usage before the first report of the host that charged it; its time is unknown.
        bool precedesFirstReport = false;
    };

    /// Usage of one workspace at one incarnation of a host.
    struct Account {
        std::deque<UsageEntry> entries;
        int64_t inWindow = 0;
        int64_t total = 0;
        /// Total in the last report to all peers.
        int64_t reportedTotal = 0;
        /// Total in the last heartbeat.
        int64_t heartbeatTotal = 0;
    };

    /// Leaky bucket: the fleet's usage beyond the rate, as a level that falls at the rate.
    struct LeakyBucket {
        double level = 0;
        MonotonicTime updated;

        void leak(double ratePerSecond, MonotonicTime now);
    };

    using AccountKey = std::pair<HostId, Incarnation>;

    static void add(Account& account, const UsageEntry& entry);
    void expire(Account& account, MonotonicTime now) const;
    /// @return the amount that may be charged at once.
    double remainingBurst(const ServingWorkspace& workspace, MonotonicTime now);
    /// Adds the known usage of peers to a new bucket, in the order of its times.
    void replayPeerUsage(LeakyBucket& bucket, const ServingWorkspace& workspace);
    /// @return the limit over one whole window.
    double windowLimit(const WorkspaceLimit& limit) const;
    /// @return the usage of all peers in the window, with at least fairShare for each unreachable peer.
    double peerUsage(const WorkspaceId& workspace, double fairShare, MonotonicTime now);

    Duration m_window;
    HostId m_self;
    MonotonicTime m_knownSince;
    UsageTolerance m_tolerance;
    bool m_isReportDue = false;
    Refusal m_lastRefusal;
    std::map<HostId, bool> m_members;
    std::map<WorkspaceId, Account> m_own;
    std::map<WorkspaceId, LeakyBucket> m_buckets;
    std::map<WorkspaceId, std::map<AccountKey, Account>> m_peers;
    /// Incarnation in the last report of each peer.
    std::map<HostId, Incarnation> m_peerIncarnations;
};

} // namespace lacewing::gateway
