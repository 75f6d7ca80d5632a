#pragma once

#include "coordination/budgeted_table.h"
#include "coordination/call_budget.h"
#include "coordination/lease_assignment.h"
#include "coordination/lease_manager.h"
#include "coordination/membership.h"
#include "coordination/safety_rules.h"
#include "coordination/session_directory.h"
#include "coordination/session_guardian.h"
#include "coordination/session_manager.h"

namespace lacewing {

struct FleetMemberSettings {
    SessionSettings session;
    LeaseSettings leases;
    std::vector<PeerSeed> seeds;
};

/// Combines a daemon's session, guardian duty, membership and leases into one object.
class FleetMember : private LeaseFleetView {
public:
    /// All references must outlive the object.
    ///
    /// @param status describes this daemon; its state is overridden by Leaving after leave().
    FleetMember(FleetMemberSettings settings, Scheduler& scheduler, TableService& table,
        PeerMessenger& messenger, PeerConnector& connector, LeaseListener& listener,
        std::function<LocalStatus()> status, const SafetyRules& rules, uint64_t seed);

    /// Joins the fleet. The daemon's listening socket must be bound already.
    void start();

    /// Handles a message from a peer.
    ///
    /// @return false if this class does not handle the message's type.
    bool received(const HostId& peer, const PeerMessage& message);
    void connected(const HostId& peer) { m_membership.connected(peer); }
    void disconnected(const HostId& peer, DisconnectReason reason)
    {
        m_membership.disconnected(peer, reason);
    }

    /// Step 1 of a graceful stop: tells peers and the session row that this daemon is leaving.
    void leave();
    /// Steps 5 and 6: hands over all leases, ends the session and sends a goodbye.
    ///
    /// @param done is called on completion; it is not called while the table is unavailable.
    void finishLeaving(std::function<void()> done);

    CallBudget& budget() { return m_budget; }
    const SessionDirectory& directory() const { return m_directory; }
    SessionDirectory& directory() { return m_directory; }
    SessionManager& session() { return m_session; }
    SessionGuardian& guardianDuty() { return m_guardianDuty; }
    const Membership& membership() const { return m_membership; }
    Membership& membership() { return m_membership; }
    LeaseManager& leases() { return m_leases; }
    /// @return the table limited by this daemon's call budget, for other users of the table.
    TableService& table() { return m_normalTable; }
    /// @return this daemon's current status, as sent in heartbeats.
    LocalStatus status() const;

private:
    std::vector<LeaseHost> leaseHosts() const override;
    bool isAlive(const HostId& peer) const override;
    size_t fleetSize() const override { return m_membership.fleetSize(); }

    std::vector<GuardianCandidate> guardianCandidates() const;
    bool isCutOff() const;
    bool isSuspectedDead(const HostId& peer) const;

    FleetMemberSettings m_settings;
    Scheduler& m_scheduler;
    std::function<LocalStatus()> m_status;
    CallBudget m_budget;
    BudgetedTable m_normalTable;
    BudgetedTable m_urgentTable;
    SessionDirectory m_directory;
    SessionManager m_session;
    SessionGuardian m_guardianDuty;
    Membership m_membership;
    BoundedLoadAssignment m_assignment;
    LeaseManager m_leases;
};

} // namespace lacewing
