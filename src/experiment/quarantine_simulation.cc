#include "experiment/quarantine_simulation.h"

#include <algorithm>
#include <cmath>

namespace lacewing::experiment {

using gateway::PartSet;
using gateway::PeerMessage;
using gateway::Quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A host that was not disturbed for this long is bound by the rules.
constexpr Duration stabilityTime = seconds(3);
constexpr size_t crashesWithoutBound = 5;
constexpr Duration restartTime = seconds(3);
constexpr Duration connectTime = milliseconds(200);
constexpr Duration storeDelay = milliseconds(4);
constexpr Duration linkDelay = milliseconds(1);
constexpr Duration shortestPrefill = milliseconds(100);
constexpr Duration longestPrefill = milliseconds(500);
constexpr uint64_t workspaces = 5;
constexpr uint64_t subjects = 60;

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

QuarantineSimulation::Shape QuarantineSimulation::Shape::ofHosts(size_t hosts)
{
    constexpr size_t fewHosts = 10;
    constexpr double requestsPerEngine = 5;
    Shape shape;
    shape.hosts = hosts;
    shape.engines = hosts < fewHosts ? 12 : hosts * 5 / 8;
    shape.requestsPerSecond = requestsPerEngine * static_cast<double>(shape.engines);
    shape.poisonedShare = hosts < fewHosts ? 0.05 : 0.02;
    return shape;
}

struct QuarantineSimulation::Host {
    Host(QuarantineSimulation& fleet, const HostId& id)
        : random(fleet.m_random.next())
        , exchange(fleet.m_scheduler, random, metrics,
              { [&fleet, id](const PeerMessage& message) { fleet.send(id, message); },
                  [&fleet](const Quarantine& quarantine) {
                      if (!fleet.m_isStoreAvailable)
                          return;
                      if (quarantine.isLifted)
                          fleet.m_rows.erase(quarantine.parts);
                      else
                          fleet.m_rows[quarantine.parts] = quarantine;
                  } })
    {
    }

    Random random;
    MetricsRegistry metrics;
    gateway::QuarantineExchange exchange;
    /// Expires with the process.
    std::shared_ptr<char> life = std::make_shared<char>();
};

size_t QuarantineSimulation::PoisonResult::sentAfterCrashes() const
{
    if (crashes.size() < crashesWithoutBound)
        return 0;
    const MonotonicTime begin = crashes[crashesWithoutBound - 1] + stabilityTime;
    return static_cast<size_t>(
        std::count_if(sent.begin(), sent.end(), [begin](MonotonicTime time) { return time > begin; }));
}

QuarantineSimulation::QuarantineSimulation(const Shape& shape, uint64_t seed)
    : m_shape(shape)
    , m_random(seed)
    , m_network(m_scheduler, seed)
    , m_engines(shape.engines)
{
    for (size_t index = 0; index < shape.hosts; ++index)
        start(host(index));
    scheduleCall();
}

QuarantineSimulation::~QuarantineSimulation() = default;

void QuarantineSimulation::start(const HostId& id)
{
    auto started = std::make_unique<Host>(*this, id);
    const std::weak_ptr<char> life = started->life;
    m_hosts[id] = std::move(started);
    m_scheduler.runAfter(storeDelay, [this, id, life] {
        if (life.expired() || !m_isStoreAvailable)
            return;
        for (const auto& [parts, quarantine] : m_rows)
            m_hosts.at(id)->exchange.restore(quarantine);
    });
    m_scheduler.runAfter(connectTime, [this, id, life] {
        if (life.expired())
            return;
        for (const auto& [peer, state] : m_hosts) {
            introduce(peer, id);
            introduce(id, peer);
        }
    });
}

void QuarantineSimulation::introduce(const HostId& from, const HostId& to)
{
    if (from == to)
        return;
    gateway::PeerHeartbeat heartbeat;
    heartbeat.quarantines = m_hosts.at(from)->exchange.all();
    m_network.send(
        from, to, [this, from, to, heartbeat] { m_hosts.at(to)->exchange.onMessage(from, heartbeat); });
}

void QuarantineSimulation::send(const HostId& from, const PeerMessage& message)
{
    for (const auto& [to, state] : m_hosts) {
        if (to == from)
            continue;
        const HostId receiver = to;
        m_network.send(from, receiver,
            [this, from, receiver, message] { m_hosts.at(receiver)->exchange.onMessage(from, message); });
    }
}

void QuarantineSimulation::disturb(const HostId& id)
{
    m_lastDisturbance[id] = m_scheduler.now();
}

bool QuarantineSimulation::isInTouch(const HostId& id) const
{
    const auto last = m_lastDisturbance.find(id);
    return last == m_lastDisturbance.end() || m_scheduler.now() - last->second > stabilityTime;
}

void QuarantineSimulation::restart(const HostId& id)
{
    m_network.crash(id);
    m_frozen.erase(id);
    disturb(id);
    start(id);
}

void QuarantineSimulation::restartAll()
{
    for (size_t index = 0; index < m_shape.hosts; ++index)
        restart(host(index));
}

void QuarantineSimulation::setFrozen(const HostId& id, bool isFrozen)
{
    m_network.setPaused(id, isFrozen);
    disturb(id);
    if (isFrozen)
        m_frozen.insert(id);
    else
        m_frozen.erase(id);
}

void QuarantineSimulation::setCut(size_t count, bool isCut)
{
    for (size_t inside = 0; inside < count; ++inside) {
        for (size_t outside = count; outside < m_shape.hosts; ++outside) {
            m_network.setConnected(host(inside), host(outside), !isCut);
            disturb(host(outside));
            if (isCut)
                continue;
            introduce(host(inside), host(outside));
            introduce(host(outside), host(inside));
        }
        disturb(host(inside));
    }
}

void QuarantineSimulation::poison(uint64_t part)
{
    m_poisons[part];
}

void QuarantineSimulation::scheduleCall()
{
    const double pause = -std::log(1 - m_random.uniform()) / m_shape.requestsPerSecond;
    m_scheduler.runAfter(fromSeconds(pause), [this] {
        call();
        scheduleCall();
    });
}

void QuarantineSimulation::call()
{
    const HostId id = host(m_random.below(m_shape.hosts));
    if (m_frozen.count(id) > 0)
        return;
    std::vector<uint64_t> parts { 1 + m_random.below(workspaces), 100 + m_random.below(subjects),
        m_nextPart++ };
    Run run;
    for (const auto& [part, poison] : m_poisons) {
        if (run.poison || !m_random.chance(m_shape.poisonedShare))
            continue;
        parts.push_back(part);
        run.poison = part;
    }
    Host& entry = *m_hosts.at(id);
    run.prompt = PartSet(std::move(parts));
    m_soundSent += run.poison ? 0 : 1;
    std::vector<size_t> up;
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (m_engines[engine].isUp)
            up.push_back(engine);
    }
    if (up.empty() || entry.exchange.holdTime(run.prompt))
        return;
    entry.exchange.beginProbe(run.prompt);
    run.host = id;
    run.life = entry.life;
    run.engine = up[m_random.below(up.size())];
    run.startedAt = m_engines[run.engine].startedAt;
    if (run.poison && isInTouch(id) && !m_poisons[*run.poison].isMended)
        m_poisons[*run.poison].result.sent.push_back(m_scheduler.now());
    const auto prefill
        = std::chrono::duration_cast<Duration>((longestPrefill - shortestPrefill) * m_random.uniform());
    const int64_t number = m_nextRun++;
    m_runs.emplace(number, std::move(run));
    m_scheduler.runAfter(shortestPrefill + prefill, [this, number] { begin(number); });
}

gateway::QuarantineExchange* QuarantineSimulation::senderOf(const Run& run)
{
    const auto found = m_hosts.find(run.host);
    const bool isSame = found != m_hosts.end() && found->second->life == run.life;
    return isSame ? &found->second->exchange : nullptr;
}

void QuarantineSimulation::begin(int64_t number)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return;
    const Run run = found->second;
    if (run.poison && !m_poisons[*run.poison].isMended) {
        m_poisons[*run.poison].result.crashes.push_back(m_scheduler.now());
        end(run.engine);
        return;
    }
    m_runs.erase(found);
    gateway::QuarantineExchange* sender = senderOf(run);
    if (!sender)
        return;
    m_soundBegun += run.poison ? 0 : 1;
    sender->answerBegan({ engineId(run.engine), run.startedAt, run.prompt });
}

void QuarantineSimulation::end(size_t index)
{
    Engine& engine = m_engines[index];
    engine.isUp = false;
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        if (run->second.engine != index) {
            ++run;
            continue;
        }
        m_scheduler.runAfter(linkDelay, [this, broken = run->second] { report(broken); });
        run = m_runs.erase(run);
    }
    m_scheduler.runAfter(restartTime, [&engine] {
        ++engine.startedAt;
        engine.isUp = true;
    });
}

void QuarantineSimulation::report(const Run& run)
{
    if (gateway::QuarantineExchange* sender = senderOf(run))
        sender->runBroke(engineId(run.engine), run.startedAt, run.prompt);
}

void QuarantineSimulation::crashEngines(size_t count)
{
    for (size_t engine = 0; engine < m_engines.size() && count > 0; ++engine) {
        if (!m_engines[engine].isUp)
            continue;
        end(engine);
        --count;
    }
}

void QuarantineSimulation::playTroubles()
{
    const auto randomHost = [this] { return host(m_random.below(m_shape.hosts)); };
    advance(seconds(3));
    poison(66);
    for (int step = 0; step < 12; ++step) {
        if (step == 5)
            poison(77);
        restart(randomHost());
        const HostId frozen = randomHost();
        setFrozen(frozen, true);
        const size_t cut = 1 + m_random.below(std::max<size_t>(1, m_shape.hosts / 2));
        if (step % 3 == 0)
            setCut(cut, true);
        setStoreAvailable(step % 4 != 1);
        crashEngines(step % 2);
        advance(milliseconds(500 + m_random.below(2000)));
        setFrozen(frozen, false);
        if (step % 3 == 0)
            setCut(cut, false);
        if (step == 8)
            restartAll();
        advance(seconds(2));
    }
    setStoreAvailable(true);
}

double QuarantineSimulation::takeSoundShare()
{
    const int sent = std::exchange(m_soundSent, 0);
    const int begun = std::exchange(m_soundBegun, 0);
    return sent == 0 ? 1 : static_cast<double>(begun) / sent;
}

size_t QuarantineSimulation::holdingHosts(uint64_t part) const
{
    return static_cast<size_t>(std::count_if(m_hosts.begin(), m_hosts.end(),
        [part](const auto& item) { return item.second->exchange.holdTime(PartSet { part }).has_value(); }));
}

size_t QuarantineSimulation::wrongQuarantines() const
{
    size_t count = 0;
    for (const auto& [id, entry] : m_hosts) {
        for (const Quarantine& quarantine : entry->exchange.all()) {
            const bool isRight = std::any_of(m_poisons.begin(), m_poisons.end(),
                [&quarantine](const auto& item) { return quarantine.parts.includes(item.first); });
            count += !quarantine.isLifted && !isRight ? 1 : 0;
        }
    }
    return count;
}

} // namespace lacewing::experiment
