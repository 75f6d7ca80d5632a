#pragma once

#include "coordination/quota_limit.h"
#include "state/peer_messages.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/// Records the grants that one QuotaClient holds and the changes that it has to report to their holders.
///
/// Of each grant an amount is available, charged, or given back. An available amount can be charged only
/// before the grant expires, which is checked against the clock at every use, so that a process that was
/// paused charges no expired amount.
class GrantLedger {
public:
    /// Sends a report. Called once per changed grant from flush().
    using Reporter = std::function<void(const HostId& holder, const QuotaReturn& report)>;

    /// A grant of one workspace's amount from one holder.
    struct Grant {
        HostId holder;
        uint64_t seq = 0;
        WorkspaceId workspace;
        QuotaKind kind = QuotaKind::Rate;
        MonotonicTime expiry;
        Tokens available;
        Tokens charged;
        /// Given back without having been charged.
        Tokens unused;
        /// Given back after having been charged.
        Tokens refunded;
        bool isChanged = false;
    };
    /// An amount charged out of one grant.
    struct Part {
        std::shared_ptr<Grant> grant;
        Tokens tokens;
    };

    GrantLedger(const Clock& clock, Reporter reporter);

    /// Adds an amount that was granted.
    ///
    /// @param expiry time from which it can no longer be charged.
    void add(
        const HostId& holder, uint64_t seq, const TokenAmount& amount, QuotaKind kind, MonotonicTime expiry);

    /// @return the amount that can be charged now.
    Tokens available(const WorkspaceId& workspace);

    /// Charges an amount, from the grants that expire first.
    ///
    /// @param tokens at most available().
    std::vector<Part> charge(const WorkspaceId& workspace, Tokens tokens);

    /// Refunds the unused part of a charge, starting with its last part.
    void refund(const std::vector<Part>& parts, Tokens unused);

    /// Gives back all available amounts of a workspace that expire before a time.
    void releaseExpiringBefore(const WorkspaceId& workspace, MonotonicTime time);
    /// Gives back all available amounts of all workspaces that expire before a time.
    void releaseExpiringBefore(MonotonicTime time);

    /// @return true if anything is available or to be reported.
    bool isActive() const { return !m_available.empty() || !m_changed.empty(); }

    /// Reports all changes.
    void flush();

private:
    using GrantQueue = std::deque<std::shared_ptr<Grant>>;

    void release(GrantQueue& grants, MonotonicTime time);
    void markChanged(const std::shared_ptr<Grant>& grant);

    const Clock& m_clock;
    Reporter m_reporter;
    /// Grants with an available amount, by expiry.
    std::map<WorkspaceId, GrantQueue> m_available;
    std::vector<std::shared_ptr<Grant>> m_changed;
};

} // namespace lacewing
