#include "coordination/lease_manager.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(200);
constexpr Duration reviewInterval = std::chrono::seconds(1);
/// Daemons that see different peers may each prefer the other as the holder of a lease. Any daemon may take a
/// lease without a holder after this delay, and hands it over only after orphanHandOverDelay.
constexpr Duration orphanDelay = std::chrono::seconds(10);
constexpr Duration orphanHandOverDelay = std::chrono::seconds(60);
/// Poll intervals for a wanted lease that another daemon holds: frequent while a hand-over is likely, relaxed
/// afterwards.
constexpr Duration frequentPollInterval = std::chrono::milliseconds(400);
constexpr Duration relaxedPollInterval = std::chrono::seconds(3);
constexpr Duration frequentPollDuration = std::chrono::seconds(60);
constexpr Duration shortestListInterval = std::chrono::seconds(5);
/// Limits the list calls of the whole fleet to 5 per second, independent of its size.
constexpr Duration listIntervalPerDaemon = std::chrono::milliseconds(200);
constexpr Duration shortestRetry = std::chrono::milliseconds(200);
constexpr Duration longestRetry = std::chrono::seconds(4);
/// Minimum remaining validity of the session for taking a lease.
constexpr Duration takeMargin = std::chrono::seconds(1);
/// Limits the number of leases in one transaction.
constexpr size_t largestBatch = 32;
constexpr size_t pollBatch = 128;

bool sameHosts(const std::vector<LeaseHost>& a, const std::vector<LeaseHost>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const LeaseHost& x, const LeaseHost& y) {
        return x.host == y.host && x.dataCentre == y.dataCentre;
    });
}

} // namespace

LeaseManager::LeaseManager(LeaseSettings settings, SessionManager& session, SessionDirectory& directory,
    TableService& table, Scheduler& scheduler, const LeaseAssignment& assignment, const LeaseFleetView& fleet,
    const SafetyRules& rules, LeaseListener& listener, uint64_t seed)
    : m_settings(settings)
    , m_session(session)
    , m_directory(directory)
    , m_table(table)
    , m_scheduler(scheduler)
    , m_assignment(assignment)
    , m_fleet(fleet)
    , m_rules(rules)
    , m_listener(listener)
    , m_random(seed)
    , m_backoff(shortestRetry, longestRetry)
    , m_timer(
          scheduler, [] { return tickInterval; }, [this] { tick(); })
    , m_batchSize(largestBatch)
{
    m_session.addListener(*this);
    m_directory.addListener([this](const SessionEntry& entry) { fleetChanged(); });
}

void LeaseManager::start()
{
    m_startedAt = m_scheduler.now();
    m_timer.start();
}

void LeaseManager::setNames(std::vector<LeaseName> names)
{
    m_names = std::move(names);
    m_namesChanged = true;
    updatePreferred();
}

void LeaseManager::fleetChanged()
{
    // Deferred to the next tick, because one list call can change many session entries.
    m_fleetChanged = true;
}

bool LeaseManager::mayAct(const std::string& name, Duration margin)
{
    return m_held.count(name) != 0 && m_session.isValid(margin);
}

std::optional<FencingNumber> LeaseManager::fencingNumber(const std::string& name) const
{
    const auto found = m_held.find(name);
    return found == m_held.end() ? std::nullopt : std::make_optional(found->second.fencingNumber);
}

std::map<std::string, FencingNumber> LeaseManager::held() const
{
    std::map<std::string, FencingNumber> leases;
    for (const auto& [name, lease] : m_held)
        leases.emplace(name, lease.fencingNumber);
    return leases;
}

void LeaseManager::release(const std::string& name)
{
    if (m_held.erase(name) == 0)
        return;
    ++m_changeCount;
    m_releasing.insert(name);
    m_listener.leaseLost(name);
    startNextOperation();
}

void LeaseManager::releaseAll(std::function<void()> done)
{
    m_stopping = true;
    m_releasedAll = std::move(done);
    for (auto& [name, lease] : std::exchange(m_held, {})) {
        ++m_changeCount;
        m_releasing.insert(name);
        m_listener.leaseLost(name);
    }
    finishReleaseAll();
    startNextOperation();
}

std::optional<LeaseRow> LeaseManager::holderOf(const std::string& name) const
{
    const auto found = m_known.find(name);
    if (found == m_known.end() || found->second.row.isReleased())
        return std::nullopt;
    return found->second.row;
}

HostId LeaseManager::preferredHolder(const std::string& name) const
{
    const auto found = m_preferred.find(name);
    return found == m_preferred.end() ? HostId() : found->second;
}

void LeaseManager::sessionEnded()
{
    ++m_epoch;
    m_busy = false;
    m_releasing.clear();
    for (auto& [name, lease] : std::exchange(m_held, {})) {
        ++m_changeCount;
        m_listener.leaseLost(name);
    }
    finishReleaseAll();
}

void LeaseManager::tick()
{
    const MonotonicTime now = m_scheduler.now();
    if (std::exchange(m_fleetChanged, false)) {
        updatePreferred();
        // The end of a session may have made wanted leases available.
        m_nextPoll = std::min(m_nextPoll, now);
    }
    if (now >= m_nextReview) {
        m_nextReview = now + reviewInterval;
        updatePreferred();
        considerHandOver();
    }
    startNextOperation();
}

void LeaseManager::startNextOperation()
{
    const MonotonicTime now = m_scheduler.now();
    if (m_busy || now < m_retryAt)
        return;
    if (!m_releasing.empty())
        return writeReleases();
    if (now >= m_nextPoll && mayTake() && !wantedNames().empty())
        return poll();
    if (now >= m_nextList)
        listAll();
}

void LeaseManager::updatePreferred()
{
    std::vector<LeaseHost> hosts = m_fleet.leaseHosts();
    if (!m_namesChanged && sameHosts(hosts, m_hosts))
        return;
    m_namesChanged = false;
    m_hosts = std::move(hosts);
    m_preferred = m_assignment.assign(m_names, m_hosts);
    m_ownNames.clear();
    for (const auto& [name, host] : m_preferred) {
        if (host == m_session.settings().host)
            m_ownNames.push_back(name);
    }
    for (auto lease = m_unheldSince.begin(); lease != m_unheldSince.end();)
        lease = m_preferred.count(lease->first) == 0 ? m_unheldSince.erase(lease) : std::next(lease);
    m_wantedSince = m_nextPoll = m_scheduler.now();
}

void LeaseManager::considerHandOver()
{
    // The listener may call release() synchronously, which modifies m_held.
    std::vector<std::string> names;
    for (auto& [name, lease] : m_held)
        names.push_back(name);
    for (const std::string& name : names) {
        const auto found = m_held.find(name);
        if (found != m_held.end())
            considerHandOver(name, found->second, m_scheduler.now());
    }
}

void LeaseManager::considerHandOver(const std::string& name, HeldLease& lease, MonotonicTime now)
{
    const auto preferred = m_preferred.find(name);
    const bool configured = preferred != m_preferred.end();
    const bool mine = configured && preferred->second == m_session.settings().host;
    if (mine || (configured && !m_fleet.isAlive(preferred->second)) || (!configured && m_hosts.empty())) {
        lease.otherPreferredSince.reset();
        lease.isHandOverPending = false;
        return;
    }
    if (!lease.otherPreferredSince)
        lease.otherPreferredSince = now;
    const Duration delay = lease.takenAsOrphan ? orphanHandOverDelay : m_settings.handOverDelay;
    if (lease.isHandOverPending || now - *lease.otherPreferredSince < delay)
        return;
    lease.isHandOverPending = true;
    m_listener.handOverRequested(name);
}

std::vector<std::string> LeaseManager::wantedNames() const
{
    std::vector<std::string> names;
    for (const std::string& name : m_ownNames) {
        if (m_held.count(name) == 0)
            names.push_back(name);
    }
    for (const auto& [name, since] : m_unheldSince) {
        if (isOrphan(name) && preferredHolder(name) != m_session.settings().host)
            names.push_back(name);
    }
    return names;
}

bool LeaseManager::mayTake()
{
    return !m_stopping && !m_session.isLeaving() && m_session.confirmedVersion()
        && m_scheduler.now() - m_startedAt >= m_settings.startDelay && m_session.isValid(takeMargin);
}

template <typename Function> auto LeaseManager::guardResponse(Function function)
{
    return m_lifetime.guard([this, epoch = m_epoch, function = std::move(function)](auto&&... arguments) {
        if (epoch != m_epoch)
            return;
        m_busy = false;
        function(std::forward<decltype(arguments)>(arguments)...);
    });
}

void LeaseManager::poll()
{
    m_busy = true;
    std::vector<std::string> names = wantedNames();
    if (names.size() > pollBatch)
        names.resize(pollBatch);
    m_table.read(pollKeys(names),
        guardResponse([this, names](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            if (error)
                return callFailed();
            pollCompleted(names, rows);
        }));
}

std::vector<std::string> LeaseManager::pollKeys(const std::vector<std::string>& names) const
{
    std::set<std::string> keys;
    for (const std::string& name : names) {
        keys.insert(leaseKey(name));
        const auto known = m_known.find(name);
        if (known != m_known.end() && !known->second.row.isReleased())
            keys.insert(sessionKey(known->second.row.host));
    }
    return std::vector<std::string>(keys.begin(), keys.end());
}

void LeaseManager::pollCompleted(const std::vector<std::string>& names, const std::vector<TableRow>& rows)
{
    m_backoff.reset();
    const MonotonicTime now = m_scheduler.now();
    const bool isFrequent = now - m_wantedSince < frequentPollDuration;
    m_nextPoll = now + jittered(isFrequent ? frequentPollInterval : relaxedPollInterval);
    for (const TableRow& row : rows) {
        m_directory.apply(row);
        updateKnownLease(row);
    }
    takeUnheldLeases(names);
}

void LeaseManager::takeUnheldLeases(const std::vector<std::string>& names)
{
    const auto sessionVersion = m_session.confirmedVersion();
    if (!sessionVersion || !mayTake())
        return;
    TakeBatch take;
    for (const std::string& name : names) {
        if (take.leases.size() < m_batchSize && m_held.count(name) == 0 && m_releasing.count(name) == 0)
            addToTakeBatch(take, name);
    }
    if (take.leases.empty())
        return;
    take.transaction.writeId = newWriteId();
    take.transaction.conditions.push_back({ sessionKey(m_session.settings().host), *sessionVersion });
    m_busy = true;
    m_table.commit(take.transaction,
        guardResponse([this, take](std::optional<TableError> error) { takeCompleted(take, error); }));
}

void LeaseManager::addToTakeBatch(TakeBatch& take, const std::string& name)
{
    const auto known = m_known.find(name);
    LeaseRow row;
    RowVersion version(0);
    if (known != m_known.end()) {
        row = known->second.row;
        version = known->second.version;
        if (!row.isReleased() && !holderIsGone(row, take.transaction.conditions))
            return;
    }
    row.host = m_session.settings().host;
    row.incarnation = m_session.incarnation();
    row.fencingNumber += FencingNumber(1);
    take.transaction.conditions.push_back({ leaseKey(name), version });
    take.transaction.writes.push_back({ leaseKey(name), encode(row) });
    take.leases.emplace_back(name, row);
}

bool LeaseManager::holderIsGone(const LeaseRow& row, std::vector<TableCondition>& conditions) const
{
    const SessionEntry* entry = m_directory.find(row.host);
    if (!entry || !m_rules.isGone(entry->row, row.incarnation))
        return false;
    if (row.host == m_session.settings().host)
        return true;
    const std::string key = sessionKey(row.host);
    const bool listed = std::any_of(conditions.begin(), conditions.end(),
        [&](const TableCondition& condition) { return condition.key == key; });
    if (!listed)
        conditions.push_back({ key, entry->version });
    return true;
}

void LeaseManager::takeCompleted(const TakeBatch& take, std::optional<TableError> error)
{
    if (error) {
        // If the transaction was committed but its response was lost, the next poll reads the new rows.
        m_batchSize = 1;
        m_nextPoll = m_scheduler.now();
        return callFailed();
    }
    m_backoff.reset();
    m_batchSize = std::min(m_batchSize * 2, largestBatch);
    for (const auto& [name, row] : take.leases) {
        m_known[name] = KnownLease { row, RowVersion(0) };
        recordHeldLease(name, row.fencingNumber);
    }
    if (!wantedNames().empty())
        m_nextPoll = m_scheduler.now();
    startNextOperation();
}

void LeaseManager::listAll()
{
    m_busy = true;
    const Duration interval
        = std::max(shortestListInterval, listIntervalPerDaemon * static_cast<int64_t>(m_fleet.fleetSize()));
    m_nextList = m_scheduler.now() + jittered(interval);
    m_table.list(leasePrefix,
        guardResponse([this](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            if (error)
                return callFailed();
            m_backoff.reset();
            for (const TableRow& row : rows)
                updateKnownLease(row);
            updateUnheldSince();
        }));
}

void LeaseManager::updateUnheldSince()
{
    std::vector<TableCondition> ignored;
    for (const LeaseName& lease : m_names) {
        const auto known = m_known.find(lease.name);
        const bool isUnheld = m_held.count(lease.name) == 0
            && (known == m_known.end() || known->second.row.isReleased()
                || holderIsGone(known->second.row, ignored));
        if (isUnheld)
            m_unheldSince.try_emplace(lease.name, m_scheduler.now());
        else
            m_unheldSince.erase(lease.name);
    }
}

bool LeaseManager::isOrphan(const std::string& name) const
{
    const auto found = m_unheldSince.find(name);
    return found != m_unheldSince.end() && m_scheduler.now() - found->second >= orphanDelay;
}

void LeaseManager::writeReleases()
{
    m_busy = true;
    std::vector<std::string> keys;
    for (const std::string& name : m_releasing) {
        if (keys.size() < largestBatch)
            keys.push_back(leaseKey(name));
    }
    m_table.read(
        keys, guardResponse([this](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            if (error)
                return callFailed();
            commitReleases(rows);
        }));
}

void LeaseManager::commitReleases(const std::vector<TableRow>& rows)
{
    TableTransaction transaction;
    transaction.writeId = newWriteId();
    std::vector<std::string> names;
    for (const TableRow& row : rows) {
        const std::string name = row.key.substr(std::string(leasePrefix).size());
        auto lease = decodeLeaseRow(row.value);
        if (!lease || !isMine(*lease)) {
            releaseCompleted(name);
            continue;
        }
        lease->host = HostId();
        lease->incarnation = Incarnation(0);
        transaction.conditions.push_back({ row.key, row.version });
        transaction.writes.push_back({ row.key, encode(*lease) });
        names.push_back(name);
    }
    if (names.empty())
        return finishReleaseAll();
    m_busy = true;
    m_table.commit(transaction, guardResponse([this, names](std::optional<TableError> error) {
        // An earlier attempt whose response was lost may still be committed until a row without this daemon
        // as the holder is read, so the lease stays released.
        if (error)
            return callFailed();
        m_backoff.reset();
        for (const std::string& name : names)
            releaseCompleted(name);
        finishReleaseAll();
        startNextOperation();
    }));
}

void LeaseManager::releaseCompleted(const std::string& name)
{
    m_releasing.erase(name);
    // The cached value must match its version: with a changed value under a version that is still current, a
    // later take could replace a live holder.
    m_known.erase(name);
    m_nextPoll = m_scheduler.now();
    LogEvent(LogLevel::Info, "lease_released").with("host", m_session.settings().host).with("lease", name);
}

void LeaseManager::finishReleaseAll()
{
    if (m_stopping && m_releasing.empty() && m_releasedAll)
        std::exchange(m_releasedAll, nullptr)();
}

void LeaseManager::updateKnownLease(const TableRow& row)
{
    const std::string prefix = leasePrefix;
    if (row.key.compare(0, prefix.size(), prefix) != 0)
        return;
    const std::string name = row.key.substr(prefix.size());
    const auto known = m_known.find(name);
    const bool unchanged = known != m_known.end() && known->second.version == row.version;
    if (unchanged && (m_held.count(name) != 0 || !isMine(known->second.row)))
        return;
    const auto lease = decodeLeaseRow(row.value);
    if (!lease) {
        LogEvent(LogLevel::Error, "lease_row_malformed").with("key", row.key);
        return;
    }
    m_known[name] = KnownLease { *lease, row.version };
    if (isMine(*lease) && m_releasing.count(name) == 0)
        recordHeldLease(name, lease->fencingNumber);
}

void LeaseManager::recordHeldLease(const std::string& name, FencingNumber fencingNumber)
{
    HeldLease lease;
    lease.fencingNumber = fencingNumber;
    lease.takenAsOrphan = isOrphan(name);
    if (!m_held.emplace(name, lease).second)
        return;
    m_unheldSince.erase(name);
    ++m_changeCount;
    LogEvent(LogLevel::Info, "lease_acquired")
        .with("host", m_session.settings().host)
        .with("lease", name)
        .with("fencing_number", fencingNumber);
    m_listener.leaseAcquired(name, fencingNumber);
}

bool LeaseManager::isMine(const LeaseRow& row) const
{
    return row.host == m_session.settings().host && row.incarnation == m_session.incarnation()
        && !row.isReleased();
}

std::string LeaseManager::newWriteId()
{
    return m_session.settings().host.value() + "/" + std::to_string(m_session.incarnation().value()) + "/l"
        + std::to_string(++m_writeCount) + "/" + std::to_string(m_random.next());
}

Duration LeaseManager::jittered(Duration interval)
{
    return Duration(
        static_cast<int64_t>((0.75 + 0.5 * m_random.uniform()) * static_cast<double>(interval.count())));
}

void LeaseManager::callFailed()
{
    m_retryAt = m_scheduler.now() + m_backoff.afterFailure(m_random);
}

} // namespace lacewing
