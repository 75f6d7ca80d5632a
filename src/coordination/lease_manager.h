#pragma once

#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "base/random.h"
#include "coordination/backoff.h"
#include "coordination/lease_assignment.h"
#include "coordination/lease_row.h"
#include "coordination/safety_rules.h"
#include "coordination/session_directory.h"
#include "coordination/session_manager.h"
#include "state/table_service.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

struct LeaseSettings {
    /// A holder hands a lease over after another daemon has been preferred for this long.
    Duration handOverDelay = std::chrono::seconds(5);
    /// Delay after the start before any lease is taken, so that daemons that start together divide the leases
    /// among themselves instead of handing them over later.
    Duration startDelay = std::chrono::milliseconds(1500);
};

/// Receives changes of the leases that this daemon holds.
class LeaseListener {
public:
    virtual ~LeaseListener() = default;

    virtual void leaseAcquired(const std::string& name, FencingNumber fencingNumber) = 0;
    /// The lease was released or the session ended. The daemon must no longer act under the lease.
    virtual void leaseLost(const std::string& name) = 0;
    /// Another daemon should hold the lease, or none if it is not configured any more. The listener finishes
    /// its work under the lease and calls LeaseManager::release().
    virtual void handOverRequested(const std::string& name) = 0;
};

/// The state of the fleet that the lease manager depends on.
class LeaseFleetView {
public:
    virtual ~LeaseFleetView() = default;

    /// @return the daemons that may hold leases. It includes this daemon only if it may take some.
    virtual std::vector<LeaseHost> leaseHosts() const = 0;
    /// @return whether a peer currently answers heartbeats.
    virtual bool isAlive(const HostId& peer) const = 0;
    /// @return the number of daemons in the fleet, at least 1.
    virtual size_t fleetSize() const = 0;
};

/// Takes, holds and hands over leases on behalf of this daemon's session (section 4.1 of docs/design.md).
///
/// It suits leases whose preferred holder changes only when daemons join, leave or fail: only wanted leases
/// that this daemon does not hold are polled, and the interval between list calls grows with the fleet, which
/// bounds the load on the table.
///
/// Only one table operation is in flight at a time, so that no response predates the previous operation.
class LeaseManager : public SessionListener {
public:
    /// All references must outlive the manager.
    LeaseManager(LeaseSettings settings, SessionManager& session, SessionDirectory& directory,
        TableService& table, Scheduler& scheduler, const LeaseAssignment& assignment,
        const LeaseFleetView& fleet, const SafetyRules& rules, LeaseListener& listener, uint64_t seed);

    void start();
    /// Sets which leases exist. This daemon takes those that it is the preferred holder of.
    void setNames(std::vector<LeaseName> names);
    /// Schedules a re-evaluation of the preferred holders after a change of peers or sessions.
    void fleetChanged();

    /// @return whether this daemon holds the lease and may act under it now and for at least the margin.
    bool mayAct(const std::string& name, Duration margin = Duration::zero());
    /// @return the fencing number of a lease that is held.
    std::optional<FencingNumber> fencingNumber(const std::string& name) const;
    /// @return the names and fencing numbers of the leases that are held, whether or not the session is
    /// valid.
    std::map<std::string, FencingNumber> held() const;

    /// Releases a lease. Another daemon can take it immediately.
    void release(const std::string& name);
    /// Releases all leases and takes no more.
    ///
    /// @param done is called when all rows are written, or when the session has ended.
    void releaseAll(std::function<void()> done);

    /// @return the last known row of the lease, or std::nullopt. It may be stale between two reads of the
    /// table.
    std::optional<LeaseRow> holderOf(const std::string& name) const;
    /// @return the preferred holder of the lease; empty if no daemon is eligible.
    HostId preferredHolder(const std::string& name) const;
    /// Counts changes of held().
    uint64_t changeCount() const { return m_changeCount; }

    void sessionEnded() override;

private:
    struct HeldLease {
        FencingNumber fencingNumber;
        /// Time since which another daemon has been preferred.
        std::optional<MonotonicTime> otherPreferredSince;
        bool isHandOverPending = false;
        /// The lease had no holder for orphanDelay when this daemon took it.
        bool takenAsOrphan = false;
    };
    struct KnownLease {
        LeaseRow row;
        RowVersion version;
    };
    /// A transaction that takes leases.
    struct TakeBatch {
        TableTransaction transaction;
        std::vector<std::pair<std::string, LeaseRow>> leases;
    };

    void tick();
    void startNextOperation();
    void updatePreferred();
    void considerHandOver();
    void considerHandOver(const std::string& name, HeldLease& lease, MonotonicTime now);
    std::vector<std::string> wantedNames() const;
    bool mayTake();

    void poll();
    void pollCompleted(const std::vector<std::string>& names, const std::vector<TableRow>& rows);
    std::vector<std::string> pollKeys(const std::vector<std::string>& names) const;
    void takeUnheldLeases(const std::vector<std::string>& names);
    void addToTakeBatch(TakeBatch& take, const std::string& name);
    bool holderIsGone(const LeaseRow& row, std::vector<TableCondition>& conditions) const;
    void takeCompleted(const TakeBatch& take, std::optional<TableError> error);
    void listAll();
    void updateUnheldSince();
    bool isOrphan(const std::string& name) const;

    void writeReleases();
    void commitReleases(const std::vector<TableRow>& rows);
    void releaseCompleted(const std::string& name);
    void finishReleaseAll();

    void updateKnownLease(const TableRow& row);
    void recordHeldLease(const std::string& name, FencingNumber fencingNumber);
    bool isMine(const LeaseRow& row) const;
    /// Wraps a response callback so that it marks the operation as finished, and is discarded if the session
    /// has ended since the call.
    template <typename Function> auto guardResponse(Function function);
    std::string newWriteId();
    Duration jittered(Duration interval);
    void callFailed();

    LeaseSettings m_settings;
    SessionManager& m_session;
    SessionDirectory& m_directory;
    TableService& m_table;
    Scheduler& m_scheduler;
    const LeaseAssignment& m_assignment;
    const LeaseFleetView& m_fleet;
    const SafetyRules& m_rules;
    LeaseListener& m_listener;
    Random m_random;
    Backoff m_backoff;
    PeriodicTimer m_timer;

    std::vector<LeaseName> m_names;
    std::vector<LeaseHost> m_hosts;
    std::map<std::string, HostId> m_preferred;
    /// The leases that this daemon is the preferred holder of.
    std::vector<std::string> m_ownNames;
    std::map<std::string, HeldLease> m_held;
    std::set<std::string> m_releasing;
    std::map<std::string, KnownLease> m_known;
    /// Time since which each configured lease has had no holder, according to the list calls.
    std::map<std::string, MonotonicTime> m_unheldSince;
    std::function<void()> m_releasedAll;
    bool m_busy = false;
    bool m_stopping = false;
    bool m_namesChanged = false;
    bool m_fleetChanged = false;
    size_t m_batchSize;
    MonotonicTime m_startedAt {};
    MonotonicTime m_wantedSince {};
    MonotonicTime m_nextPoll {};
    MonotonicTime m_nextList {};
    MonotonicTime m_retryAt {};
    MonotonicTime m_nextReview {};
    /// Identifies the session, so that responses to calls of an earlier session are discarded.
    uint64_t m_epoch = 0;
    uint64_t m_writeCount = 0;
    uint64_t m_changeCount = 0;
    Lifetime m_lifetime;
};

} // namespace lacewing
