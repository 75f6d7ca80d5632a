#include "experiment/limit_simulation.h"

#include "gateway/heartbeat_interval.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace lacewing::experiment {

using gateway::PeerMessage;
using gateway::PeerUpstreamLimit;
using gateway::PermitAnswer;
using gateway::RequestRate;
using gateway::UpstreamLimit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration linkDelay = milliseconds(1);
constexpr Duration shortestWork = milliseconds(5);
constexpr Duration longestWork = milliseconds(65);
/// Start of the process of each upstream.
constexpr int64_t startedAt = 1;

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

struct LimitSimulation::Host {
    Host(LimitSimulation& fleet, const HostId& id)
        : limits(id)
        , permits(fleet.m_scheduler, limits, id,
              { [&fleet, id](const HostId& peer, const PeerMessage& message) {
                   fleet.send(id, peer, message);
                   return true;
               },
                  [&fleet, id, this] {
                      std::set<HostId> deciders = fleet.peersInTouch(*this);
                      deciders.insert(id);
                      return deciders;
                  },
                  [&fleet, this] {
                      const auto inTouch = static_cast<double>(fleet.peersInTouch(*this).size());
                      return (inTouch + 1) / static_cast<double>(fleet.m_hosts.size());
                  },
                  [](const UpstreamId&) { return false; } })
    {
    }

    gateway::UpstreamLimits limits;
    gateway::UpstreamPermits permits;
    /// Times of the peers' last heartbeats.
    std::map<HostId, MonotonicTime> heard;
    /// Expires with the process.
    std::shared_ptr<char> life = std::make_shared<char>();
};

LimitSimulation::LimitSimulation(const Shape& shape, uint64_t seed)
    : m_random(seed)
    , m_network(m_scheduler, seed)
    , m_heartbeatInterval(gateway::heartbeatIntervalFor(shape.hosts))
    , m_requestsPerSecond(shape.requestsPerSecond)
    , m_upstreams(shape.upstreams)
{
    for (size_t index = 0; index < shape.hosts; ++index)
        start(HostId("host-" + std::to_string(index)));
    scheduleCall();
}

LimitSimulation::~LimitSimulation() = default;

UpstreamId LimitSimulation::upstreamId(size_t index)
{
    return UpstreamId("upstream-" + std::to_string(index));
}

HostId LimitSimulation::host(size_t index) const
{
    return std::next(m_hosts.begin(), static_cast<int64_t>(index))->first;
}

void LimitSimulation::stateLimit(size_t upstream, std::optional<double> perSecond)
{
    m_upstreams[upstream].state(
        perSecond ? std::make_optional(RequestRate(*perSecond)) : std::nullopt, now());
}

void LimitSimulation::start(const HostId& host)
{
    m_hosts[host] = std::make_unique<Host>(*this, host);
    sendHeartbeats(host, m_hosts[host]->life);
}

void LimitSimulation::restart(const HostId& host)
{
    m_network.crash(host);
    start(host);
}

void LimitSimulation::setCut(size_t count, bool isCut)
{
    for (size_t inside = 0; inside < count; ++inside) {
        for (size_t outside = count; outside < m_hosts.size(); ++outside)
            setConnected(host(inside), host(outside), !isCut);
    }
}

void LimitSimulation::setConnected(const HostId& a, const HostId& b, bool isConnected)
{
    m_network.setConnected(a, b, isConnected);
    if (!isConnected)
        return;
    introduce(a, b);
    introduce(b, a);
}

void LimitSimulation::playTroubles()
{
    constexpr size_t cutHosts = 3;
    constexpr size_t restartedHosts = 5;
    advance(seconds(3));
    stateLimit(0, 1);
    stateLimit(1, 0.3);
    advance(seconds(1));
    const HostId sleeper = host(1);
    setFrozen(sleeper, true);
    start(HostId("joining"));
    advance(seconds(4));
    stateLimit(1, 5);
    setCut(cutHosts, true);
    advance(seconds(2));
    setFrozen(sleeper, false);
    restart(host(4));
    stateLimit(0, 0.4);
    advance(seconds(4));
    setCut(cutHosts, false);
    setFrozen(host(0), true);
    advance(seconds(3));
    stateLimit(1, std::nullopt);
    setFrozen(host(0), false);
    advance(seconds(3));
    stateLimit(1, 2);
    for (size_t index = 0; index < restartedHosts; ++index) {
        advance(milliseconds(300));
        restart(host(index));
    }
    advance(seconds(8));
}

double LimitSimulation::worstRatio() const
{
    double worst = 0;
    for (const StatedLimit& upstream : m_upstreams)
        worst = std::max(worst, upstream.worstRatio());
    return worst;
}

std::set<HostId> LimitSimulation::peersInTouch(const Host& host) const
{
    const Duration timeout = gateway::heartbeatTimeoutFor(m_heartbeatInterval);
    std::set<HostId> peers;
    for (const auto& [peer, heard] : host.heard) {
        if (now() - heard < timeout)
            peers.insert(peer);
    }
    return peers;
}

void LimitSimulation::send(const HostId& from, const HostId& to, const PeerMessage& message)
{
    m_network.send(from, to, [this, from, to, frame = gateway::encodePeerMessage(message)] {
        Host& host = *m_hosts.at(to);
        const auto message = gateway::decodePeerMessage(frame);
        if (const auto* limit = std::get_if<PeerUpstreamLimit>(&*message)) {
            host.limits.merge(limit->limit, now());
            return;
        }
        const auto* request = std::get_if<gateway::PeerPermitRequest>(&*message);
        if (request && request->limit)
            host.limits.merge(*request->limit, now());
        host.permits.peerMessage(from, *message);
    });
}

void LimitSimulation::sendToAll(const HostId& from, const PeerMessage& message)
{
    for (const auto& [peer, host] : m_hosts) {
        if (peer != from)
            send(from, peer, message);
    }
}

void LimitSimulation::introduce(const HostId& from, const HostId& to)
{
    for (const UpstreamLimit& limit : m_hosts.at(from)->limits.all())
        send(from, to, PeerUpstreamLimit { limit });
}

void LimitSimulation::sendHeartbeats(const HostId& from, const std::weak_ptr<char>& life)
{
    if (life.expired())
        return;
    for (const auto& [peer, host] : m_hosts) {
        if (peer != from && !m_network.isPaused(from))
            m_network.send(from, peer, [this, from, to = peer] { heartbeatArrived(from, to); });
    }
    m_scheduler.runAfter(m_heartbeatInterval, [this, from, life] { sendHeartbeats(from, life); });
}

void LimitSimulation::heartbeatArrived(const HostId& from, const HostId& to)
{
    Host& host = *m_hosts.at(to);
    const bool isNew = host.heard.count(from) == 0;
    host.heard[from] = now();
    if (!isNew)
        return;
    introduce(to, from);
    introduce(from, to);
}

void LimitSimulation::scheduleCall()
{
    const Duration wait = fromSeconds(-std::log(1 - m_random.uniform()) / m_requestsPerSecond);
    m_scheduler.runAfter(wait, [this] {
        scheduleCall();
        const HostId id = drawEntry();
        if (!m_network.isPaused(id))
            choose(id, m_random.below(m_upstreams.size()), {});
    });
}

HostId LimitSimulation::drawEntry()
{
    return m_entries.empty() ? host(m_random.below(m_hosts.size()))
                             : host(m_entries[m_random.below(m_entries.size())]);
}

void LimitSimulation::choose(const HostId& id, size_t upstream, std::set<size_t> tried)
{
    Host& host = *m_hosts.at(id);
    while (tried.count(upstream) > 0 || host.permits.expectedWait(upstreamId(upstream)) > Duration::zero()) {
        tried.insert(upstream);
        upstream = (upstream + 1) % m_upstreams.size();
        if (tried.size() < m_upstreams.size())
            continue;
        ++m_refused;
        return;
    }
    if (!host.limits.rate(upstreamId(upstream))) {
        sendRequest(id, upstream);
        return;
    }
    tried.insert(upstream);
    host.permits.request(upstreamId(upstream), Duration::zero(),
        [this, id, upstream, tried, life = std::weak_ptr<char>(host.life)](const PermitAnswer& answer) {
            if (life.expired() || m_network.isPaused(id))
                return;
            if (answer.isGranted)
                sendRequest(id, upstream);
            else
                choose(id, upstream, tried);
        });
}

void LimitSimulation::sendRequest(const HostId& id, size_t upstream)
{
    const MonotonicTime sent = now();
    const std::weak_ptr<char> life = m_hosts.at(id)->life;
    ++m_served;
    m_scheduler.runAfter(linkDelay, [this, id, upstream, sent, life] {
        m_upstreams[upstream].requestArrived(now());
        const auto spread = static_cast<uint64_t>((longestWork - shortestWork).count());
        const Duration work = shortestWork + Duration(static_cast<int64_t>(m_random.below(spread)));
        m_scheduler.runAfter(work, [this, id, upstream, sent, life] {
            // The link from the upstream delays the response, and a frozen host reads it late.
            m_network.send(id, id, [this, id, upstream, sent, life, rate = m_upstreams[upstream].rate()] {
                if (!life.expired())
                    responded(id, upstream, sent, rate);
            });
        });
    });
}

void LimitSimulation::responded(
    const HostId& id, size_t upstream, MonotonicTime sent, std::optional<RequestRate> rate)
{
    Host& host = *m_hosts.at(id);
    const auto changed = host.limits.observe({ upstreamId(upstream), startedAt, rate, true, sent }, now());
    if (changed)
        sendToAll(id, PeerUpstreamLimit { *changed });
}

} // namespace lacewing::experiment
