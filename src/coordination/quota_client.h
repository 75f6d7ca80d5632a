#pragma once

#include "base/scheduler.h"
#include "coordination/grant_ledger.h"
#include "coordination/partition_holder.h"
#include "coordination/peer_level_estimates.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace lacewing {

/// An amount that was charged to a request.
struct Reservation {
    uint64_t id = 0;
    WorkspaceId workspace;
    Tokens tokens;
};

/// Why a reservation was refused.
enum class ReserveError {
    /// The workspace has used up its rate and burst.
    RateLimited,
    /// The amount exceeds the burst and can never be reserved.
    ExceedsBurst,
    /// The configuration has no such workspace.
    UnknownWorkspace,
    /// The daemon is stopping.
    Stopping,
};

/// @return the error's name in snake_case, for logs, metrics and answers.
const char* toString(ReserveError error);

/// Answer to QuotaClient::reserve().
struct ReserveResult {
    std::optional<Reservation> reservation;
    /// Set if there is no reservation.
    std::optional<ReserveError> error;
    /// When the same amount may be available. Zero if never.
    Duration retryAfter = Duration::zero();
};

/// Charges requests to the fleet-wide limits of their workspaces, at the daemon where they enter. It obtains
/// amounts from the local holder first, then from peers.
///
/// Load pattern: a workspace's requests that arrive unevenly over the daemons, in bursts, or above its limit.
///
/// Requests of one workspace are served in order of arrival, so small ones can't starve a large one. A
/// request that can't be served at once is queued until its deadline, but is refused as soon as the holders'
/// answers show that the refill until then can't cover it.
class QuotaClient {
public:
    using ReserveCallback = std::function<void(const ReserveResult& result)>;
    /// Called for every charge, including the repayment of debts, which has no reservation.
    using ChargeObserver = std::function<void(
        const WorkspaceId& workspace, Tokens tokens, std::optional<uint64_t> reservation)>;

    /// @param self, incarnation of this daemon. Grants to earlier incarnations are never used.
    /// @param holder the local holder. It, the scheduler and the messenger must outlive the client.
    QuotaClient(Scheduler& scheduler, PeerMessenger& messenger, PartitionHolder& holder, HostId self,
        Incarnation incarnation);
    ~QuotaClient();
    QuotaClient(const QuotaClient&) = delete;
    QuotaClient& operator=(const QuotaClient&) = delete;

    void setChargeObserver(ChargeObserver observer) { m_chargeObserver = std::move(observer); }

    void setLimits(const QuotaLimits& limits);

    /// Sets how many partitions each host holds. The own host is ignored. A missing peer is not asked, so
    /// that only its share is unavailable here.
    void setHolders(const std::map<HostId, int>& partitionsByHost);

    /// Charges an amount to a workspace.
    ///
    /// @param deadline when to give up waiting.
    /// @param callback called exactly once unless the client is destroyed, possibly before this call returns.
    void reserve(
        const WorkspaceId& workspace, Tokens tokens, MonotonicTime deadline, ReserveCallback callback);

    /// Ends a reservation. Call it once for each. The unused part is refunded to its holders; use beyond
    /// the reservation becomes a debt, which is charged before any later reservation of the workspace here.
    ///
    /// @param used what the request used; zero if it was not run.
    void settle(const Reservation& reservation, Tokens used);

    /// Handles a peer's answer to an ask.
    void handleGrant(const HostId& peer, const QuotaGrant& grant);

    /// Refuses all queued and later requests, and returns all available amounts to their holders.
    void stop();

    /// @return the amount that could be charged now without asking a holder. For checks and metrics.
    Tokens available(const WorkspaceId& workspace) { return m_ledger.available(workspace); }
    Tokens debt(const WorkspaceId& workspace) const;

private:
    struct Waiting {
        Tokens tokens;
        MonotonicTime deadline;
        ReserveCallback callback;
    };
    struct Workspace {
        std::deque<Waiting> queue;
        Tokens debt;
        PeerLevelEstimates peerLevels;
        /// Tokens charged here recently, decaying exponentially with recentUseSeconds.
        double recentUse = 0;
        MonotonicTime usedAt = MonotonicTime::min();
        TimerId timer = 0;
    };
    struct Ask {
        HostId peer;
        MonotonicTime sentAt;
        std::vector<WorkspaceId> workspaces;
    };
    using PendingReply = std::pair<ReserveCallback, ReserveResult>;

    Workspace* workspace(const WorkspaceId& id);
    void serveAndAsk(const WorkspaceId& id);
    void serve(const WorkspaceId& id, Workspace& state);
    void payDebt(const WorkspaceId& id, Workspace& state);
    void chargeFront(const WorkspaceId& id, Workspace& state);
    void refuseUnservable(const WorkspaceId& id, Workspace& state);
    void refuse(Waiting& waiting, ReserveError error, Duration retryAfter);
    Tokens wanted(const WorkspaceId& id, const Workspace& state);
    /// @return the amount expected to be charged here in a number of seconds, from recent use.
    Tokens usedWithin(const Workspace& state, double seconds) const;
    Tokens prefetchAmount(const WorkspaceId& id, const Workspace& state);
    bool askOwnHolder(const WorkspaceId& id, Workspace& state);
    void askPeers(const WorkspaceId& id, Workspace& state);
    Tokens ownLevel(const WorkspaceId& id);
    Tokens ownRefill(const WorkspaceId& id, Duration duration) const;
    double ownFullness(const WorkspaceId& id);
    void armTimer(const WorkspaceId& id, Workspace& state);

    void sendAsks();
    void timeOut(uint64_t seq);
    void sendReport(const HostId& holder, const QuotaReturn& report);
    void scheduleReports();
    void armMaintenance();
    void maintain();
    void deliverReplies();

    Scheduler& m_scheduler;
    PeerMessenger& m_messenger;
    PartitionHolder& m_holder;
    HostId m_self;
    uint64_t m_nextSeq;
    uint64_t m_nextReservation = 1;
    bool m_isStopped = false;
    ChargeObserver m_chargeObserver;
    QuotaLimits m_limits;
    std::map<HostId, int> m_partitionsByHost;
    GrantLedger m_ledger;
    std::map<WorkspaceId, Workspace> m_workspaces;
    std::unordered_map<uint64_t, std::vector<GrantLedger::Part>> m_reservations;
    std::map<HostId, std::vector<TokenAmount>> m_queuedAsks;
    std::map<uint64_t, Ask> m_asks;
    /// Replies to deliver once the state is consistent, since a callback may call the client again.
    std::vector<PendingReply> m_pendingReplies;
    TimerId m_askTimer = 0;
    TimerId m_reportTimer = 0;
    TimerId m_maintenanceTimer = 0;
    /// False once the client is destroyed. Checked by the timers of asks, which are not cancelled.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lacewing
