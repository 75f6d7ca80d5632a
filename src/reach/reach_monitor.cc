#include "reach/reach_monitor.h"

#include "base/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewing::reach {

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds(100);
constexpr size_t targetsPerRound = 6;
/// Time for one connection, beyond a lost packet's first retransmission.
constexpr Duration probeTimeout = std::chrono::milliseconds(350);
/// Interval between rounds while the links are cut.
constexpr Duration cutInterval = std::chrono::milliseconds(500);
constexpr int goodRoundsUntilWhole = 2;
/// Pause after a false alarm; it doubles with each further one, since upstreams that are down cause them.
constexpr Duration falseAlarmPause = std::chrono::milliseconds(1000);
constexpr int maximumPauseDoublings = 3;
/// Upstreams that were heard within this time need not be tried for a peer.
constexpr Duration confirmedTime = std::chrono::milliseconds(300);

} // namespace

ReachMonitor::ReachMonitor(Scheduler& scheduler, ConnectionProber& prober, Random& random,
    ReachEvidence& evidence, Handlers handlers)
    : m_scheduler(scheduler)
    , m_prober(prober)
    , m_random(random)
    , m_evidence(evidence)
    , m_handlers(std::move(handlers))
    , m_timer(
          scheduler, [] { return checkInterval; }, [this] { check(); })
{
}

std::optional<Duration> ReachMonitor::cutFor() const
{
    return m_cutSince ? std::make_optional<Duration>(m_scheduler.now() - *m_cutSince) : std::nullopt;
}

void ReachMonitor::check()
{
    const MonotonicTime now = m_scheduler.now();
    if (m_round || now < m_nextRound)
        return;
    // The upstreams are counted only if there is any sign.
    const bool hasSign = m_evidence.isSuspicious(1, now);
    if (m_cutSince || (hasSign && m_evidence.isSuspicious(m_handlers.upstreams().size(), now)))
        startRound();
}

void ReachMonitor::confirm()
{
    const auto age = heardAge();
    if (!m_round && m_scheduler.now() >= m_nextRound && (!age || *age > confirmedTime))
        startRound();
}

std::vector<ProbeTarget> ReachMonitor::chooseTargets()
{
    std::vector<ProbeTarget> targets = m_handlers.upstreams();
    for (size_t left = targets.size(); left > 1; --left)
        std::swap(targets[left - 1], targets[m_random.below(left)]);
    std::set<ServiceId> services;
    std::vector<ProbeTarget> chosen;
    std::vector<ProbeTarget> others;
    for (ProbeTarget& target : targets) {
        const bool isFirstOfService = services.insert(target.service).second;
        (isFirstOfService ? chosen : others).push_back(std::move(target));
    }
    chosen.insert(chosen.end(), others.begin(), others.end());
    chosen.resize(std::min(chosen.size(), targetsPerRound));
    return chosen;
}

void ReachMonitor::startRound()
{
    const std::vector<ProbeTarget> targets = chooseTargets();
    if (targets.empty())
        return;
    m_round = Round { targets.size(), targets.size(), 0 };
    for (const ProbeTarget& target : targets)
        m_prober.probe(target.address, probeTimeout,
            m_lifetime.guard([this](bool isConnected) { probed(isConnected); }));
}

void ReachMonitor::probed(bool isConnected)
{
    --m_round->pending;
    if (isConnected) {
        ++m_round->connected;
        m_evidence.connected(m_scheduler.now());
    }
    if (m_round->pending == 0)
        roundEnded(*std::exchange(m_round, std::nullopt));
}

void ReachMonitor::roundEnded(const Round& round)
{
    const MonotonicTime now = m_scheduler.now();
    if (m_cutSince) {
        m_nextRound = now + cutInterval;
        m_goodRounds = 2 * round.connected > round.tried ? m_goodRounds + 1 : 0;
        if (m_goodRounds >= goodRoundsUntilWhole)
            setWhole();
        return;
    }
    if (round.connected == 0) {
        setCut(round);
        return;
    }
    const bool isFalseAlarm = m_evidence.isSuspicious(round.tried, now);
    m_falseAlarms = isFalseAlarm ? m_falseAlarms + 1 : 0;
    m_nextRound = now + falseAlarmPause * (1 << std::min(m_falseAlarms, maximumPauseDoublings));
}

void ReachMonitor::setCut(const Round& round)
{
    const MonotonicTime now = m_scheduler.now();
    const auto age = heardAge();
    LogEvent(LogLevel::Warning, "upstreams_lost")
        .with("tried", round.tried)
        .with("silent_servers", m_evidence.silentServers(now))
        .with("failed_servers", m_evidence.failedServers(now))
        .with("last_heard_ms", age ? std::to_string(toMilliseconds(*age)) : "never");
    m_cutSince = now;
    m_goodRounds = 0;
    m_nextRound = now + cutInterval;
    m_handlers.onChange();
}

void ReachMonitor::setWhole()
{
    LogEvent(LogLevel::Info, "upstreams_regained").with("after_ms", toMilliseconds(*cutFor()));
    m_cutSince.reset();
    m_falseAlarms = 0;
    m_evidence.forgetFailures();
    m_handlers.onChange();
}

} // namespace lacewing::reach
