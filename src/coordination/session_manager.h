#pragma once

#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "base/random.h"
#include "coordination/backoff.h"
#include "coordination/safety_rules.h"
#include "coordination/session_directory.h"
#include "coordination/session_row.h"
#include "state/peer_messages.h"
#include "state/table_service.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing {

struct SessionSettings {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
    std::string address;
    std::string callerAddress;
    Duration guardTtl = std::chrono::seconds(6);
    /// A guardian that has not acknowledged a heartbeat for this long is replaced.
    Duration guardianTimeout = std::chrono::seconds(2);
    Duration ttl = std::chrono::minutes(20);
    Duration renewInterval = std::chrono::minutes(5);
    /// For a session without a guardian.
    Duration unguardedTtl = std::chrono::seconds(10);
    Duration unguardedRenewInterval = std::chrono::seconds(3);
    /// A daemon whose guardian does not answer and that reaches no other peer switches to a session without a
    /// guardian only after this delay. By then a live guardian has ended the session, so that a daemon that
    /// is partitioned from its peers but not from the table does not keep its leases.
    Duration unguardedFallbackDelay = std::chrono::seconds(12);
};

/// A responsive peer that is eligible as guardian of this daemon's session.
struct GuardianCandidate {
    HostId host;
    Incarnation incarnation;
    DataCentreId dataCentre;
    RegionId region;
};

/// Receives changes of this daemon's own session.
class SessionListener {
public:
    virtual ~SessionListener() = default;

    virtual void sessionBecameValid() { }
    /// The daemon must not act under its leases. The session still holds them and may become valid again.
    virtual void sessionLostValidity() { }
    /// The session has ended permanently, and all its leases are lost.
    virtual void sessionEnded() { }
};

/// Creates, renews and ends this daemon's own session row (section 4.1 of docs/design.md).
///
/// In steady state the guardian's heartbeat acknowledgements extend the session, and its row is renewed only
/// every few minutes, which keeps the write load on the table low in large fleets. A session without a
/// guardian is renewed every few seconds instead.
///
/// A write whose response is lost may have been committed. Until the row is read back, the session is valid
/// only if it is valid under both the row before the write and the row after it.
class SessionManager {
public:
    using Candidates = std::function<std::vector<GuardianCandidate>()>;

    /// All references must outlive the manager.
    ///
    /// @param candidates peers that have answered within the guardian timeout and are not leaving.
    SessionManager(SessionSettings settings, TableService& table, Scheduler& scheduler,
        SessionDirectory& directory, const SafetyRules& rules, Candidates candidates, uint64_t seed);

    /// Sets the addresses on which this daemon listens. Must be called before start().
    void setAddresses(std::string address, std::string callerAddress);
    /// Creates the session as a new incarnation. The daemon's listening socket must be bound already: it is
    /// the proof that the process of the earlier incarnation is gone.
    void start();
    /// Writes that the daemon is leaving. The session stays valid.
    void leave();
    /// Ends the session. All its leases must have been released.
    ///
    /// @param done is called when the row is written.
    void end(std::function<void()> done);

    /// @return whether the daemon may act now and for at least the given time from now. It reads the clock,
    /// so that a daemon notices that it was paused.
    bool isValid(Duration margin = Duration::zero());

    /// Records an acknowledged heartbeat.
    ///
    /// @param sentAt when this daemon sent the heartbeat.
    void heartbeatAcknowledged(const HostId& peer, const HeartbeatAck& ack, MonotonicTime sentAt);

    void addListener(SessionListener& listener) { m_listeners.push_back(&listener); }

    /// @return the incarnation, or 0 while there is no session.
    Incarnation incarnation() const { return m_confirmed ? m_confirmed->row.incarnation : Incarnation(0); }
    /// @return the version of the row, or std::nullopt while there is no session or a write is unresolved.
    std::optional<RowVersion> confirmedVersion() const;
    /// @return the guardian named in the row; empty if there is none.
    HostId guardian() const { return m_confirmed ? m_confirmed->row.guardian : HostId(); }
    bool isLeaving() const { return m_leaving; }
    /// @return whether another process has taken over this host's session. The daemon must stop then.
    bool wasReplaced() const { return m_phase == Phase::Replaced; }
    const SessionSettings& settings() const { return m_settings; }

private:
    enum class Phase { Idle, Creating, Live, Ending, Ended, Replaced };

    struct Acknowledgement {
        Incarnation incarnation;
        MonotonicTime validFrom;
        MonotonicTime receivedAt;
    };
    struct WrittenRow {
        SessionRow row;
        MonotonicTime sentAt;
        RowVersion version;
    };
    struct PendingWrite {
        WrittenRow written;
        TableTransaction transaction;
        RowVersion expectedVersion;
        /// An attempt got no response, so a failure of a later attempt doesn't prove that it was not
        /// committed.
        bool uncertain = false;
        /// The read-back found that the row was not written yet, so the write is sent again.
        bool resend = false;
    };

    void tick();
    void create();
    void maintain();
    void write(SessionRow row, RowVersion expectedVersion);
    void sendPending();
    void commitCompleted(std::optional<TableError> error);
    void readBack();
    void resolvePendingWrite(const std::vector<TableRow>& rows);
    void pendingWriteCommitted(RowVersion version);
    void handleForeignRow(const TableRow& row);
    void callFailed();
    void callSucceeded();
    void ownRowRead(const SessionEntry& entry);
    void loseSession(Phase next);
    void recomputeValidity();
    void notifyValidityChange();

    MonotonicTime validUntil(const WrittenRow& written) const;
    void chooseGuardian(SessionRow& row) const;
    std::optional<GuardianCandidate> bestCandidate(const HostId& except) const;
    /// @return the preference of a guardian's location, lower is better: another data centre of this region,
    /// this data centre, another region.
    int locationRank(const DataCentreId& dataCentre, const RegionId& region) const;
    int guardianLocationRank(const HostId& guardian) const;
    bool guardianAnswers(const SessionRow& row) const;

    SessionSettings m_settings;
    TableService& m_table;
    Scheduler& m_scheduler;
    SessionDirectory& m_directory;
    const SafetyRules& m_rules;
    Candidates m_candidates;
    Random m_random;
    Backoff m_backoff;
    PeriodicTimer m_timer;
    std::vector<SessionListener*> m_listeners;
    std::map<HostId, Acknowledgement> m_acknowledgements;
    std::optional<WrittenRow> m_confirmed;
    std::optional<PendingWrite> m_pending;
    std::function<void()> m_ended;
    Phase m_phase = Phase::Idle;
    MonotonicTime m_retryAt {};
    /// Identifies the session, so that responses to calls made before its loss are discarded.
    uint64_t m_epoch = 0;
    uint64_t m_writeCount = 0;
    bool m_calling = false;
    bool m_leaving = false;
    /// Time until which the session is known to be valid; MonotonicTime::min() if there is no session.
    MonotonicTime m_validUntil = MonotonicTime::min();
    bool m_wasValid = false;
    Lifetime m_lifetime;
};

} // namespace lacewing
