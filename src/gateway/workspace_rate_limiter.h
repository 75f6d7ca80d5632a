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

/// What one host says that a workspace has spent through it.
struct UsageReport {
    WorkspaceId workspace;
    /// Since the host's start.
    int64_t total = 0;
    /// Within the last window.
    int64_t inWindow = 0;
};

/// What may be spent beyond a limit while hosts can't know what others have spent.
struct UsageTolerance {
    /// Part of the limit.
    double share = 0;
    /// In the unit of the limit.
    double amount = 0;
};

/// Bounds what all hosts together let a workspace spend in any window.
///
/// Load pattern: one workspace sends many times its usual through all hosts at once, and hosts lose touch
/// with each other meanwhile. Each host knows what the others have spent up to their last report and spends
/// from the rest without a question per request. What it has spent since its last report is bounded by its
/// share of the rest; beyond that it reports at once, a few times between two heartbeats, so that requests
/// within the limit are not refused because they came through one host. A peer that is out of reach is taken
/// to spend its even share of the limit.
class WorkspaceRateLimiter {
public:
    /// @param window length of the windows in which the limit holds.
    /// @param knownSince since when this host knows what all hosts have spent; earlier spending may be
    /// unknown.
    WorkspaceRateLimiter(Duration window, HostId self, MonotonicTime knownSince);

    /// What decided a refused charge, for the log.
    struct Refusal {
        double limit = 0;
        double ownUsage = 0;
        double otherHostsUsage = 0;
        /// What this host may spend between two heartbeats, and has spent since the last one.
        double heartbeatBound = 0;
        double sinceHeartbeat = 0;
    };

    /// Charges a request if the workspace has enough left.
    ///
    /// @return nothing if charged, otherwise when to try again.
    std::optional<Duration> charge(const ServingWorkspace& workspace, int64_t amount, MonotonicTime now);
    const Refusal& lastRefusal() const { return m_lastRefusal; }
    /// @return whether charges since the last report should be reported before the next heartbeat.
    bool isReportDue() const { return m_isReportDue; }
    /// Takes back the charge of a request that has not run.
    void refund(const WorkspaceId& workspace, int64_t amount, MonotonicTime now);

    /// @return what has changed since the last report, for a heartbeat to all peers.
    std::vector<UsageReport> heartbeatReport(MonotonicTime now);
    /// @return what has changed since the last report, for a message to all peers between two heartbeats.
    std::vector<UsageReport> earlyReport(MonotonicTime now);
    /// @return all usage of this host, for a peer that has just connected.
    std::vector<UsageReport> fullReport(MonotonicTime now);
    void peerReported(const HostId& peer, Incarnation incarnation, const std::vector<UsageReport>& usage,
        MonotonicTime now);

    /// @param members all hosts that may spend, this one included, and whether each is in touch.
    void setMembers(const std::map<HostId, bool>& members) { m_members = members; }
    void setWindow(Duration window) { m_window = window; }
    void setTolerance(const UsageTolerance& tolerance) { m_tolerance = tolerance; }
    /// Tells that a peer has followed all spending since an earlier time.
    void extendKnownSince(MonotonicTime time) { m_knownSince = std::min(m_knownSince, time); }
    /// @return since when this host knows what all hosts have spent.
    MonotonicTime knownSince() const { return m_knownSince; }

private:
    struct Spending {
        MonotonicTime time;
        int64_t amount = 0;
        /// Spent at unknown times before this host heard of the spender.
        bool precedesFirstReport = false;
    };

    /// What one start of a host has spent on one workspace.
    struct Account {
        std::deque<Spending> spendings;
        int64_t inWindow = 0;
        int64_t total = 0;
        /// Total in the last report to all peers.
        int64_t reportedTotal = 0;
        /// Total in the last heartbeat.
        int64_t heartbeatTotal = 0;
    };

    /// What the fleet has spent beyond the rate, as a level that falls at the rate.
    struct LeakyBucket {
        double level = 0;
        MonotonicTime updated;

        void leak(double ratePerSecond, MonotonicTime now);
    };

    using AccountKey = std::pair<HostId, Incarnation>;

    static void add(Account& account, const Spending& spending);
    void expire(Account& account, MonotonicTime now) const;
    /// @return what may be spent at once.
    double remainingBurst(const ServingWorkspace& workspace, MonotonicTime now);
    /// Adds what peers have spent to a bucket that is empty so far.
    void replayPeerUsage(LeakyBucket& bucket, const ServingWorkspace& workspace);
    double windowLimit(const WorkspaceLimit& limit) const;
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
    /// The start of each peer that reported last.
    std::map<HostId, Incarnation> m_peerIncarnations;
};

} // namespace lacewing::gateway
