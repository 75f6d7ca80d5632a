#include "gateway/quarantine_exchange.h"

#include "base/log.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

using std::chrono::milliseconds;

/// Reports of one crash are sent together.
constexpr Duration reportDelay = milliseconds(5);
/// Hosts decide at different times, so that most of them hear what the first one has decided.
constexpr Duration decisionSpread = milliseconds(100);
/// Hosts look for quarantines to end at times between one and two of these, so that mostly one ends it for
/// all.
constexpr Duration expiryInterval = std::chrono::seconds(60);

} // namespace

QuarantineExchange::QuarantineExchange(
    Scheduler& scheduler, Random& random, MetricsRegistry& metrics, Handlers handlers)
    : m_scheduler(scheduler)
    , m_random(random)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_expiryTimer(
          scheduler,
          [this] { return std::chrono::duration_cast<Duration>(expiryInterval * (1 + m_random.uniform())); },
          [this] { publish(m_quarantine.expire(m_scheduler.now()), "expired"); })
{
    m_expiryTimer.start();
}

void QuarantineExchange::runBroke(const UpstreamId& engine, int64_t startedAt, const PartSet& prompt)
{
    if (prompt.empty())
        return;
    const auto known = std::find_if(m_unsent.begin(), m_unsent.end(),
        [&](const CrashReport& report) { return report.engine == engine && report.startedAt == startedAt; });
    if (known != m_unsent.end()) {
        known->parts.add(prompt);
        return;
    }
    if (m_unsent.empty())
        m_scheduler.runAfter(reportDelay, m_lifetime.guard([this] { reportCrashes(); }));
    m_unsent.push_back({ engine, startedAt, prompt });
}

void QuarantineExchange::reportCrashes()
{
    PeerCrashReports message { std::exchange(m_unsent, {}) };
    crashed(message.reports);
    m_handlers.sendToAll(std::move(message));
}

void QuarantineExchange::crashed(const std::vector<CrashReport>& reports)
{
    for (const CrashReport& report : reports)
        m_quarantine.crashed(report, m_scheduler.now());
    decideSoon();
}

void QuarantineExchange::decideSoon()
{
    if (m_isDeciding)
        return;
    m_isDeciding = true;
    const auto spread = std::chrono::duration_cast<Duration>(decisionSpread * m_random.uniform());
    m_scheduler.runAfter(CrashHistory::settlingTime + spread, m_lifetime.guard([this] {
        m_isDeciding = false;
        publish(m_quarantine.decide(m_scheduler.now()), "crashes");
    }));
}

void QuarantineExchange::answerBegan(const AnswerBegin& answer)
{
    if (answer.parts.empty())
        return;
    const bool isInformative = m_quarantine.isInformative(answer);
    publish(m_quarantine.answerBegan(answer, m_scheduler.now()), "answer_began");
    if (isInformative)
        m_handlers.sendToAll(PeerAnswerBegan { answer });
}

std::optional<Duration> QuarantineExchange::holdTime(const PartSet& prompt) const
{
    if (prompt.empty())
        return std::nullopt;
    return m_quarantine.holdTime(prompt, m_scheduler.now());
}

void QuarantineExchange::beginProbe(const PartSet& prompt)
{
    if (!prompt.empty())
        publish(m_quarantine.beginProbe(prompt, m_scheduler.now()), "probe");
}

void QuarantineExchange::enginesReplaced()
{
    m_quarantine.enginesReplaced(m_scheduler.now());
}

void QuarantineExchange::publish(const PromptQuarantine::Changes& changes, const char* reason)
{
    if (changes.empty())
        return;
    for (const Quarantine& quarantine : changes) {
        record(quarantine, reason, "");
        m_handlers.save(quarantine);
    }
    m_handlers.sendToAll(PeerQuarantines { changes });
}

void QuarantineExchange::record(const Quarantine& quarantine, const char* source, const std::string& sourceId)
{
    ++m_metrics.counter("lacewing_quarantine_changes_total", { { "source", source } });
    LogEvent(LogLevel::Warning, quarantine.isLifted ? "quarantine_lifted" : "prompt_quarantined")
        .with("parts", quarantine.parts.text(','))
        .with("revision", quarantine.revision)
        .with("probes", quarantine.probes)
        .with("next_probe_ms", quarantine.untilProbe ? toMilliseconds(*quarantine.untilProbe) : -1)
        .with("source", source)
        .with("peer", sourceId);
}

void QuarantineExchange::merge(
    const std::vector<Quarantine>& quarantines, const char* source, const std::string& sourceId)
{
    for (const Quarantine& quarantine : quarantines) {
        if (m_quarantine.merge(quarantine, m_scheduler.now()))
            record(quarantine, source, sourceId);
    }
    publish(m_quarantine.expire(m_scheduler.now()), "expired");
}

void QuarantineExchange::onMessage(const HostId& peer, const PeerMessage& message)
{
    if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&message))
        merge(heartbeat->quarantines, "peer", peer.value());
    else if (const auto* quarantines = std::get_if<PeerQuarantines>(&message))
        merge(quarantines->quarantines, "peer", peer.value());
    else if (const auto* crashes = std::get_if<PeerCrashReports>(&message))
        crashed(crashes->reports);
    else if (const auto* began = std::get_if<PeerAnswerBegan>(&message))
        publish(m_quarantine.answerBegan(began->answer, m_scheduler.now()), "answer_began");
}

void QuarantineExchange::restore(const Quarantine& quarantine)
{
    merge({ quarantine }, "store", "");
}

} // namespace lacewing::gateway
