#include "coordination/session_manager.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(250);
constexpr Duration shortestRetry = std::chrono::milliseconds(300);
constexpr Duration longestRetry = std::chrono::seconds(5);
/// Delay before a guardian is replaced by one in a better location. It prevents a write for each link while
/// links are established one after the other at the start.
constexpr Duration guardianReplacementDelay = std::chrono::seconds(10);

uint64_t spreadHash(const std::string& text)
{
    return Random(std::hash<std::string>()(text)).next();
}

} // namespace

SessionManager::SessionManager(SessionSettings settings, TableService& table, Scheduler& scheduler,
    SessionDirectory& directory, const SafetyRules& rules, Candidates candidates, uint64_t seed)
    : m_settings(std::move(settings))
    , m_table(table)
    , m_scheduler(scheduler)
    , m_directory(directory)
    , m_rules(rules)
    , m_candidates(std::move(candidates))
    , m_random(seed)
    , m_backoff(shortestRetry, longestRetry)
    , m_timer(
          scheduler, [] { return tickInterval; }, [this] { tick(); })
{
    m_directory.addListener([this](const SessionEntry& entry) {
        if (entry.row.host == m_settings.host)
            ownRowRead(entry);
    });
}

void SessionManager::setAddresses(std::string address, std::string callerAddress)
{
    m_settings.address = std::move(address);
    m_settings.callerAddress = std::move(callerAddress);
}

void SessionManager::start()
{
    m_phase = Phase::Creating;
    m_timer.start();
}

void SessionManager::leave()
{
    m_leaving = true;
}

void SessionManager::end(std::function<void()> done)
{
    m_ended = std::move(done);
    m_phase = Phase::Ending;
    recomputeValidity();
    tick();
}

bool SessionManager::isValid(Duration margin)
{
    notifyValidityChange();
    return m_scheduler.now() + margin < m_validUntil;
}

void SessionManager::heartbeatAcknowledged(const HostId& peer, const HeartbeatAck& ack, MonotonicTime sentAt)
{
    if (!ack.guarding || ack.peerIncarnation != incarnation())
        return;
    const MonotonicTime now = m_scheduler.now();
    const MonotonicTime validFrom = m_rules.acknowledgedFrom(sentAt, now);
    Acknowledgement& known = m_acknowledgements[peer];
    if (known.incarnation > ack.incarnation)
        return;
    if (known.incarnation < ack.incarnation)
        known = Acknowledgement { ack.incarnation, validFrom, now };
    known.validFrom = std::max(known.validFrom, validFrom);
    known.receivedAt = now;
    recomputeValidity();
}

std::optional<RowVersion> SessionManager::confirmedVersion() const
{
    if (!m_confirmed || m_pending || m_phase != Phase::Live)
        return std::nullopt;
    return m_confirmed->version;
}

void SessionManager::tick()
{
    notifyValidityChange();
    if (m_calling || m_scheduler.now() < m_retryAt)
        return;
    if (m_pending) {
        if (m_pending->uncertain && !m_pending->resend)
            readBack();
        else
            sendPending();
        return;
    }
    if (m_phase == Phase::Creating)
        create();
    else if (m_phase == Phase::Live || m_phase == Phase::Ending)
        maintain();
}

void SessionManager::create()
{
    if (!m_directory.isLoaded())
        return;
    m_calling = true;
    m_table.read({ sessionKey(m_settings.host) },
        m_lifetime.guard([this](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            m_calling = false;
            if (m_phase != Phase::Creating)
                return;
            if (error)
                return callFailed();
            SessionRow row;
            row.host = m_settings.host;
            row.incarnation = Incarnation(1);
            if (!rows.empty()) {
                const auto earlier = decodeSessionRow(rows.front().value);
                if (!earlier) {
                    LogEvent(LogLevel::Error, "session_row_malformed").with("key", rows.front().key);
                    return callFailed();
                }
                row.incarnation = earlier->incarnation + Incarnation(1);
            }
            row.state = m_leaving ? SessionState::Leaving : SessionState::Live;
            row.address = m_settings.address;
            row.callerAddress = m_settings.callerAddress;
            row.dataCentre = m_settings.dataCentre;
            row.region = m_settings.region;
            row.ttl = m_settings.unguardedTtl;
            chooseGuardian(row);
            write(std::move(row), rows.empty() ? RowVersion(0) : rows.front().version);
        }));
}

void SessionManager::maintain()
{
    if (!m_confirmed)
        return loseSession(Phase::Ended);
    SessionRow row = m_confirmed->row;
    if (m_phase == Phase::Ending) {
        row.state = SessionState::Ended;
    } else {
        row.state = m_leaving ? SessionState::Leaving : SessionState::Live;
        chooseGuardian(row);
    }
    const Duration interval
        = row.guardian.empty() ? m_settings.unguardedRenewInterval : m_settings.renewInterval;
    if (row != m_confirmed->row || m_scheduler.now() - m_confirmed->sentAt >= interval)
        write(std::move(row), m_confirmed->version);
}

void SessionManager::write(SessionRow row, RowVersion expectedVersion)
{
    const std::string key = sessionKey(m_settings.host);
    PendingWrite pending;
    pending.expectedVersion = expectedVersion;
    pending.transaction.writeId = m_settings.host.value() + "/" + std::to_string(row.incarnation.value())
        + "/s" + std::to_string(++m_writeCount) + "/" + std::to_string(m_random.next());
    pending.transaction.conditions = { { key, expectedVersion } };
    pending.transaction.writes = { { key, encode(row) } };
    pending.written = WrittenRow { std::move(row), m_scheduler.now(), RowVersion(0) };
    m_pending = std::move(pending);
    recomputeValidity();
    sendPending();
}

void SessionManager::sendPending()
{
    m_calling = true;
    m_pending->resend = false;
    m_table.commit(
        m_pending->transaction, m_lifetime.guard([this, epoch = m_epoch](std::optional<TableError> error) {
            if (epoch == m_epoch)
                commitCompleted(error);
        }));
}

void SessionManager::commitCompleted(std::optional<TableError> error)
{
    m_calling = false;
    if (error == TableError::Unavailable || error == TableError::Throttled) {
        if (!m_pending->uncertain)
            m_pending.reset();
        recomputeValidity();
        return callFailed();
    }
    // A conflict is read back too: an HTTP client that retries a call may conflict with its own first
    // attempt.
    m_pending->uncertain = true;
    readBack();
}

void SessionManager::readBack()
{
    m_calling = true;
    m_table.read({ sessionKey(m_settings.host) },
        m_lifetime.guard(
            [this, epoch = m_epoch](const std::vector<TableRow>& rows, std::optional<TableError> error) {
                if (epoch != m_epoch)
                    return;
                m_calling = false;
                if (error)
                    return callFailed();
                resolvePendingWrite(rows);
            }));
}

void SessionManager::resolvePendingWrite(const std::vector<TableRow>& rows)
{
    const RowVersion version = rows.empty() ? RowVersion(0) : rows.front().version;
    if (!rows.empty() && rows.front().writeId == m_pending->transaction.writeId)
        return pendingWriteCommitted(version);
    if (version == m_pending->expectedVersion) {
        // The write may still be in flight, so the identical write is sent again: only one can be committed.
        m_pending->resend = true;
        return callFailed();
    }
    if (rows.empty())
        return loseSession(m_phase == Phase::Ending ? Phase::Ended : Phase::Creating);
    handleForeignRow(rows.front());
}

void SessionManager::pendingWriteCommitted(RowVersion version)
{
    callSucceeded();
    m_confirmed = std::move(m_pending->written);
    m_confirmed->version = version;
    m_pending.reset();
    if (m_phase == Phase::Creating) {
        m_phase = Phase::Live;
        // The acknowledgements were for the previous incarnation.
        m_acknowledgements.clear();
        LogEvent(LogLevel::Info, "session_created")
            .with("host", m_settings.host)
            .with("incarnation", m_confirmed->row.incarnation)
            .with("guardian", m_confirmed->row.guardian);
    }
    if (m_confirmed->row.state == SessionState::Ended)
        return loseSession(Phase::Ended);
    recomputeValidity();
}

void SessionManager::handleForeignRow(const TableRow& row)
{
    const auto session = decodeSessionRow(row.value);
    if (m_phase == Phase::Ending)
        return loseSession(Phase::Ended);
    if (m_phase == Phase::Live && session && session->incarnation > incarnation())
        return loseSession(Phase::Replaced);
    loseSession(Phase::Creating);
}

void SessionManager::callFailed()
{
    m_retryAt = m_scheduler.now() + m_backoff.afterFailure(m_random);
}

void SessionManager::callSucceeded()
{
    m_backoff.reset();
    m_retryAt = MonotonicTime {};
}

void SessionManager::ownRowRead(const SessionEntry& entry)
{
    if (m_phase != Phase::Live || entry.row.incarnation < incarnation())
        return;
    if (entry.row.incarnation > incarnation())
        loseSession(Phase::Replaced);
    else if (entry.row.state == SessionState::Ended)
        loseSession(Phase::Creating);
}

void SessionManager::loseSession(Phase next)
{
    const bool had = m_confirmed.has_value();
    LogEvent(LogLevel::Warning, next == Phase::Ended ? "session_ended" : "session_lost")
        .with("host", m_settings.host)
        .with("incarnation", incarnation())
        .with("replaced", next == Phase::Replaced);
    ++m_epoch;
    m_calling = false;
    m_confirmed.reset();
    m_pending.reset();
    m_acknowledgements.clear();
    m_phase = next;
    recomputeValidity();
    if (had) {
        for (SessionListener* listener : m_listeners)
            listener->sessionEnded();
    }
    if (next == Phase::Ended && m_ended)
        std::exchange(m_ended, nullptr)();
}

void SessionManager::recomputeValidity()
{
    m_validUntil = MonotonicTime::min();
    if (m_phase == Phase::Live && m_confirmed) {
        m_validUntil = validUntil(*m_confirmed);
        if (m_pending)
            m_validUntil = std::min(m_validUntil, validUntil(m_pending->written));
    }
    notifyValidityChange();
}

void SessionManager::notifyValidityChange()
{
    const bool valid = m_scheduler.now() < m_validUntil;
    if (valid == m_wasValid)
        return;
    m_wasValid = valid;
    for (SessionListener* listener : m_listeners) {
        if (valid)
            listener->sessionBecameValid();
        else
            listener->sessionLostValidity();
    }
}

MonotonicTime SessionManager::validUntil(const WrittenRow& written) const
{
    const MonotonicTime ttlEnd = written.sentAt + written.row.ttl;
    if (written.row.guardian.empty())
        return ttlEnd;
    MonotonicTime guardedFrom = written.sentAt;
    const auto ack = m_acknowledgements.find(written.row.guardian);
    if (ack != m_acknowledgements.end() && ack->second.incarnation == written.row.guardianIncarnation)
        guardedFrom = std::max(guardedFrom, ack->second.validFrom);
    return std::min(ttlEnd, guardedFrom + m_settings.guardTtl);
}

void SessionManager::chooseGuardian(SessionRow& row) const
{
    const bool answers = !row.guardian.empty() && guardianAnswers(row);
    const int current = answers ? guardianLocationRank(row.guardian) : 0;
    if (answers && (current == 0 || m_scheduler.now() - m_confirmed->sentAt < guardianReplacementDelay))
        return;
    const auto best = bestCandidate(answers ? HostId() : row.guardian);
    if (answers && (!best || locationRank(best->dataCentre, best->region) >= current))
        return;
    if (best) {
        row.guardian = best->host;
        row.guardianIncarnation = best->incarnation;
        row.ttl = m_settings.ttl;
        return;
    }
    const bool alone = m_directory.activeCountExcept(m_settings.host) == 0;
    const bool waited = m_confirmed
        && m_scheduler.now() - validUntil(*m_confirmed)
            >= m_settings.unguardedFallbackDelay - m_settings.guardTtl;
    if (row.guardian.empty() || (!alone && !waited))
        return;
    row.guardian = HostId();
    row.guardianIncarnation = Incarnation(0);
    row.ttl = m_settings.unguardedTtl;
}

std::optional<GuardianCandidate> SessionManager::bestCandidate(const HostId& except) const
{
    std::optional<GuardianCandidate> best;
    std::pair<int, uint64_t> bestRank;
    for (const GuardianCandidate& candidate : m_candidates()) {
        if (candidate.host == except || candidate.host == m_settings.host)
            continue;
        const std::pair<int, uint64_t> rank(locationRank(candidate.dataCentre, candidate.region),
            spreadHash(m_settings.host.value() + "/" + candidate.host.value()));
        if (best && rank >= bestRank)
            continue;
        best = candidate;
        bestRank = rank;
    }
    return best;
}

int SessionManager::locationRank(const DataCentreId& dataCentre, const RegionId& region) const
{
    if (region != m_settings.region)
        return 2;
    return dataCentre == m_settings.dataCentre ? 1 : 0;
}

int SessionManager::guardianLocationRank(const HostId& guardian) const
{
    const SessionEntry* entry = m_directory.find(guardian);
    return entry ? locationRank(entry->row.dataCentre, entry->row.region) : 0;
}

bool SessionManager::guardianAnswers(const SessionRow& row) const
{
    const MonotonicTime now = m_scheduler.now();
    if (m_confirmed && now - m_confirmed->sentAt < m_settings.guardianTimeout)
        return true;
    const auto ack = m_acknowledgements.find(row.guardian);
    return ack != m_acknowledgements.end() && ack->second.incarnation == row.guardianIncarnation
        && now - ack->second.receivedAt < m_settings.guardianTimeout;
}

} // namespace lacewing
