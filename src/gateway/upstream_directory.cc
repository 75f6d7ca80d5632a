#include "gateway/upstream_directory.h"

#include "base/log.h"

#include <utility>

namespace lacewing::gateway {

namespace {

constexpr Duration longPollTimeout = std::chrono::milliseconds(1200);
constexpr Duration feedInterval = std::chrono::milliseconds(900);
/// Polling interval of a host to which readers relay changes.
constexpr Duration relayedFeedInterval = std::chrono::seconds(12);
/// Time after an outage within which upstreams renew the rows that expired during it.
constexpr Duration graceTime = std::chrono::milliseconds(2200);
/// Rows do not expire in a shorter outage.
constexpr Duration minimumOutage = std::chrono::milliseconds(1000);

} // namespace

UpstreamDirectory::UpstreamDirectory(
    Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers)
    : m_scheduler(scheduler)
    , m_decoder(decoder)
    , m_handlers(std::move(handlers))
    , m_feed(scheduler, store, *this,
          { decoder.upstreamTable(), [] { return longPollTimeout; },
              [this] { return m_isReader ? feedInterval : relayedFeedInterval; } })
{
}

void UpstreamDirectory::setReader(bool isReader)
{
    if (!std::exchange(m_isReader, isReader) && isReader)
        m_feed.pollNow();
}

bool UpstreamDirectory::isPresent(const KnownUpstream& known) const
{
    return !known.graceUntil || m_scheduler.now() < *known.graceUntil;
}

std::vector<const UpstreamEntry*> UpstreamDirectory::usable(const ServiceId& service) const
{
    std::vector<const UpstreamEntry*> entries;
    for (const auto& [id, known] : m_known) {
        if (known.entry.service == service && !known.entry.isDraining && isPresent(known))
            entries.push_back(&known.entry);
    }
    return entries;
}

const UpstreamEntry* UpstreamDirectory::find(const UpstreamId& id) const
{
    const auto found = m_known.find(id);
    return found != m_known.end() && isPresent(found->second) ? &found->second.entry : nullptr;
}

const UpstreamEntry* UpstreamDirectory::findUsable(const UpstreamId& id) const
{
    const UpstreamEntry* entry = find(id);
    return entry && !entry->isDraining ? entry : nullptr;
}

std::set<UpstreamId> UpstreamDirectory::ids() const
{
    std::set<UpstreamId> ids;
    for (const auto& [id, known] : m_known) {
        if (isPresent(known))
            ids.insert(id);
    }
    return ids;
}

std::map<UpstreamId, int64_t> UpstreamDirectory::startTimes() const
{
    std::map<UpstreamId, int64_t> startTimes;
    for (const auto& [id, known] : m_known) {
        if (isPresent(known))
            startTimes.emplace(id, known.entry.startedAt);
    }
    return startTimes;
}

bool UpstreamDirectory::handleRemoval(const UpstreamId& id)
{
    const auto found = m_known.find(id);
    if (found == m_known.end())
        return false;
    const bool isInGracePeriod = m_scheduler.now() < m_graceEnd && !found->second.entry.isDraining;
    if (isInGracePeriod) {
        if (!found->second.graceUntil)
            found->second.graceUntil = m_graceEnd;
        return false;
    }
    LogEvent(LogLevel::Info, "upstream_gone").with("upstream", id);
    m_known.erase(found);
    return true;
}

bool UpstreamDirectory::apply(const StoredRow& row)
{
    const UpstreamId id(row.id.key);
    const auto before = m_known.find(id);
    const auto removed = m_removed.find(id);
    const bool isOld = (before != m_known.end() && row.version <= before->second.version)
        || (removed != m_removed.end() && row.version <= removed->second);
    if (isOld) {
        const RowVersion known = before != m_known.end() ? before->second.version : removed->second;
        if (row.version < known)
            LogEvent(LogLevel::Warning, "upstream_row_ignored")
                .with("upstream", id)
                .with("version", row.version)
                .with("known_version", known);
        return false;
    }
    if (row.isDeleted) {
        m_removed[id] = row.version;
        return handleRemoval(id);
    }
    const auto entry = m_decoder.readUpstream(row);
    if (!entry) {
        LogEvent(LogLevel::Warning, "upstream_row_skipped").with("key", row.id.key);
        return handleRemoval(UpstreamId(row.id.key));
    }
    const auto [known, isNew] = m_known.try_emplace(entry->id);
    const bool hasChanged = isNew || known->second.entry.isDraining != entry->isDraining
        || known->second.entry.startedAt != entry->startedAt;
    if (hasChanged)
        LogEvent(LogLevel::Info, "upstream_changed")
            .with("upstream", entry->id)
            .with("service", entry->service)
            .with("address", entry->address.text())
            .with("draining", entry->isDraining);
    known->second = { *entry, row.version, std::nullopt };
    return hasChanged;
}

void UpstreamDirectory::tableRead(const std::vector<StoredRow>& rows)
{
    std::set<UpstreamId> present;
    bool hasChanged = false;
    for (const StoredRow& row : rows) {
        hasChanged = apply(row) || hasChanged;
        present.insert(UpstreamId(row.id.key));
    }
    std::vector<UpstreamId> missing;
    for (const auto& [id, known] : m_known) {
        if (present.count(id) == 0)
            missing.push_back(id);
    }
    for (const UpstreamId& id : missing)
        hasChanged = handleRemoval(id) || hasChanged;
    if (hasChanged)
        m_handlers.onChange();
}

void UpstreamDirectory::rowsChanged(const std::vector<StoredRow>& rows)
{
    bool hasChanged = false;
    std::vector<StoredRow> rowsToRelay;
    for (const StoredRow& row : rows) {
        if (!apply(row))
            continue;
        hasChanged = true;
        rowsToRelay.push_back(row);
    }
    if (m_isReader && !rowsToRelay.empty())
        m_handlers.onRowsToRelay(rowsToRelay);
    std::vector<UpstreamId> expired;
    for (const auto& [id, known] : m_known) {
        if (!isPresent(known))
            expired.push_back(id);
    }
    for (const UpstreamId& id : expired) {
        LogEvent(LogLevel::Info, "upstream_gone")
            .with("upstream", id)
            .with("reason", "row not renewed after store outage");
        m_known.erase(id);
        hasChanged = true;
    }
    if (hasChanged)
        m_handlers.onChange();
}

void UpstreamDirectory::peerOffered(const std::vector<StoredRow>& rows)
{
    bool hasChanged = false;
    for (const StoredRow& row : rows)
        hasChanged = apply(row) || hasChanged;
    if (hasChanged)
        m_handlers.onChange();
}

void UpstreamDirectory::feedResumed(Duration outage)
{
    if (outage > minimumOutage)
        m_graceEnd = m_scheduler.now() + graceTime;
}

} // namespace lacewing::gateway
