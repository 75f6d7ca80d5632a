#pragma once

#include "coordination/allotment_bucket.h"
#include "state/peer_messages.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing {

/// The buckets of all workspaces for the partitions that this daemon holds.
///
/// Work is done only when a message arrives or the configuration or the partitions change; an idle bucket
/// costs memory only. All operations tolerate lost, repeated and reordered messages: a repeated ask gets no
/// second grant, and a report carries totals, of which only the growth counts.
class PartitionHolder {
public:
    /// Tells whether the daemon's session is valid at this moment. It is asked before every grant.
    using ValidityCheck = std::function<bool()>;

    /// @param clock must outlive the holder.
    PartitionHolder(const Clock& clock, ValidityCheck isSessionValid);

    /// Sets the partitions whose leases this daemon holds. Call it before a partition is released, and as
    /// soon as it is known to be lost.
    ///
    /// @param partitions all partitions now held.
    /// @param fillFrom when the previous holder's grants can no longer be charged: at least grantTtl after
    /// the
    ///     lease was taken. Applies to the partitions that were not held before.
    void setPartitions(const std::set<int>& partitions, MonotonicTime fillFrom);

    /// Sets the limits of all workspaces. Workspaces that are left out get nothing any more.
    void setLimits(const AllotmentLimits& limits);

    /// Grants what the buckets can give.
    ///
    /// @param asker sender of the ask; the own host for the local wallet.
    /// @return the grant to send back; no amounts if the session is not valid. std::nullopt for a repeated
    /// ask.
    std::optional<QuotaGrant> answer(const HostId& asker, const QuotaRequest& ask);

    /// Takes note of what became of a grant. The report carries totals per workspace over the life of the
    /// grant that has the same seq. When spent and unused exceed what was granted, the excess is a refund of
    /// amounts that had been charged. Reports of unknown grants are ignored.
    void report(const HostId& asker, const QuotaReturn& report);

    /// @return the number of partitions held, including those that don't fill yet.
    size_t partitionCount() const { return m_partitions.size(); }

    /// @return the bucket of a workspace, up to date, or nullptr. For hints and checks.
    AllotmentBucket* bucket(const WorkspaceId& workspace);

private:
    struct Holding {
        AllotmentBucket bucket;
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

    Holding* current(const WorkspaceId& workspace);
    void startPartitions(Holding& holding, MonotonicTime now);
    void expireGrants(MonotonicTime now);
    void expire(std::deque<Due>& due, AllotmentKind kind, MonotonicTime now);
    void grantOne(const TokenAmount& wanted, bool isValid, Grant& grant, QuotaGrant& message);
    void applyReport(Granted& granted, Tokens spent, Tokens unused);
    void spend(Granted& granted, Tokens amount, AllotmentBucket& bucket, MonotonicTime time);

    const Clock& m_clock;
    ValidityCheck m_isSessionValid;
    /// Partitions held, with the time from which each may fill.
    std::map<int, MonotonicTime> m_partitions;
    std::map<WorkspaceId, Holding> m_holdings;
    std::map<GrantId, Grant> m_grants;
    std::deque<Due> m_rateGrants;
    std::deque<Due> m_slotGrants;
    std::deque<Due> m_forgettable;
};

} // namespace lacewing
