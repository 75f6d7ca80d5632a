#include "coordination/simulated_daemon.h"

#include <utility>

namespace lacewing {

namespace {

constexpr Duration longestDrain = std::chrono::milliseconds(500);

} // namespace

SimulatedDaemon::SimulatedDaemon(
    SimulatedFleet& fleet, size_t index, FleetMemberSettings settings, uint64_t seed)
    : m_fleet(fleet)
    , m_index(index)
    , m_host(settings.session.host)
    , m_random(seed)
    , m_scheduler(fleet.m_scheduler)
    , m_member(
          std::move(settings), m_scheduler, *this, *this, *this, *this,
          [] {
              LocalStatus status;
              status.state = DaemonState::Live;
              return status;
          },
          fleet.m_rules, seed)
{
    m_member.leases().setNames(fleet.m_leases);
    m_member.start();
}

void SimulatedDaemon::stop(std::function<void()> done)
{
    m_member.leave();
    m_scheduler.runAfter(
        std::chrono::seconds(6), [this, done = std::move(done)] { m_member.finishLeaving(done); });
}

void SimulatedDaemon::read(std::vector<std::string> keys, RowsCallback callback)
{
    m_fleet.m_hosts[m_index].table->read(std::move(keys), deferred(std::move(callback)));
}

void SimulatedDaemon::list(std::string prefix, RowsCallback callback)
{
    m_fleet.m_hosts[m_index].table->list(std::move(prefix), deferred(std::move(callback)));
}

void SimulatedDaemon::commit(TableTransaction transaction, CommitCallback callback)
{
    m_fleet.m_hosts[m_index].table->commit(std::move(transaction),
        m_lifetime.guard([this, callback = std::move(callback)](std::optional<TableError> error) {
            m_scheduler.runAfter(Duration::zero(), [callback, error] { callback(error); });
        }));
}

TableService::RowsCallback SimulatedDaemon::deferred(RowsCallback callback)
{
    return m_lifetime.guard([this, callback = std::move(callback)](
                                const std::vector<TableRow>& rows, std::optional<TableError> error) {
        m_scheduler.runAfter(Duration::zero(), [callback, rows, error] { callback(rows, error); });
    });
}

bool SimulatedDaemon::send(const HostId& peer, const PeerMessage& message)
{
    const size_t to = m_fleet.indexOf(peer);
    if (!m_fleet.isLinked(m_index, to))
        return false;
    SimulatedFleet& fleet = m_fleet;
    fleet.m_network.send(m_host, peer, [&fleet, to, from = m_host, message] {
        if (FleetMember* member = fleet.memberOrNull(to))
            member->received(from, message);
    });
    return true;
}

void SimulatedDaemon::connect(const HostId& peer, const std::string&)
{
    m_fleet.connect(m_index, m_fleet.indexOf(peer));
}

void SimulatedDaemon::disconnect(const HostId& peer)
{
    m_fleet.breakLink(m_index, m_fleet.indexOf(peer), DisconnectReason::Unreachable);
}

void SimulatedDaemon::handOverRequested(const std::string& name)
{
    const auto drain = static_cast<int64_t>(m_random.below(static_cast<uint64_t>(longestDrain.count())));
    m_scheduler.runAfter(Duration(drain), [this, name] { m_member.leases().release(name); });
}

} // namespace lacewing
