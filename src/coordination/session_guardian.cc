#include "coordination/session_guardian.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(500);
/// A gap between ticks longer than this means that this process was paused and missed heartbeats. Ending
/// sessions is then suspended for the same time, so that live peers can send one.
constexpr Duration pauseThreshold = std::chrono::seconds(2);
constexpr Duration retryInterval = std::chrono::milliseconds(700);

} // namespace

SessionGuardian::SessionGuardian(HostId host, std::function<Incarnation()> incarnation, Duration guardTtl,
    TableService& table, Scheduler& scheduler, SessionDirectory& directory, const SafetyRules& rules,
    uint64_t seed)
    : m_host(std::move(host))
    , m_incarnation(std::move(incarnation))
    , m_guardTtl(guardTtl)
    , m_table(table)
    , m_scheduler(scheduler)
    , m_directory(directory)
    , m_rules(rules)
    , m_random(seed)
    , m_timer(
          scheduler, [] { return tickInterval; }, [this] { tick(); })
    , m_lastTick(scheduler.now())
{
}

bool SessionGuardian::promise(const HostId& peer, Incarnation incarnation)
{
    if (incarnation == Incarnation(0) || m_incarnation() == Incarnation(0))
        return false;
    GuardedSession& known = guardedSession(peer, incarnation);
    if (known.incarnation != incarnation || !mayPromise(peer, known))
        return false;
    known.ending = false;
    known.promisedAt = m_scheduler.now();
    return true;
}

void SessionGuardian::tick()
{
    const MonotonicTime now = m_scheduler.now();
    if (now - m_lastTick > pauseThreshold)
        m_graceUntil = now + pauseThreshold;
    m_lastTick = now;
    if (now < m_graceUntil)
        return;
    for (const auto& [host, entry] : m_directory.entries())
        endIfAllowed(entry, now);
}

void SessionGuardian::endIfAllowed(const SessionEntry& entry, MonotonicTime now)
{
    if (entry.row.host == m_host || entry.row.state == SessionState::Ended || !mayEnd(entry, now))
        return;
    const GuardedSession& known = guardedSession(entry.row.host, entry.row.incarnation);
    if (known.incarnation == entry.row.incarnation && !known.calling && now >= known.retryAt)
        endSession(entry);
}

bool SessionGuardian::mayEnd(const SessionEntry& entry, MonotonicTime now)
{
    if (now - entry.firstSeen >= m_rules.promise(entry.row.ttl))
        return true;
    const Incarnation self = m_incarnation();
    if (entry.row.guardian != m_host || entry.row.guardianIncarnation != self || self == Incarnation(0))
        return false;
    const GuardedSession& known = guardedSession(entry.row.host, entry.row.incarnation);
    return now - std::max(known.promisedAt, entry.firstSeen) >= m_rules.promise(m_guardTtl);
}

SessionGuardian::GuardedSession& SessionGuardian::guardedSession(const HostId& host, Incarnation incarnation)
{
    GuardedSession& known = m_guardedSessions[host];
    if (known.incarnation < incarnation) {
        const bool calling = known.calling;
        known = GuardedSession {};
        known.incarnation = incarnation;
        known.calling = calling;
    }
    return known;
}

void SessionGuardian::endSession(const SessionEntry& entry)
{
    const HostId host = entry.row.host;
    GuardedSession& known = guardedSession(host, entry.row.incarnation);
    known.ending = true;
    known.calling = true;
    known.endingVersion = entry.version;
    LogEvent(LogLevel::Warning, "session_ending")
        .with("host", host)
        .with("incarnation", entry.row.incarnation)
        .with("by", m_host);
    SessionRow row = entry.row;
    row.state = SessionState::Ended;
    TableTransaction transaction;
    transaction.writeId = m_host.value() + "/" + std::to_string(m_incarnation().value()) + "/g"
        + std::to_string(++m_writeCount) + "/" + std::to_string(m_random.next());
    transaction.conditions = { { sessionKey(host), entry.version } };
    transaction.writes = { { sessionKey(host), encode(row) } };
    m_table.commit(std::move(transaction),
        m_lifetime.guard([this, host](std::optional<TableError>) { onEndSessionReply(host); }));
}

void SessionGuardian::onEndSessionReply(const HostId& host)
{
    GuardedSession& known = m_guardedSessions[host];
    known.calling = false;
    known.retryAt = m_scheduler.now() + retryInterval
        + Duration(static_cast<int64_t>(m_random.uniform() * static_cast<double>(retryInterval.count())));
    // An Unavailable reply would allow a new promise, but an earlier write may have gone unanswered. Promises
    // resume only after a newer row version, on which the conditions of all pending writes fail.
    m_directory.refresh(host);
}

bool SessionGuardian::mayPromise(const HostId& host, const GuardedSession& known) const
{
    if (!known.ending)
        return true;
    const SessionEntry* entry = m_directory.find(host);
    return entry && entry->row.incarnation == known.incarnation && entry->row.state != SessionState::Ended
        && entry->version > known.endingVersion;
}

} // namespace lacewing
