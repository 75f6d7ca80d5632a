#pragma once

#include "coordination/quota_bucket.h"
#include "state/peer_messages.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing {

/// Keeps the buckets of all workspaces for the partitions that this daemon holds, and decides what is granted
/// out of them.
///
/// Load pattern: many workspaces of which few are active. Work is done only when a message arrives or the
/// configuration or the partitions change, so that an idle bucket costs only memory. All operations tolerate
/// lost, repeated and reordered messages: a repeated ask gets no second grant, and a report carries totals,
/// of which only the growth counts.
class PartitionHolder {
public:
    /// Returns whether the daemon's session is valid now. Called before every grant.
    using ValidityCheck = std::function<bool()>;

    /// @param clock must outlive the holder.
    PartitionHolder(const Clock& clock, ValidityCheck isSessionValid);

    /// Sets the partitions whose leases this daemon holds. Call it before a partition is released, and as
    /// soon as it is known to be lost.
    ///
    /// @param partitions all partitions now held.
    /// @param fillFrom when the previous holder's grants can no longer be charged: at least grantTtl after
    ///     the lease was taken. Applies to the partitions that were not held before.
    void setPartitions(const std::set<int>& partitions, MonotonicTime fillFrom);

    /// Sets the limits of all workspaces. Workspaces that are missing get no further grants.
    void setLimits(const QuotaLimits& limits);

    /// Grants as much of an ask as the levels allow.
    ///
    /// @param asker sender of the ask; the own host for the local QuotaClient.
    /// @return the grant to send back; no amounts if the session is not valid. std::nullopt for a repeated
    /// ask.
    std::optional<QuotaGrant> answer(const HostId& asker, const QuotaRequest& ask);

    /// Records the use of a grant. The report carries totals per workspace over the life of the
    /// grant that has the same seq. When spent and unused exceed what was granted, the excess is a refund of
    /// amounts that had been charged. Reports of unknown grants are ignored.
    void report(const HostId& asker, const QuotaReturn& report);

    /// @return the number of partitions held, including those that don't refill yet.
    size_t partitionCount() const { return m_partitions.size(); }

    /// @return the bucket of a workspace, up to date, or nullptr. For level estimates and checks.
    QuotaBucket* bucket(const WorkspaceId& workspace);

private:
    struct WorkspaceBucket {
        QuotaBucket bucket;
        /// Earliest time at which another partition starts to count.
        MonotonicTime nextStart;
    };
    /// One workspace's amount in a grant. Spent and unused are the totals reported so far.
    struct Granted {
        WorkspaceId workspace;
        Tokens tokens;
        Tokens outstanding;
        Tokens spent;
        Tokens unused;
        /// First operation that spent some of it.
        std::optional<HeadroomHistory::Mark> spentMark;
    };
    struct Grant {
        MonotonicTime grantedAt;
        std::vector<Granted> amounts;
    };
    using GrantId = std::pair<HostId, uint64_t>;
    using Due = std::pair<MonotonicTime, GrantId>;

    WorkspaceBucket* current(const WorkspaceId& workspace);
    void startPartitions(WorkspaceBucket& holding, MonotonicTime now);
    void expireGrants(MonotonicTime now);
    void expire(std::deque<Due>& due, QuotaKind kind, MonotonicTime now);
    void grantOne(const TokenAmount& wanted, bool isValid, Grant& grant, QuotaGrant& message);
    void applyReport(Granted& granted, Tokens spent, Tokens unused);
    void spend(Granted& granted, Tokens amount, QuotaBucket& bucket, MonotonicTime time);

    const Clock& m_clock;
    ValidityCheck m_isSessionValid;
    /// Partitions held, with the time from which each may refill.
    std::map<int, MonotonicTime> m_partitions;
    std::map<WorkspaceId, WorkspaceBucket> m_workspaceBuckets;
    std::map<GrantId, Grant> m_grants;
    std::deque<Due> m_rateGrants;
    std::deque<Due> m_slotGrants;
    std::deque<Due> m_expiredGrants;
};

} // namespace lacewing
