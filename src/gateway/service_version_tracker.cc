#include "gateway/service_version_tracker.h"

#include "base/log.h"
#include "gateway/fleet_registry.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewing::gateway {

namespace {

using Json = nlohmann::json;

constexpr std::string_view keyPrefix = "versions:";
/// Time after which a host makes a change if the one before it hasn't.
constexpr Duration turnInterval = std::chrono::milliseconds(150);
constexpr size_t longestQueue = 20;
/// Versions become absent for long without any change of the upstreams.
constexpr Duration refreshInterval = std::chrono::seconds(2);
constexpr Duration reminderInterval = std::chrono::seconds(10);

std::string encode(const ServiceVersions& versions)
{
    Json others = Json::array();
    for (const SoftwareVersion& other : versions.others)
        others.push_back(other.value());
    return Json {
        { "base", versions.base.value() }, { "retired", versions.isBaseRetired }, { "others", others },
        { "revision", versions.revision.value() }
    }.dump();
}

bool isVersionsRow(const StoredRow& row)
{
    return row.id.key.compare(0, keyPrefix.size(), keyPrefix) == 0;
}

std::optional<ServiceVersions> decode(const StoredRow& row)
{
    try {
        const Json json = Json::parse(row.value);
        ServiceVersions versions;
        versions.service = ServiceId(row.id.key.substr(keyPrefix.size()));
        versions.base = SoftwareVersion(json.at("base").get<std::string>());
        versions.isBaseRetired = json.value("retired", false);
        for (const Json& other : json.at("others"))
            versions.others.insert(SoftwareVersion(other.get<std::string>()));
        versions.revision = VersionsRevision(json.at("revision").get<int64_t>());
        return versions;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace

ServiceVersionTracker::ServiceVersionTracker(Scheduler& scheduler, RowStore& store, Handlers handlers)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_handlers(std::move(handlers))
    , m_timer(
          scheduler, [] { return refreshInterval; }, [this] { refresh(); })
    , m_reminderTimer(
          scheduler, [] { return reminderInterval; }, [this] { remindPeers(); })
{
}

RowKey ServiceVersionTracker::rowKey(const ServiceId& service)
{
    return { FleetRows::table, std::string(keyPrefix) + service.value() };
}

const ServiceVersions* ServiceVersionTracker::find(const ServiceId& service) const
{
    const auto found = m_known.find(service);
    return found != m_known.end() && found->second.versions ? &*found->second.versions : nullptr;
}

std::vector<StoredRow> ServiceVersionTracker::rows() const
{
    std::vector<StoredRow> rows;
    for (const auto& [service, known] : m_known) {
        if (known.versions)
            rows.push_back({ rowKey(service), encode(*known.versions), known.stored, false });
    }
    return rows;
}

void ServiceVersionTracker::tableRead(const std::vector<StoredRow>& rows)
{
    m_hasReadTable = true;
    for (auto& [service, known] : m_known) {
        known.stored = RowVersion();
        known.storedRevision = VersionsRevision(0);
    }
    rowsChanged(rows);
}

void ServiceVersionTracker::rowsChanged(const std::vector<StoredRow>& rows)
{
    for (const StoredRow& row : rows) {
        if (isVersionsRow(row))
            apply(row);
    }
    refresh();
}

void ServiceVersionTracker::reread(const ServiceId& service, std::function<void(bool isRead)> callback)
{
    m_store.readRow(rowKey(service),
        m_lifetime.guard([this, callback = std::move(callback)](const RowResult<RowSet>& result) {
            if (result.value)
                rowsChanged(result.value->rows);
            callback(result.value.has_value());
        }));
}

void ServiceVersionTracker::apply(const StoredRow& row)
{
    const auto versions = decode(row);
    Known& known = m_known[ServiceId(row.id.key.substr(keyPrefix.size()))];
    const bool isNewest = row.version > known.stored;
    if (isNewest) {
        known.stored = row.isDeleted ? RowVersion() : row.version;
        known.storedRevision = versions ? versions->revision : VersionsRevision(0);
    }
    if (!versions) {
        LogEvent(LogLevel::Warning, "versions_row_skipped").with("key", row.id.key);
        return;
    }
    // After a loss of the store two hosts may have given out a revision; what the store has holds.
    if (known.versions
        && (versions->revision < known.versions->revision
            || (versions->revision == known.versions->revision && !isNewest)))
        return;
    const bool wasRetired = known.versions && known.versions->isBaseRetired;
    known.versions = versions;
    if (!versions->isBaseRetired)
        known.retiredSince.reset();
    else if (!wasRetired || !known.retiredSince)
        known.retiredSince = m_scheduler.now();
    LogEvent(LogLevel::Info, "service_versions")
        .with("service", versions->service)
        .with("base", versions->base)
        .with("retired", versions->isBaseRetired)
        .with("others", versions->others.size())
        .with("revision", versions->revision)
        .with("row_version", row.version);
}

std::optional<ServiceVersions> ServiceVersionTracker::plan(
    const ServiceId& service, Known& known, const std::map<SoftwareVersion, size_t>& upstreams)
{
    const ServiceVersions* current = known.versions ? &*known.versions : nullptr;
    VersionsInUse inUse { upstreams, {}, {} };
    std::set<SoftwareVersion> expected = current ? current->others : std::set<SoftwareVersion>();
    if (current)
        expected.insert(current->base);
    const MonotonicTime now = m_scheduler.now();
    std::map<SoftwareVersion, MonotonicTime> absentSince;
    for (const SoftwareVersion& version : expected) {
        if (upstreams.count(version) > 0)
            continue;
        const auto before = known.absentSince.find(version);
        const MonotonicTime since = before == known.absentSince.end() ? now : before->second;
        absentSince[version] = since;
        inUse.absence[version] = now - since;
    }
    known.absentSince = std::move(absentSince);
    if (known.retiredSince)
        inUse.retiredFor = now - *known.retiredSince;
    if (auto planned = planVersions(service, current, inUse, m_handlers.longestStream()))
        return planned;
    // The store may have come back from a copy without the row.
    const bool isLost = current && known.storedRevision < current->revision;
    return isLost ? std::make_optional(*current) : std::nullopt;
}

void ServiceVersionTracker::remindPeers()
{
    if (m_handlers.hostsAhead() > 0)
        return;
    for (const StoredRow& row : rows())
        m_handlers.tellPeers(row);
}

void ServiceVersionTracker::refresh()
{
    if (!m_hasReadTable)
        return;
    for (const auto& [service, upstreams] : m_handlers.upstreams()) {
        Known& known = m_known[service];
        if (!known.isCommitting && plan(service, known, upstreams))
            commitLater(service);
    }
}

void ServiceVersionTracker::commitLater(const ServiceId& service)
{
    m_known[service].isCommitting = true;
    const auto turn = static_cast<int64_t>(std::min(m_handlers.hostsAhead(), longestQueue));
    m_scheduler.runAfter(turnInterval * turn, m_lifetime.guard([this, service] { commit(service); }));
}

void ServiceVersionTracker::commit(const ServiceId& service)
{
    Known& known = m_known[service];
    const UpstreamCounts counts = m_handlers.upstreams();
    const auto upstreams = counts.find(service);
    const auto planned = upstreams == counts.end() ? std::nullopt : plan(service, known, upstreams->second);
    // Another host may have made the change meanwhile.
    if (!planned) {
        known.isCommitting = false;
        return;
    }
    RowTransaction transaction;
    transaction.conditions.push_back({ rowKey(service), known.stored });
    transaction.writes.push_back({ rowKey(service), encode(*planned) });
    m_store.commit(std::move(transaction),
        m_lifetime.guard(
            [this, versions = *planned](const CommitResult& result) { committed(versions, result); }));
}

void ServiceVersionTracker::committed(const ServiceVersions& versions, const CommitResult& result)
{
    Known& known = m_known[versions.service];
    known.isCommitting = false;
    if (result.value) {
        const StoredRow row { rowKey(versions.service), encode(versions), *result.value, false };
        apply(row);
        m_handlers.tellPeers(row);
        return;
    }
    LogEvent(LogLevel::Info, "versions_commit_failed")
        .with("service", versions.service)
        .with("reason", toString(result.error));
    // Anything but a conflict is tried again by the timer.
    if (result.error != RowStoreError::Conflict || !result.current)
        return;
    if (result.current->empty()) {
        known.stored = RowVersion();
        known.storedRevision = VersionsRevision(0);
    }
    for (const StoredRow& row : *result.current) {
        apply(row);
        // This host's commit, whose result was lost, or an equal one.
        if (row.value == encode(versions))
            m_handlers.tellPeers(row);
    }
}

} // namespace lacewing::gateway
