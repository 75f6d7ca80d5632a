#include "coordination/simulated_fleet.h"

#include "coordination/simulated_daemon.h"

#include <utility>

namespace lacewing {

namespace {

constexpr Duration connectDelay = std::chrono::milliseconds(2);
constexpr Duration connectTimeout = std::chrono::seconds(1);
/// A link is closed after this time without received data.
constexpr Duration linkTimeout = std::chrono::seconds(3);

} // namespace

SimulatedFleet::SimulatedFleet(const SimulatedFleetOptions& options)
    : m_options(options)
    , m_rules(options.rules ? *options.rules : m_defaultRules)
    , m_random(options.seed)
    , m_table(m_scheduler, options.seed + 1)
    , m_network(m_scheduler, options.seed + 2)
    , m_hosts(options.daemons)
{
    const auto dataCentre
        = [&](size_t index) { return DataCentreId("dc" + std::to_string(index % options.dataCentres)); };
    for (size_t i = 0; i < options.upstreams; ++i)
        m_leases.push_back({ "upstream/u" + std::to_string(i), dataCentre(i) });
    for (size_t i = 0; i < options.partitions; ++i)
        m_leases.push_back({ "allotment/" + std::to_string(i), DataCentreId() });
    for (size_t i = 0; i < options.daemons; ++i) {
        Host& host = m_hosts[i];
        host.id = HostId("h" + std::to_string(i));
        host.dataCentre = dataCentre(i);
        host.table = m_table.client(host.id);
        m_indices[host.id] = i;
    }
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::start(size_t index)
{
    Host& host = m_hosts[index];
    ++host.process;
    host.hostDown = false;
    host.stopped = false;
    host.daemon = std::make_unique<SimulatedDaemon>(*this, index, settingsOf(index), m_random.next());
}

void SimulatedFleet::crash(size_t index, bool hostDown)
{
    Host& host = m_hosts[index];
    host.daemon.reset();
    host.hostDown = hostDown;
    m_network.crash(host.id);
    unlinkAll(index, hostDown ? DisconnectReason::Unreachable : DisconnectReason::Refused,
        hostDown ? linkTimeout : connectDelay);
}

void SimulatedFleet::pause(size_t index)
{
    m_hosts[index].daemon->scheduler().setPaused(true);
    m_network.setPaused(m_hosts[index].id, true);
}

void SimulatedFleet::resume(size_t index)
{
    m_hosts[index].daemon->scheduler().setPaused(false);
    m_network.setPaused(m_hosts[index].id, false);
}

void SimulatedFleet::setCutOff(size_t index, bool cutOff)
{
    m_hosts[index].cutOff = cutOff;
    for (size_t other = 0; other < size(); ++other) {
        if (other != index)
            m_network.setConnected(m_hosts[index].id, m_hosts[other].id, !cutOff && !m_hosts[other].cutOff);
    }
    if (cutOff)
        m_scheduler.runAfter(linkTimeout, [this, index] { breakTimedOutLinks(index); });
}

void SimulatedFleet::stop(size_t index)
{
    Host& host = m_hosts[index];
    host.daemon->stop([this, index, process = host.process] {
        m_scheduler.runAfter(connectDelay, [this, index, process] {
            if (m_hosts[index].process != process || !m_hosts[index].daemon)
                return;
            crash(index, false);
            m_hosts[index].stopped = true;
        });
    });
}

bool SimulatedFleet::isPaused(size_t index) const
{
    return m_hosts[index].daemon && m_hosts[index].daemon->scheduler().isPaused();
}

FleetMember* SimulatedFleet::memberOrNull(size_t index)
{
    return m_hosts[index].daemon ? &m_hosts[index].daemon->member() : nullptr;
}

size_t SimulatedFleet::indexOf(const HostId& host) const
{
    return m_indices.at(host);
}

bool SimulatedFleet::canReach(size_t from, size_t to) const
{
    return !m_hosts[from].cutOff && !m_hosts[to].cutOff && !m_hosts[to].hostDown;
}

bool SimulatedFleet::isLinked(size_t a, size_t b) const
{
    return m_links.count(std::minmax(a, b)) != 0;
}

void SimulatedFleet::connect(size_t from, size_t to)
{
    const bool reached = canReach(from, to) && !isPaused(to);
    m_scheduler.runAfter(
        reached ? connectDelay : connectTimeout, [this, from, to, reached, process = m_hosts[from].process] {
            if (m_hosts[from].process != process || !m_hosts[from].daemon)
                return;
            if (!reached || !m_hosts[to].daemon || !canReach(from, to)) {
                const bool refused = reached && canReach(from, to);
                notify(from, [to = m_hosts[to].id, refused](FleetMember& member) {
                    member.disconnected(
                        to, refused ? DisconnectReason::Refused : DisconnectReason::Unreachable);
                });
                return;
            }
            m_links.insert(std::minmax(from, to));
            notify(from, [peer = m_hosts[to].id](FleetMember& member) { member.connected(peer); });
            notify(to, [peer = m_hosts[from].id](FleetMember& member) { member.connected(peer); });
        });
}

void SimulatedFleet::unlinkAll(size_t index, DisconnectReason reason, Duration delay)
{
    for (size_t other = 0; other < size(); ++other) {
        if (!isLinked(index, other))
            continue;
        m_links.erase(std::minmax(index, other));
        m_scheduler.runAfter(delay, [this, index, other, reason] {
            if (isLinked(index, other))
                return;
            notify(other, [peer = m_hosts[index].id, reason](FleetMember& member) {
                member.disconnected(peer, reason);
            });
        });
    }
}

void SimulatedFleet::breakLink(size_t a, size_t b, DisconnectReason reason)
{
    if (m_links.erase(std::minmax(a, b)) == 0)
        return;
    notify(a, [peer = m_hosts[b].id, reason](FleetMember& member) { member.disconnected(peer, reason); });
    notify(b, [peer = m_hosts[a].id, reason](FleetMember& member) { member.disconnected(peer, reason); });
}

void SimulatedFleet::breakTimedOutLinks(size_t index)
{
    if (!m_hosts[index].cutOff)
        return;
    for (size_t other = 0; other < size(); ++other)
        breakLink(index, other, DisconnectReason::Unreachable);
}

void SimulatedFleet::notify(size_t index, std::function<void(FleetMember&)> event)
{
    if (!m_hosts[index].daemon)
        return;
    m_hosts[index].daemon->scheduler().runAfter(
        Duration::zero(), [this, index, event = std::move(event)] { event(*memberOrNull(index)); });
}

FleetMemberSettings SimulatedFleet::settingsOf(size_t index) const
{
    FleetMemberSettings settings;
    settings.session = m_options.session;
    settings.session.host = m_hosts[index].id;
    settings.session.dataCentre = m_hosts[index].dataCentre;
    settings.session.region = RegionId("r");
    settings.session.address = "127.0.0.1:" + std::to_string(7000 + index);
    for (size_t i = 0; i < std::min<size_t>(size(), 3); ++i)
        settings.seeds.push_back({ m_hosts[i].id, "127.0.0.1:" + std::to_string(7000 + i) });
    return settings;
}

} // namespace lacewing
