#include "coordination/fleet_member.h"

#include <utility>

namespace lacewing {

namespace {

/// A peer that has not answered for this long is no longer preferred as a lease holder, even if its session
/// is still valid.
constexpr Duration suspectedDeadTimeout = std::chrono::seconds(10);

} // namespace

FleetMember::FleetMember(FleetMemberSettings settings, Scheduler& scheduler, TableService& table,
    PeerMessenger& messenger, PeerConnector& connector, LeaseListener& listener,
    std::function<LocalStatus()> status, const SafetyRules& rules, uint64_t seed)
    : m_settings(std::move(settings))
    , m_scheduler(scheduler)
    , m_status(std::move(status))
    , m_budget(scheduler)
    , m_normalTable(table, scheduler, m_budget, CallPriority::Normal)
    , m_urgentTable(table, scheduler, m_budget, CallPriority::Urgent)
    , m_directory(m_normalTable, scheduler, seed + 1)
    , m_session(
          m_settings.session, m_urgentTable, scheduler, m_directory, rules,
          [this] { return guardianCandidates(); }, seed + 2)
    , m_guardianDuty(
          m_settings.session.host, [this] { return m_session.incarnation(); }, m_settings.session.guardTtl,
          m_normalTable, scheduler, m_directory, rules, seed + 3)
    , m_membership(
          { m_settings.session.host, m_settings.seeds }, scheduler, messenger, connector, m_directory,
          [this] { return this->status(); }, [this] { return m_session.incarnation(); },
          [this] { return m_budget.tableUp(); }, seed + 4)
    , m_leases(m_settings.leases, m_session, m_directory, m_normalTable, scheduler, m_assignment, *this,
          rules, listener, seed + 5)
{
    m_membership.addListener([this](const PeerInfo&) {
        m_budget.setFleetSize(m_membership.fleetSize());
        m_leases.fleetChanged();
    });
}

void FleetMember::start()
{
    m_directory.start();
    m_session.start();
    m_guardianDuty.start();
    m_membership.start();
    m_leases.start();
}

bool FleetMember::received(const HostId& peer, const PeerMessage& message)
{
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
        const bool guarding = m_guardianDuty.promise(peer, heartbeat->incarnation);
        m_membership.heartbeatReceived(peer, *heartbeat, guarding);
        return true;
    }
    if (const auto* ack = std::get_if<HeartbeatAck>(&message)) {
        if (const auto sentAt = m_membership.ackReceived(peer, *ack))
            m_session.heartbeatAcknowledged(peer, *ack, *sentAt);
        return true;
    }
    if (const auto* goodbye = std::get_if<Goodbye>(&message)) {
        m_membership.goodbyeReceived(peer, *goodbye);
        return true;
    }
    return false;
}

void FleetMember::leave()
{
    m_session.leave();
    m_membership.sendHeartbeatNow();
}

void FleetMember::finishLeaving(std::function<void()> done)
{
    m_leases.releaseAll([this, done = std::move(done)] {
        m_session.end([this, done] {
            m_membership.sendGoodbye();
            done();
        });
    });
}

LocalStatus FleetMember::status() const
{
    LocalStatus status = m_status();
    if (m_session.isLeaving())
        status.state = DaemonState::Draining;
    return status;
}

std::vector<LeaseHost> FleetMember::leaseHosts() const
{
    std::vector<LeaseHost> hosts;
    const HostId& self = m_settings.session.host;
    if (m_session.incarnation() != Incarnation(0) && !m_session.isLeaving() && !isCutOff())
        hosts.push_back({ self, m_settings.session.dataCentre });
    for (const auto& [host, entry] : m_directory.entries()) {
        if (host != self && entry.row.state == SessionState::Live && !isSuspectedDead(host))
            hosts.push_back({ host, entry.row.dataCentre });
    }
    return hosts;
}

bool FleetMember::isAlive(const HostId& peer) const
{
    const PeerInfo* info = m_membership.find(peer);
    return info && (info->state == PeerState::Alive || !info->tried);
}

std::vector<GuardianCandidate> FleetMember::guardianCandidates() const
{
    std::vector<GuardianCandidate> candidates;
    for (const auto& [host, info] : m_membership.peers()) {
        const bool answers = info.linked && info.state == PeerState::Alive
            && m_scheduler.now() - info.lastAnswer < m_settings.session.guardianTimeout;
        if (answers && info.incarnation != Incarnation(0) && info.daemonState != DaemonState::Draining)
            candidates.push_back({ host, info.incarnation, info.dataCentre, info.region });
    }
    return candidates;
}

bool FleetMember::isCutOff() const
{
    if (m_directory.activeCountExcept(m_settings.session.host) == 0)
        return false;
    for (const auto& [host, info] : m_membership.peers()) {
        // A refused connection shows that the network works.
        if (info.state == PeerState::Alive || info.state == PeerState::Stopped)
            return false;
    }
    return true;
}

bool FleetMember::isSuspectedDead(const HostId& peer) const
{
    const PeerInfo* info = m_membership.find(peer);
    if (!info || !info->tried)
        return false;
    if (info->daemonState == DaemonState::Draining)
        return true;
    return info->state != PeerState::Alive && m_scheduler.now() - info->stateSince >= suspectedDeadTimeout;
}

} // namespace lacewing
