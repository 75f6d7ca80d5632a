#include "gateway/fleet_registry.h"

#include "base/stable_hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewing::gateway {

namespace {

using Json = nlohmann::json;

/// Added to the lease time before a host counts as dead, since reads and renewals take time.
constexpr Duration leaseGracePeriod = std::chrono::milliseconds(400);

/// A fencing number consists of the number of a row's version and, above it, the era. Engines that read
/// numbers as floating-point values keep all of these bits.
constexpr int fencingNumberBits = 36;
constexpr int fencingEraBits = 17;

constexpr std::string_view hostPrefix = "host:";
constexpr std::string_view ownerPrefix = "owner:";

bool startsWith(const std::string& text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

FencingNumber FleetRows::fencingNumber(RowVersion version)
{
    const int64_t era = version.era().value() & ((int64_t(1) << fencingEraBits) - 1);
    const int64_t number = version.number() & ((int64_t(1) << fencingNumberBits) - 1);
    return FencingNumber((era << fencingNumberBits) | number);
}

std::string FleetRows::encode(const HostRecord& record)
{
    return Json {
        { "incarnation", record.incarnation.value() }, { "peer", record.peerAddress.text() },
        { "caller", record.callerAddress.text() }, { "dataCentre", record.dataCentre.value() },
        { "renewal", record.renewal }
    }.dump();
}

std::string FleetRows::encode(const OwnerRecord& record)
{
    return Json { { "host", record.host.value() }, { "incarnation", record.incarnation.value() } }.dump();
}

std::optional<HostRecord> FleetRows::decodeHost(const StoredRow& row)
{
    if (!startsWith(row.id.key, hostPrefix) || row.isDeleted)
        return std::nullopt;
    try {
        const Json json = Json::parse(row.value);
        const auto peer = SocketAddress::parse(json.at("peer").get<std::string>());
        const auto caller = SocketAddress::parse(json.at("caller").get<std::string>());
        if (!peer || !caller)
            return std::nullopt;
        HostRecord record;
        record.host = HostId(row.id.key.substr(hostPrefix.size()));
        record.incarnation = Incarnation(json.at("incarnation").get<int64_t>());
        record.peerAddress = *peer;
        record.callerAddress = *caller;
        record.dataCentre = DataCentreId(json.at("dataCentre").get<std::string>());
        record.renewal = json.at("renewal").get<int64_t>();
        return record;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::optional<OwnerRecord> FleetRows::decodeOwner(const StoredRow& row)
{
    if (!startsWith(row.id.key, ownerPrefix) || row.isDeleted)
        return std::nullopt;
    try {
        const Json json = Json::parse(row.value);
        OwnerRecord record;
        record.engine = UpstreamId(row.id.key.substr(ownerPrefix.size()));
        record.host = HostId(json.at("host").get<std::string>());
        record.incarnation = Incarnation(json.at("incarnation").get<int64_t>());
        return record;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

FleetRegistry::FleetRegistry(HostId self, Incarnation incarnation, Duration leaseTime)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_leaseTime(leaseTime)
{
}

void FleetRegistry::reset(const std::vector<StoredRow>& rows, MonotonicTime now)
{
    const auto known = std::move(m_hosts);
    m_hosts.clear();
    m_owners.clear();
    m_isSecretStored = false;
    for (const StoredRow& row : rows)
        apply(row, now);
    for (auto& [host, entry] : m_hosts) {
        const auto before = known.find(host);
        if (before == known.end())
            continue;
        entry.isInTouch = before->second.isInTouch;
        entry.lastTouch = before->second.lastTouch;
        if (before->second.version == entry.version)
            entry.lastChange = before->second.lastChange;
        if (before->second.record.incarnation == entry.record.incarnation)
            entry.incarnationSeen = before->second.incarnationSeen;
    }
}

void FleetRegistry::restore(const std::vector<StoredRow>& rows, MonotonicTime now)
{
    std::map<HostId, KnownHost> alive;
    for (const auto& [host, known] : m_hosts) {
        if (isAlive(host, now))
            alive.emplace(host, known);
    }
    const auto before = m_hosts;
    reset(rows, now);
    for (auto& [host, entry] : m_hosts) {
        const auto known = before.find(host);
        const bool wasDead = known != before.end() && alive.count(host) == 0
            && known->second.record.incarnation == entry.record.incarnation;
        if (wasDead)
            entry.lastChange = known->second.lastChange;
    }
    for (const auto& [host, known] : alive) {
        const auto [entry, isMissing] = m_hosts.try_emplace(host, known);
        if (isMissing)
            entry->second.version = RowVersion();
        entry->second.lastChange = now;
        // A host in touch is known better than by a row of the copy.
        if (known.isInTouch || host == m_self)
            entry->second.record = known.record;
    }
}

void FleetRegistry::apply(const StoredRow& row, MonotonicTime now)
{
    if (row.id.key == FleetRows::secretKey().key) {
        m_isSecretStored = !row.isDeleted;
        if (!row.isDeleted)
            m_linkSecret = row.value;
        return;
    }
    if (row.isDeleted) {
        if (startsWith(row.id.key, hostPrefix))
            m_hosts.erase(HostId(row.id.key.substr(hostPrefix.size())));
        if (startsWith(row.id.key, ownerPrefix))
            m_owners.erase(UpstreamId(row.id.key.substr(ownerPrefix.size())));
        return;
    }
    if (const auto host = FleetRows::decodeHost(row)) {
        KnownHost& known = m_hosts[host->host];
        if (row.version <= known.version)
            return;
        if (known.record.incarnation != host->incarnation)
            known.incarnationSeen = now;
        known.record = *host;
        known.version = row.version;
        known.lastChange = now;
        return;
    }
    if (const auto owner = FleetRows::decodeOwner(row)) {
        KnownOwner& known = m_owners[owner->engine];
        if (row.version > known.version)
            known = { *owner, row.version };
    }
}

void FleetRegistry::setInTouch(const std::set<HostId>& hosts, MonotonicTime now)
{
    for (auto& [host, known] : m_hosts) {
        known.isInTouch = hosts.count(host) > 0;
        if (known.isInTouch)
            known.lastTouch = now;
    }
}

bool FleetRegistry::hasHostsOutOfTouch(MonotonicTime now) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [this, now](const auto& entry) {
        return entry.first != m_self && !entry.second.isInTouch && isAlive(entry.first, now);
    });
}

void FleetRegistry::resumeObservation(MonotonicTime now)
{
    for (auto& entry : m_hosts)
        entry.second.lastChange = now;
}

bool FleetRegistry::isAlive(const HostId& host, MonotonicTime now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return false;
    const KnownHost& known = found->second;
    // This host is alive by definition; it renews its own row.
    if (known.isInTouch || host == m_self)
        return true;
    return now - std::max(known.lastChange, known.lastTouch) <= m_leaseTime + leaseGracePeriod;
}

std::vector<HostRecord> FleetRegistry::liveHosts(MonotonicTime now) const
{
    std::vector<HostRecord> hosts;
    for (const auto& [host, known] : m_hosts) {
        if (isAlive(host, now))
            hosts.push_back(known.record);
    }
    return hosts;
}

std::optional<OwnerRecord> FleetRegistry::owner(const UpstreamId& engine, MonotonicTime now) const
{
    const auto found = m_owners.find(engine);
    if (found == m_owners.end())
        return std::nullopt;
    const OwnerRecord& record = found->second.record;
    const auto host = m_hosts.find(record.host);
    const bool isSameIncarnation
        = host != m_hosts.end() && host->second.record.incarnation == record.incarnation;
    const bool hasGivenUp = m_hostsWithoutEngines.count(record.host) > 0;
    if (!isSameIncarnation || hasGivenUp || !isAlive(record.host, now))
        return std::nullopt;
    return record;
}

RowVersion FleetRegistry::ownerVersion(const UpstreamId& engine) const
{
    const auto found = m_owners.find(engine);
    return found == m_owners.end() ? RowVersion(0) : found->second.version;
}

RowVersion FleetRegistry::hostVersion(const HostId& host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? RowVersion(0) : found->second.version;
}

std::optional<HostId> FleetRegistry::presumedDeadOwner(const UpstreamId& engine) const
{
    const auto found = m_owners.find(engine);
    if (found == m_owners.end() || found->second.record.host == m_self)
        return std::nullopt;
    const OwnerRecord& record = found->second.record;
    const auto host = m_hosts.find(record.host);
    if (host != m_hosts.end() && host->second.record.incarnation != record.incarnation)
        return std::nullopt;
    if (m_hostsWithoutEngines.count(record.host) > 0)
        return std::nullopt;
    return record.host;
}

bool FleetRegistry::mayReclaim(const UpstreamId& engine, MonotonicTime now) const
{
    const auto found = m_owners.find(engine);
    if (found == m_owners.end())
        return false;
    const auto host = m_hosts.find(found->second.record.host);
    const bool hasRestarted
        = host != m_hosts.end() && host->second.record.incarnation != found->second.record.incarnation;
    return hasRestarted && isAlive(host->first, now) && now - host->second.incarnationSeen < m_leaseTime;
}

const HostId* FleetRegistry::ownerHost(
    const UpstreamId& engine, const ReportedOwners& reported, MonotonicTime now) const
{
    if (owner(engine, now))
        return &m_owners.at(engine).record.host;
    const auto report = reported.find(engine);
    return report == reported.end() ? nullptr : &report->second;
}

bool FleetRegistry::hasUnownedEngines(
    const std::set<UpstreamId>& engines, const ReportedOwners& reported, MonotonicTime now) const
{
    return std::any_of(engines.begin(), engines.end(),
        [&](const UpstreamId& engine) { return !ownerHost(engine, reported, now); });
}

std::vector<UpstreamId> FleetRegistry::enginesToClaim(const std::set<UpstreamId>& engines,
    const ReportedOwners& reported, const std::set<HostId>& ineligible, MonotonicTime now) const
{
    std::map<HostId, int> owned;
    for (const HostRecord& host : liveHosts(now)) {
        if (ineligible.count(host.host) == 0)
            owned[host.host] = 0;
    }
    std::vector<UpstreamId> unowned;
    std::vector<UpstreamId> claims;
    for (const UpstreamId& engine : engines) {
        const bool isReclaimable = mayReclaim(engine, now) && reported.count(engine) == 0;
        const HostId* host
            = isReclaimable ? &m_owners.at(engine).record.host : ownerHost(engine, reported, now);
        if (!host) {
            unowned.push_back(engine);
            continue;
        }
        const auto count = owned.find(*host);
        if (count == owned.end()) {
            if (isReclaimable)
                unowned.push_back(engine);
            continue;
        }
        ++count->second;
        if (isReclaimable && *host == m_self)
            claims.push_back(engine);
    }
    for (const UpstreamId& engine : unowned) {
        const HostId* chosen = nullptr;
        std::pair<int, uint64_t> best;
        for (const auto& [host, count] : owned) {
            const std::pair<int, uint64_t> rank(count, stableHash(engine.value() + '@' + host.value()));
            if (chosen && best <= rank)
                continue;
            chosen = &host;
            best = rank;
        }
        if (!chosen)
            break;
        if (*chosen == m_self)
            claims.push_back(engine);
        ++owned[*chosen];
    }
    return claims;
}

std::vector<UpstreamId> FleetRegistry::ownedBySelf() const
{
    std::vector<UpstreamId> engines;
    for (const auto& [engine, known] : m_owners) {
        if (known.record.host == m_self && known.record.incarnation == m_incarnation)
            engines.push_back(engine);
    }
    return engines;
}

std::vector<HostId> FleetRegistry::hostsDeadFor(Duration time, MonotonicTime now) const
{
    std::vector<HostId> dead;
    for (const auto& [host, known] : m_hosts) {
        const bool isDead = !isAlive(host, now) && now - std::max(known.lastChange, known.lastTouch) > time;
        if (isDead)
            dead.push_back(host);
    }
    return dead;
}

} // namespace lacewing::gateway
