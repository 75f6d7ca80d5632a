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
using gateway::UpstreamLimit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration linkDelay = milliseconds(1);
constexpr Duration shortestWork = milliseconds(5);
constexpr Duration longestWork = milliseconds(65);
/// Interval at which upstreams write their rows and hosts read them.
constexpr Duration rowInterval = milliseconds(1200);

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

struct LimitSimulation::Host {
    Host(LimitSimulation& fleet, const HostId& id)
        : limits(id, &warmUp)
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
                      // A host that has just started knows only those that it has heard of.
                      const size_t others = fleet.m_coldStart ? heard.size() : fleet.m_hosts.size() - 1;
                      return (inTouch + 1) / static_cast<double>(others + 1);
                  },
                  [&fleet, this](const UpstreamId& upstream) {
                      return warmUp.rate(upstream)
                          && fleet.now() - started < gateway::WarmUpLimits::peerDiscoveryTime;
                  } })
        , started(fleet.now())
    {
    }

    gateway::WarmUpLimits warmUp;
    gateway::UpstreamLimits limits;
    gateway::UpstreamPermits permits;
    MonotonicTime started;
    /// Upstreams whose rows the host has read, with the starts of their processes.
    std::map<size_t, int64_t> rows;
    bool hasReadRows = false;
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
    , m_coldStart(shape.coldStart)
    , m_upstreams(shape.upstreams)
    , m_processes(shape.upstreams)
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
    if (m_coldStart)
        scheduleRead(host, m_hosts[host]->life);
}

void LimitSimulation::startCold(size_t upstream, ColdNotice notice)
{
    Process& process = m_processes[upstream];
    ++process.startedAt;
    process.isRunning = true;
    process.notice = notice;
    process.coldUntil = now() + m_coldStart->duration;
}

void LimitSimulation::becomeCold(size_t upstream, Duration duration)
{
    m_processes[upstream].coldUntil = now() + duration;
}

size_t LimitSimulation::worstColdSecond(size_t upstream, MonotonicTime from) const
{
    const std::vector<MonotonicTime>& arrivals = m_processes[upstream].arrivals;
    size_t worst = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (*first < from)
            continue;
        const auto end = std::lower_bound(first, arrivals.end(), *first + seconds(1));
        worst = std::max(worst, static_cast<size_t>(end - first));
    }
    return worst;
}

void LimitSimulation::scheduleRead(const HostId& id, const std::weak_ptr<char>& life)
{
    const auto phase
        = Duration(static_cast<int64_t>(m_random.below(static_cast<uint64_t>(rowInterval.count()))));
    const Duration wait = m_hosts.at(id)->hasReadRows ? rowInterval : phase;
    m_scheduler.runAfter(wait, [this, id, life] {
        if (life.expired())
            return;
        scheduleRead(id, life);
        if (!m_isStoreAvailable)
            return;
        // A frozen host reads late.
        m_network.send(id, id, [this, id, life] {
            if (!life.expired())
                readRows(*m_hosts.at(id));
        });
    });
}

void LimitSimulation::readRows(Host& host)
{
    std::map<UpstreamId, gateway::PresentProcess> present;
    host.rows.clear();
    for (size_t index = 0; index < m_processes.size(); ++index) {
        const Process& process = m_processes[index];
        if (!process.isRunning)
            continue;
        gateway::PresentProcess row;
        row.startedAt = process.startedAt;
        row.coldStart = m_coldStart;
        row.read = now();
        const MonotonicTime written
            = now() - Duration(now().time_since_epoch().count() % rowInterval.count());
        if (process.notice == ColdNotice::InRowAndResponses)
            row.remaining = std::max<Duration>(
                process.coldUntil - std::max(written, MonotonicTime()), Duration::zero());
        present.emplace(upstreamId(index), row);
        host.rows[index] = process.startedAt;
    }
    host.warmUp.setPresent(present, !host.hasReadRows, now());
    host.hasReadRows = true;
    updateCold(host);
}

void LimitSimulation::updateCold(Host& host)
{
    for (const gateway::ColdChange& change : host.warmUp.update(now()))
        host.permits.limitChanged(change.upstream);
}

void LimitSimulation::told(Host& host, const UpstreamLimit& limit)
{
    if (limit.isStated())
        host.limits.merge(limit, now());
    if (!limit.coldFor)
        return;
    host.warmUp.learn({ limit.upstream, limit.startedAt, *limit.coldFor }, gateway::ColdSource::Peer, now());
    updateCold(host);
}

std::optional<Duration> LimitSimulation::statedColdTime(size_t upstream) const
{
    const Process& process = m_processes[upstream];
    if (!m_coldStart || process.notice == ColdNotice::Nowhere)
        return std::nullopt;
    return std::max<Duration>(process.coldUntil - now(), Duration::zero());
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
            told(host, limit->limit);
            return;
        }
        const auto* request = std::get_if<gateway::PeerPermitRequest>(&*message);
        if (request && request->limit)
            told(host, *request->limit);
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
    for (const UpstreamLimit& limit : m_hosts.at(from)->limits.allToTell(now()))
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
    updateCold(host);
    const auto isAbsent
        = [&](size_t index) { return m_coldStart.has_value() && host.rows.count(index) == 0; };
    while (tried.count(upstream) > 0 || isAbsent(upstream)
        || host.permits.expectedWait(upstreamId(upstream)) > Duration::zero()) {
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
        if (!m_processes[upstream].isRunning)
            return;
        m_upstreams[upstream].requestArrived(now());
        if (now() < m_processes[upstream].coldUntil)
            m_processes[upstream].arrivals.push_back(now());
        const auto spread = static_cast<uint64_t>((longestWork - shortestWork).count());
        const Duration work = shortestWork + Duration(static_cast<int64_t>(m_random.below(spread)));
        m_scheduler.runAfter(work, [this, id, upstream, sent, life] {
            // The link from the upstream delays the response, and a frozen host reads it late.
            const auto rate = m_upstreams[upstream].rate();
            const auto coldFor = statedColdTime(upstream);
            m_network.send(id, id, [this, id, upstream, sent, life, rate, coldFor] {
                if (!life.expired())
                    responded(id, upstream, sent, rate, coldFor);
            });
        });
    });
}

void LimitSimulation::responded(const HostId& id, size_t upstream, MonotonicTime sent,
    std::optional<RequestRate> rate, std::optional<Duration> coldFor)
{
    Host& host = *m_hosts.at(id);
    const auto row = host.rows.find(upstream);
    const int64_t startedAt = row == host.rows.end() ? 1 : row->second;
    const auto changed = host.limits.observe({ upstreamId(upstream), startedAt, rate, true, sent }, now());
    if (changed)
        sendToAll(id, PeerUpstreamLimit { *changed });
    const bool isNews = coldFor
        && host.warmUp.learn(
            { upstreamId(upstream), startedAt, *coldFor }, gateway::ColdSource::Response, now());
    updateCold(host);
    const auto limit = isNews ? host.limits.toTell(upstreamId(upstream), now()) : std::nullopt;
    if (limit)
        sendToAll(id, PeerUpstreamLimit { *limit });
}

} // namespace lacewing::experiment
