#include "gateway/fleet_agent.h"

#include "base/log.h"
#include "base/stable_hash.h"
#include "transport/link_proof.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

constexpr Duration feedWait = std::chrono::milliseconds(1500);
constexpr Duration feedInterval = std::chrono::milliseconds(1300);
/// In a large fleet whose hosts are all in touch, rows are renewed and read less often: each host above
/// smallFleetSize adds this to the intervals.
constexpr Duration steadySpacing = std::chrono::milliseconds(150);
constexpr Duration maximumSteadyInterval = std::chrono::seconds(12);
/// Number of hosts up to which the intervals are not extended.
constexpr int64_t smallFleetSize = 12;
/// Minimum interval per host between reads of the table while the fleet is not stable, to bound the load that
/// a large fleet puts on the store.
constexpr Duration unstableSpacing = std::chrono::milliseconds(30);
/// Renewal interval in percent of the lease time. Below 50, so that one renewal may fail.
constexpr int renewalPercent = 42;
constexpr Duration claimInterval = std::chrono::milliseconds(300);
/// Shortest interval between reads while the fleet is not stable, so that hosts that join or leave are
/// noticed soon.
constexpr Duration unstableFeedInterval = std::chrono::milliseconds(200);
/// After a start all hosts write their rows at about the same time and must learn of each other soon, so
/// reads are at most startupFeedInterval apart during this period.
constexpr Duration startupPeriod = std::chrono::milliseconds(1200);
constexpr Duration startupFeedInterval = std::chrono::milliseconds(400);
/// Hosts of a new fleet spread the creation of the link secret over this time, so that few writes conflict.
constexpr Duration secretCreationJitter = std::chrono::milliseconds(300);
constexpr Duration secretRetryInterval = std::chrono::seconds(1);
/// Hosts that learn from peers that the store has come back from a copy spread their reads over this time.
constexpr Duration restoredReadJitter = std::chrono::milliseconds(1000);
/// A fleet does not count as stable before this time after the start.
constexpr Duration stabilisationTime = std::chrono::seconds(3);
/// Hosts of a new fleet wait for this time before their first claims, so that they know each other when they
/// divide the engines.
constexpr Duration initialClaimDelay = std::chrono::milliseconds(700);
/// Rows of hosts that have been dead for longer than this are removed.
constexpr Duration deadRowRetention = std::chrono::seconds(20);
/// Bounds the size of a transaction: each engine needs a condition and a write, and its last owner another
/// condition.
constexpr size_t maximumClaimsPerCall = 30;
/// Longest time that an order takes to reach its engine. Under OwnershipRule::LeaseOnly, no orders are
/// sent in this last part of a lease.
constexpr Duration orderDeliveryTime = std::chrono::milliseconds(200);

std::string toHex(std::string_view bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const char byte : bytes) {
        text += digits[static_cast<unsigned char>(byte) >> 4];
        text += digits[static_cast<unsigned char>(byte) & 15];
    }
    return text;
}

} // namespace

FleetAgent::FleetAgent(Scheduler& scheduler, RowStore& store, HostRecord self, Duration leaseTime,
    OwnershipRule rule, Handlers handlers)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_self(std::move(self))
    , m_leaseTime(leaseTime)
    , m_rule(rule)
    , m_handlers(std::move(handlers))
    , m_registry(m_self.host, m_self.incarnation, leaseTime)
    , m_started(scheduler.now())
    , m_renewalTimer(
          scheduler, [this] { return renewalInterval(); }, [this] { renew(); })
    , m_claimTimer(
          scheduler, [] { return claimInterval; }, [this] { claimUnownedEngines(); })
    , m_feed(scheduler, store, *this,
          { FleetRows::table, [] { return feedWait; }, [this] { return currentFeedInterval(); } })
{
}

void FleetAgent::start()
{
    m_feed.start();
    m_renewalTimer.start();
    m_claimTimer.start();
}

void FleetAgent::setLeaseTime(Duration leaseTime)
{
    m_leaseTime = leaseTime;
    m_registry.setLeaseTime(leaseTime);
}

bool FleetAgent::isLeaseValid() const
{
    if (!m_lastRenewal)
        return false;
    const Duration age = m_scheduler.now() - *m_lastRenewal;
    return m_rule == OwnershipRule::LeaseOnly ? age < m_leaseTime - orderDeliveryTime
                                              : age < std::max(m_leaseTime, renewalInterval() * 2);
}

bool FleetAgent::isOfCurrentLease(RowVersion version) const
{
    return m_rule == OwnershipRule::EnginesCheckFencing || version > m_leaseStart;
}

std::vector<UpstreamId> FleetAgent::enginesToReclaim(
    const std::set<UpstreamId>& inUse, const ReportedOwners& reported) const
{
    std::vector<UpstreamId> engines;
    std::set<UpstreamId> confirmed;
    const Duration sinceCopy = m_scheduler.now() - m_restoredAt;
    for (const UpstreamId& engine : m_registry.ownedBySelf()) {
        confirmed.insert(engine);
        if (inUse.count(engine) == 0)
            continue;
        const RowVersion version = m_registry.ownerVersion(engine);
        // The copy names this host, but another one has claimed the engine since and claims it again.
        const bool isOutdated = mayBeCopied(version) && m_owned.count(engine) == 0
            && reported.count(engine) == 0 && sinceCopy > m_leaseTime;
        if (isOutdated || !isOfCurrentLease(version) || isHandedOver(engine))
            engines.push_back(engine);
    }
    for (const UpstreamId& engine : m_keptEngines) {
        if (inUse.count(engine) > 0 && confirmed.count(engine) == 0)
            engines.push_back(engine);
    }
    return engines;
}

void FleetAgent::peerKnowsEra(StoreEra era)
{
    if (era <= m_feed.era() || m_feed.era() == StoreEra() || std::exchange(m_isReadDue, true))
        return;
    const auto fraction = static_cast<int64_t>(stableHash(m_self.host.value()) % 1000);
    m_scheduler.runAfter(restoredReadJitter * fraction / 1000, m_lifetime.guard([this] {
        m_isReadDue = false;
        m_feed.pollNow();
    }));
}

void FleetAgent::storeRestored(RowVersion copy)
{
    LogEvent(LogLevel::Warning, "fleet_rows_restored")
        .with("era", copy.era())
        .with("version", copy)
        .with("owned_engines", m_owned.size());
    m_copy = copy;
    m_restoredAt = m_scheduler.now();
    m_isRestored = true;
    for (const auto& [engine, number] : m_owned)
        m_keptEngines.insert(engine);
    m_handlers.onStoreRestored();
}

void FleetAgent::tableRead(const std::vector<StoredRow>& rows)
{
    const MonotonicTime now = m_scheduler.now();
    const bool isRestored = std::exchange(m_isRestored, false);
    if (isRestored)
        m_registry.restore(rows, now);
    else
        m_registry.reset(rows, now);
    if (isRestored) {
        m_ownVersion = m_registry.hostVersion(m_self.host);
        m_isOwnRowMissing = true;
        renew();
    }
    if (!std::exchange(m_hasReadTable, true)) {
        m_ownVersion = m_registry.hostVersion(m_self.host);
        // After a restart the rows of the other hosts still show how many there are, so the first claims need
        // not wait for initialClaimDelay.
        m_isKnownHost = m_ownVersion != RowVersion(0);
        renew();
    }
    if (!m_registry.isSecretStored())
        createSecretLater();
    updateOwnership();
    if (isRestored)
        claimUnownedEngines();
    m_handlers.onFleetChanged();
    m_handlers.onRows(rows, true);
}

void FleetAgent::rowsChanged(const std::vector<StoredRow>& rows)
{
    for (const StoredRow& row : rows)
        m_registry.apply(row, m_scheduler.now());
    updateOwnership();
    m_handlers.onFleetChanged();
    m_handlers.onRows(rows, false);
}

void FleetAgent::feedResumed(Duration outage)
{
    m_registry.resumeObservation(m_scheduler.now());
}

void FleetAgent::createSecretLater()
{
    const auto fraction = static_cast<int64_t>(stableHash(m_self.host.value()) % 1000);
    m_scheduler.runAfter(
        secretCreationJitter * fraction / 1000, m_lifetime.guard([this] { createSecret(); }));
}

// Several hosts may try this at once. The condition lets only one succeed; the others receive its secret
// through the feed. A secret that the store has lost is written again.
void FleetAgent::createSecret()
{
    if (m_registry.isSecretStored())
        return;
    const bool isKnown = m_registry.linkSecret().has_value();
    std::string secret = m_registry.linkSecret().value_or("");
    if (!isKnown) {
        const auto nonce = makeLinkNonce();
        if (!nonce) {
            LogEvent(LogLevel::Error, "link_secret_failed").with("reason", "no random bytes");
            return;
        }
        secret = toHex(*nonce);
    }
    RowTransaction transaction;
    transaction.conditions.push_back({ FleetRows::secretKey(), RowVersion(0) });
    transaction.writes.push_back({ FleetRows::secretKey(), secret });
    m_store.commit(std::move(transaction), m_lifetime.guard([this, isKnown](const CommitResult& result) {
        if (result.value && isKnown)
            m_handlers.onRowsWrittenAgain("secret", 1);
        if (result.value || result.error == RowStoreError::Conflict)
            return;
        LogEvent(LogLevel::Warning, "link_secret_failed").with("reason", toString(result.error));
        m_scheduler.runAfter(secretRetryInterval, m_lifetime.guard([this] { createSecretLater(); }));
    }));
}

void FleetAgent::renew()
{
    if (m_isRenewing || m_isReleased || !m_hasReadTable)
        return;
    m_isRenewing = true;
    ++m_self.renewal;
    RowTransaction transaction;
    transaction.conditions.push_back({ FleetRows::hostKey(m_self.host), m_ownVersion });
    transaction.writes.push_back({ FleetRows::hostKey(m_self.host), FleetRows::encode(m_self) });
    const MonotonicTime sent = m_scheduler.now();
    m_store.commit(std::move(transaction),
        m_lifetime.guard([this, sent](const CommitResult& result) { renewed(sent, result); }));
}

void FleetAgent::renewed(MonotonicTime sent, const CommitResult& result)
{
    m_isRenewing = false;
    m_isRenewalLost = !result.value && result.error != RowStoreError::Conflict;
    if (result.value) {
        m_ownVersion = *result.value;
        if (m_isOwnRowMissing && !mayBeCopied(m_ownVersion)) {
            m_isOwnRowMissing = false;
            m_handlers.onRowsWrittenAgain("host", 1);
        }
        const bool isFirst = !m_lastRenewal;
        // If the previous lease expired before this result arrived, another host may have owned the engines.
        const bool isNewSession = isFirst || m_scheduler.now() - *m_lastRenewal >= m_leaseTime;
        m_lastRenewal = sent;
        if (isNewSession) {
            m_leaseStart = m_ownVersion;
            if (m_rule == OwnershipRule::LeaseOnly)
                m_keptEngines.clear();
        }
        m_registry.apply({ FleetRows::hostKey(m_self.host), FleetRows::encode(m_self), m_ownVersion, false },
            m_scheduler.now());
        if (isNewSession) {
            updateOwnership();
            claimUnownedEngines();
        }
        return;
    }
    // A conflict means that a delayed renewal or an earlier incarnation of this host has written the row.
    if (result.error != RowStoreError::Conflict)
        return;
    if (result.current && !result.current->empty())
        ownRowRead(*result.current);
    else
        rereadOwnRow();
}

bool FleetAgent::isInTouchWithAllHosts() const
{
    const MonotonicTime now = m_scheduler.now();
    return now - m_started > stabilisationTime && !m_registry.hasHostsOutOfTouch(now);
}

Duration FleetAgent::steadyInterval(Duration usual) const
{
    const auto hosts = static_cast<int64_t>(m_registry.hostCount());
    if (hosts <= smallFleetSize)
        return usual;
    return std::min(maximumSteadyInterval, usual + steadySpacing * (hosts - smallFleetSize));
}

Duration FleetAgent::renewalInterval() const
{
    const Duration usual = m_leaseTime * renewalPercent / 100;
    return m_rule == OwnershipRule::EnginesCheckFencing && isInTouchWithAllHosts() ? steadyInterval(usual)
                                                                                   : usual;
}

Duration FleetAgent::currentFeedInterval() const
{
    if (isStable())
        return steadyInterval(feedInterval);
    const auto hosts = static_cast<int64_t>(m_registry.hostCount());
    const Duration spaced = std::max(unstableFeedInterval, unstableSpacing * hosts);
    return m_scheduler.now() - m_started < startupPeriod ? std::min(startupFeedInterval, spaced) : spaced;
}

void FleetAgent::setInTouch(const std::set<HostId>& hosts)
{
    const bool wereAllInTouch = isInTouchWithAllHosts();
    m_registry.setInTouch(hosts, m_scheduler.now());
    // Hosts that don't receive this host's heartbeats judge by its row, so it must be recent.
    if (wereAllInTouch && !isInTouchWithAllHosts() && m_registry.hostCount() > smallFleetSize) {
        renew();
        m_renewalTimer.start();
    }
}

void FleetAgent::rereadOwnRow()
{
    m_store.readRow(
        FleetRows::hostKey(m_self.host), m_lifetime.guard([this](const RowResult<RowSet>& result) {
            if (result.value)
                ownRowRead(result.value->rows);
        }));
}

void FleetAgent::ownRowRead(const std::vector<StoredRow>& rows)
{
    m_ownVersion = RowVersion(0);
    for (const StoredRow& row : rows)
        m_ownVersion = row.version;
    renew();
}

void FleetAgent::claimUnownedEngines()
{
    const MonotonicTime now = m_scheduler.now();
    const bool mayClaim = m_isKnownHost || now - m_started > initialClaimDelay;
    if (m_isReleased || m_isClaiming || !mayClaim || !isLeaseValid() || m_feed.isLost())
        return;
    const auto ineligible = m_handlers.ineligibleHosts();
    const std::set<UpstreamId> inUse = m_handlers.engines();
    const ReportedOwners reported = m_handlers.reportedOwners();
    m_registry.setHostsWithoutEngines(m_handlers.hostsWithoutEngines());
    m_hasUnownedEngines = m_registry.hasUnownedEngines(inUse, reported, now);
    if (ineligible.count(m_self.host) > 0)
        return;
    auto engines = m_registry.enginesToClaim(inUse, reported, ineligible, now);
    const auto reclaims = enginesToReclaim(inUse, reported);
    engines.erase(std::remove_if(engines.begin(), engines.end(),
                      [&reclaims](const UpstreamId& engine) {
                          return std::find(reclaims.begin(), reclaims.end(), engine) != reclaims.end();
                      }),
        engines.end());
    engines.insert(engines.begin(), reclaims.begin(), reclaims.end());
    if (!engines.empty())
        claim(engines);
    removeDeadHosts();
}

std::vector<RowCondition> FleetAgent::claimConditions(const std::vector<UpstreamId>& engines) const
{
    std::vector<RowCondition> conditions;
    std::set<HostId> silent;
    for (const UpstreamId& engine : engines) {
        conditions.push_back({ FleetRows::ownerKey(engine), m_registry.ownerVersion(engine) });
        const auto owner = m_registry.presumedDeadOwner(engine);
        if (owner && m_keptEngines.count(engine) == 0)
            silent.insert(*owner);
    }
    for (const HostId& host : silent)
        conditions.push_back({ FleetRows::hostKey(host), m_registry.hostVersion(host) });
    return conditions;
}

void FleetAgent::claim(const std::vector<UpstreamId>& engines)
{
    m_isClaiming = true;
    OwnerRecord record;
    record.host = m_self.host;
    record.incarnation = m_self.incarnation;
    const size_t count = std::min(engines.size(), maximumClaimsPerCall);
    const std::vector<UpstreamId> claims(engines.begin(), engines.begin() + static_cast<ptrdiff_t>(count));
    RowTransaction transaction;
    transaction.conditions = claimConditions(claims);
    for (const UpstreamId& engine : claims)
        transaction.writes.push_back({ FleetRows::ownerKey(engine), FleetRows::encode(record) });
    const auto conditions = transaction.conditions;
    m_store.commit(
        std::move(transaction), m_lifetime.guard([this, claims, conditions](const CommitResult& result) {
            m_isClaiming = false;
            if (result.value) {
                claimed(claims, *result.value);
                return;
            }
            LogEvent(LogLevel::Info, "claim_failed")
                .with("engines", claims.size())
                .with("reason", toString(result.error));
            // Without current rows the feed reports the owners. If only the result was lost, this host may be
            // one.
            if (result.current)
                claimConflicted(conditions, *result.current);
        }));
}

void FleetAgent::countRewrites(const std::vector<UpstreamId>& engines)
{
    const auto kept = std::count_if(engines.begin(), engines.end(),
        [this](const UpstreamId& engine) { return m_keptEngines.count(engine) > 0; });
    if (kept > 0)
        m_handlers.onRowsWrittenAgain("owner", static_cast<size_t>(kept));
}

void FleetAgent::claimed(const std::vector<UpstreamId>& engines, RowVersion version)
{
    countRewrites(engines);
    OwnerRecord record;
    record.host = m_self.host;
    record.incarnation = m_self.incarnation;
    for (const UpstreamId& engine : engines)
        m_registry.apply(
            { FleetRows::ownerKey(engine), FleetRows::encode(record), version, false }, m_scheduler.now());
    updateOwnership();
    m_handlers.onFleetChanged();
}

void FleetAgent::claimConflicted(
    const std::vector<RowCondition>& conditions, const std::vector<StoredRow>& current)
{
    const MonotonicTime now = m_scheduler.now();
    std::map<std::string, const StoredRow*> existing;
    for (const StoredRow& row : current)
        existing[row.id.key] = &row;
    bool hasChanged = false;
    for (const RowCondition& condition : conditions) {
        const auto row = existing.find(condition.id.key);
        const bool isMissing = row == existing.end();
        const RowVersion version = isMissing ? RowVersion(0) : row->second->version;
        hasChanged = hasChanged || version != condition.expected;
        m_registry.apply(isMissing ? StoredRow { condition.id, "", version, true } : *row->second, now);
    }
    updateOwnership();
    // Retry only if the conflict brought new information; otherwise claims would follow in a tight loop.
    if (hasChanged)
        claimUnownedEngines();
}

std::map<UpstreamId, FencingNumber> FleetAgent::currentEngines() const
{
    std::map<UpstreamId, FencingNumber> owned;
    for (const UpstreamId& engine : m_keptEngines) {
        const auto before = m_owned.find(engine);
        if (before != m_owned.end() && mayBeCopied(m_registry.ownerVersion(engine)))
            owned[engine] = before->second;
    }
    for (const UpstreamId& engine : m_registry.ownedBySelf()) {
        const RowVersion version = m_registry.ownerVersion(engine);
        const FencingNumber number = FleetRows::fencingNumber(version);
        const auto fenced = m_fenced.find(engine);
        const bool isFenced = fenced != m_fenced.end() && fenced->second == number;
        if (!mayBeCopied(version) && isOfCurrentLease(version) && !isFenced && !isHandedOver(engine))
            owned[engine] = number;
    }
    return owned;
}

void FleetAgent::updateOwnership()
{
    const std::map<UpstreamId, FencingNumber> owned = currentEngines();
    const auto before = std::exchange(m_owned, owned);
    const auto kept = m_keptEngines;
    for (const UpstreamId& engine : kept) {
        if (!mayBeCopied(m_registry.ownerVersion(engine)))
            m_keptEngines.erase(engine);
    }
    for (const auto& [engine, number] : before) {
        const auto current = owned.find(engine);
        const bool isRenumbered = current != owned.end() && kept.count(engine) > 0;
        if (isRenumbered || (current != owned.end() && current->second == number))
            continue;
        LogEvent(LogLevel::Info, "engine_lost").with("engine", engine);
        m_handlers.onLost(engine);
    }
    for (const auto& [engine, number] : owned) {
        const auto earlier = before.find(engine);
        if (m_isReleased || (earlier != before.end() && earlier->second == number))
            continue;
        const bool isRenumbered = earlier != before.end() && kept.count(engine) > 0;
        LogEvent(LogLevel::Info, isRenumbered ? "engine_claimed_again" : "engine_claimed")
            .with("engine", engine)
            .with("fencing_number", number);
        if (isRenumbered)
            m_handlers.onRenumbered(engine, number);
        else
            m_handlers.onClaimed(engine, number);
    }
}

void FleetAgent::stepDown(const UpstreamId& engine)
{
    const auto owned = m_owned.find(engine);
    if (owned == m_owned.end())
        return;
    m_fenced[engine] = owned->second;
    m_owned.erase(owned);
    m_keptEngines.erase(engine);
    LogEvent(LogLevel::Warning, "engine_fenced").with("engine", engine);
    m_handlers.onLost(engine);
}

bool FleetAgent::isHandedOver(const UpstreamId& engine) const
{
    const auto found = m_handedOver.find(engine);
    return found != m_handedOver.end()
        && found->second == FleetRows::fencingNumber(m_registry.ownerVersion(engine));
}

void FleetAgent::handOver()
{
    const auto owned = std::exchange(m_owned, {});
    if (owned.empty())
        return;
    LogEvent(LogLevel::Warning, "engines_handed_over").with("count", owned.size());
    RowTransaction transaction;
    for (const auto& [engine, number] : owned) {
        transaction.conditions.push_back({ FleetRows::ownerKey(engine), m_registry.ownerVersion(engine) });
        transaction.writes.push_back({ FleetRows::ownerKey(engine), std::nullopt });
        m_handedOver[engine] = FleetRows::fencingNumber(m_registry.ownerVersion(engine));
        m_keptEngines.erase(engine);
        m_handlers.onLost(engine);
    }
    // Without the store, peers learn from heartbeats that this host has given the engines up.
    m_store.commit(std::move(transaction), m_lifetime.guard([this, owned](const CommitResult& result) {
        LogEvent(LogLevel::Info, "owner_rows_removed").with("done", result.value.has_value());
        if (!result.value)
            return;
        for (const auto& [engine, number] : owned)
            m_registry.apply({ FleetRows::ownerKey(engine), "", *result.value, true }, m_scheduler.now());
    }));
}

void FleetAgent::removeDeadHosts()
{
    const MonotonicTime now = m_scheduler.now();
    const auto live = m_registry.liveHosts(now);
    if (live.empty() || live.front().host != m_self.host)
        return;
    for (const HostId& host : m_registry.hostsDeadFor(deadRowRetention, now)) {
        RowTransaction transaction;
        transaction.conditions.push_back({ FleetRows::hostKey(host), m_registry.hostVersion(host) });
        transaction.writes.push_back({ FleetRows::hostKey(host), std::nullopt });
        m_store.commit(std::move(transaction), [host](const CommitResult& result) {
            LogEvent(LogLevel::Info, "dead_host_removed")
                .with("host", host)
                .with("done", result.value.has_value());
        });
        m_registry.apply({ FleetRows::hostKey(host), "", RowVersion(0), true }, now);
    }
}

void FleetAgent::release()
{
    m_isReleased = true;
    RowTransaction transaction;
    for (const auto& [engine, number] : m_owned) {
        transaction.conditions.push_back({ FleetRows::ownerKey(engine), m_registry.ownerVersion(engine) });
        transaction.writes.push_back({ FleetRows::ownerKey(engine), std::nullopt });
    }
    // Once this row is removed, the other hosts divide the engines among themselves without waiting for the
    // lease to expire.
    transaction.writes.push_back({ FleetRows::hostKey(m_self.host), std::nullopt });
    const auto owned = std::exchange(m_owned, {});
    for (const auto& entry : owned)
        m_handlers.onLost(entry.first);
    m_store.commit(std::move(transaction), m_lifetime.guard([](const CommitResult& result) {
        LogEvent(LogLevel::Info, "host_released").with("done", result.value.has_value());
    }));
}

} // namespace lacewing::gateway
