#pragma once

#include "base/scheduler.h"
#include "coordination/grant_ledger.h"
#include "coordination/level_hints.h"
#include "coordination/partition_holder.h"

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

/// Answer to TokenWallet::reserve().
struct ReserveResult {
    std::optional<Reservation> reservation;
    /// Set if there is no reservation.
    std::optional<ReserveError> error;
    /// When the same amount may be available. Zero if never.
    Duration retryAfter = Duration::zero();
};

/// Charges requests at an entry. It gathers amounts from the own holder first, then from peers.
///
/// Requests of one workspace are served in order of arrival, so small ones can't starve a large one. A
/// request that can't be served at once waits until its deadline, but is refused as soon as the holders'
/// answers show that even the refill until then does not suffice.
class TokenWallet {
public:
    using ReserveCallback = std::function<void(const ReserveResult& result)>;
    /// Called for every amount that is charged, also for debts, which have no reservation.
    using ChargeObserver = std::function<void(
        const WorkspaceId& workspace, Tokens tokens, std::optional<uint64_t> reservation)>;

    /// @param self, incarnation of this daemon. Grants to earlier incarnations are never used.
    /// @param holder the own holder; must outlive the wallet, as the scheduler and the messenger.
    TokenWallet(Scheduler& scheduler, PeerMessenger& messenger, PartitionHolder& holder, HostId self,
        Incarnation incarnation);
    ~TokenWallet();
    TokenWallet(const TokenWallet&) = delete;
    TokenWallet& operator=(const TokenWallet&) = delete;

    void setChargeObserver(ChargeObserver observer) { m_chargeObserver = std::move(observer); }

    void setLimits(const AllotmentLimits& limits);

    /// Sets which hosts hold how many partitions. The own host is left out of account. A peer that is missing
    /// is not asked, which only costs its share.
    void setHolders(const std::map<HostId, int>& partitionsByHost);

    /// Charges an amount to a workspace.
    ///
    /// @param deadline when to give up waiting.
    /// @param callback called exactly once unless the wallet is destroyed, perhaps before this call returns.
    void reserve(
        const WorkspaceId& workspace, Tokens tokens, MonotonicTime deadline, ReserveCallback callback);

    /// Ends a reservation. Call it once for each. The unused part goes back to where it came from; use beyond
    /// the reservation becomes a debt, which is charged before any later reservation of the workspace here.
    ///
    /// @param used what the request used; zero if it was not run.
    void settle(const Reservation& reservation, Tokens used);

    /// Handles a peer's answer to an ask.
    void handleGrant(const HostId& peer, const QuotaGrant& grant);

    /// Refuses what waits, gives back what is available, and refuses all later reservations.
    void stop();

    /// @return the amount that could be charged now without asking anyone. For checks and metrics.
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
        LevelHints hints;
        /// Tokens charged here recently, decaying with recentUseTime.
        double recentUse = 0;
        MonotonicTime usedAt = MonotonicTime::min();
        TimerId timer = 0;
    };
    struct Ask {
        HostId peer;
        MonotonicTime sentAt;
        std::vector<WorkspaceId> workspaces;
    };
    using Done = std::pair<ReserveCallback, ReserveResult>;

    Workspace* workspace(const WorkspaceId& id);
    void pump(const WorkspaceId& id);
    void serve(const WorkspaceId& id, Workspace& state);
    void payDebt(const WorkspaceId& id, Workspace& state);
    void chargeFront(const WorkspaceId& id, Workspace& state);
    void refuseHopeless(const WorkspaceId& id, Workspace& state);
    void refuse(Waiting& waiting, ReserveError error, Duration retryAfter);
    Tokens wanted(const WorkspaceId& id, const Workspace& state);
    /// @return what is charged here in a time, by recent use.
    Tokens usedWithin(const Workspace& state, double seconds) const;
    Tokens wantedAhead(const WorkspaceId& id, const Workspace& state);
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
    void finish();

    Scheduler& m_scheduler;
    PeerMessenger& m_messenger;
    PartitionHolder& m_holder;
    HostId m_self;
    uint64_t m_nextSeq;
    uint64_t m_nextReservation = 1;
    bool m_isStopped = false;
    ChargeObserver m_chargeObserver;
    AllotmentLimits m_limits;
    std::map<HostId, int> m_partitionsByHost;
    GrantLedger m_ledger;
    std::map<WorkspaceId, Workspace> m_workspaces;
    std::unordered_map<uint64_t, std::vector<GrantLedger::Part>> m_reservations;
    std::map<HostId, std::vector<TokenAmount>> m_outbox;
    std::map<uint64_t, Ask> m_asks;
    /// Answers to give once the state is consistent; a callback may call the wallet again.
    std::vector<Done> m_done;
    TimerId m_askTimer = 0;
    TimerId m_reportTimer = 0;
    TimerId m_maintenanceTimer = 0;
    /// Ends when the wallet is destroyed; timers of single asks check it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lacewing
