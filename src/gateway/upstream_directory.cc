#include "gateway/upstream_directory.h"

#include "base/log.h"

#include <algorithm>
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
/// Time after which the store has removed the rows of a copy whose upstreams don't write them again.
constexpr Duration copiedRowLifetime = std::chrono::seconds(6);

/// Time in which all hosts hear of a version of the table that one of them has read: a poll and a heartbeat.
constexpr Duration firstReadDelay = std::chrono::seconds(3);

/// Rows are rewritten with a falling cold time and arrive with varying delay, so an end that is later by more
/// than this tells that the upstream became cold again.
constexpr Duration rowDelayTolerance = std::chrono::seconds(1);

bool hasBecomeCold(const UpstreamEntry& before, const UpstreamEntry& entry, MonotonicTime now)
{
    const Duration remaining = entry.coldRemaining.value_or(Duration::zero());
    const Duration known = before.read + before.coldRemaining.value_or(Duration::zero()) - now;
    return known <= Duration::zero() ? remaining > Duration::zero() : remaining > known + rowDelayTolerance;
}

} // namespace

UpstreamDirectory::UpstreamDirectory(Scheduler& scheduler, RowStore& store, const RowDecoder& decoder,
    Handlers handlers, region::RegionMap regions, uint64_t seed)
    : m_scheduler(scheduler)
    , m_decoder(decoder)
    , m_handlers(std::move(handlers))
    , m_regions(std::move(regions))
    , m_availability(seed)
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
    const MonotonicTime now = m_scheduler.now();
    return (!known.graceUntil || now < *known.graceUntil) && (!known.goneUntil || now >= *known.goneUntil);
}

bool UpstreamDirectory::accepts(const UpstreamFilter& filter, const UpstreamEntry& entry) const
{
    return filter.versions().accepts(entry.softwareVersion)
        && m_regions.permits(filter.homes(), entry.dataCentre);
}

std::vector<const UpstreamEntry*> UpstreamDirectory::usable(
    const ServiceId& service, const UpstreamFilter& filter) const
{
    std::vector<const UpstreamEntry*> entries = inService(service, filter);
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                      [this](const UpstreamEntry* entry) { return isEvacuated(*entry); }),
        entries.end());
    return entries;
}

std::vector<const UpstreamEntry*> UpstreamDirectory::inService(
    const ServiceId& service, const UpstreamFilter& filter) const
{
    std::vector<const UpstreamEntry*> entries;
    for (const auto& [id, known] : m_known) {
        if (known.entry.service != service || !accepts(filter, known.entry))
            continue;
        if (!isLeaving(known.entry) && isPresent(known))
            entries.push_back(&known.entry);
    }
    return entries;
}

bool UpstreamDirectory::areAllLeaving(const ServiceId& service) const
{
    bool isAnyPresent = false;
    for (const auto& [id, known] : m_known) {
        if (known.entry.service != service || !isPresent(known))
            continue;
        if (!isLeaving(known.entry))
            return false;
        isAnyPresent = true;
    }
    return isAnyPresent;
}

Duration UpstreamDirectory::restLeft(const UpstreamEntry& entry) const
{
    return m_availability.restLeft(entry.id, entry.startedAt, m_scheduler.now());
}

std::optional<Duration> UpstreamDirectory::shortestRest(
    const ServiceId& service, const UpstreamFilter& filter) const
{
    std::optional<Duration> shortest;
    for (const UpstreamEntry* entry : usable(service, filter)) {
        const Duration rest = restLeft(*entry);
        if (rest > Duration::zero())
            shortest = std::min(shortest.value_or(rest), rest);
    }
    return shortest;
}

bool UpstreamDirectory::isLeaving(const UpstreamEntry& entry) const
{
    return entry.isDraining || m_availability.isLeaving(entry.id, entry.startedAt);
}

const UpstreamEntry* UpstreamDirectory::find(const UpstreamId& id) const
{
    const auto found = m_known.find(id);
    return found != m_known.end() && isPresent(found->second) ? &found->second.entry : nullptr;
}

const UpstreamEntry* UpstreamDirectory::findUsable(const UpstreamId& id, const UpstreamFilter& filter) const
{
    const UpstreamEntry* entry = find(id);
    const bool isUsable = entry && !isLeaving(*entry) && !isEvacuated(*entry) && accepts(filter, *entry);
    return isUsable ? entry : nullptr;
}

std::vector<reach::ProbeTarget> UpstreamDirectory::probeTargets() const
{
    std::vector<reach::ProbeTarget> targets;
    for (const auto& [id, known] : m_known) {
        if (findUsable(id))
            targets.push_back({ known.entry.address, known.entry.service });
    }
    return targets;
}

const UpstreamEntry* UpstreamDirectory::findUsableAt(const SocketAddress& address) const
{
    for (const auto& [id, known] : m_known) {
        if (known.entry.address == address && findUsable(id))
            return &known.entry;
    }
    return nullptr;
}

std::map<ServiceId, std::map<SoftwareVersion, size_t>> UpstreamDirectory::softwareVersions() const
{
    std::map<ServiceId, std::map<SoftwareVersion, size_t>> counts;
    for (const auto& [id, known] : m_known) {
        if (isPresent(known))
            ++counts[known.entry.service][known.entry.softwareVersion];
    }
    return counts;
}

std::set<SoftwareVersion> UpstreamDirectory::softwareVersions(const ServiceId& service) const
{
    std::set<SoftwareVersion> versions;
    for (const auto& [id, known] : m_known) {
        if (known.entry.service == service && isPresent(known))
            versions.insert(known.entry.softwareVersion);
    }
    return versions;
}

size_t UpstreamDirectory::countIn(const DataCentreId& dataCentre) const
{
    return static_cast<size_t>(std::count_if(m_known.begin(), m_known.end(),
        [&](const auto& known) { return known.second.entry.dataCentre == dataCentre; }));
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

bool UpstreamDirectory::handleRemoval(const UpstreamId& id, RowSource source)
{
    const auto found = m_known.find(id);
    if (found == m_known.end())
        return false;
    const bool isInGracePeriod = m_scheduler.now() < m_graceEnd && !isLeaving(found->second.entry);
    if (isInGracePeriod) {
        if (!found->second.graceUntil)
            found->second.graceUntil = m_graceEnd;
        return false;
    }
    LogEvent(LogLevel::Info, "upstream_gone").with("upstream", id).with("source", toString(source));
    m_known.erase(found);
    return true;
}

bool UpstreamDirectory::isOld(const StoredRow& row) const
{
    const UpstreamId id(row.id.key);
    const auto known = m_known.find(id);
    const auto removed = m_removed.find(id);
    RowVersion newest;
    if (known != m_known.end())
        newest = known->second.version;
    if (removed != m_removed.end())
        newest = std::max(newest, removed->second.version);
    if (row.version < newest)
        LogEvent(LogLevel::Warning, "upstream_row_ignored")
            .with("upstream", id)
            .with("version", row.version)
            .with("known_version", newest);
    return newest.exists() && row.version <= newest;
}

bool UpstreamDirectory::mayBeCopied(const StoredRow& row) const
{
    // A peer has read the table in an era in which this host has not.
    return row.version <= m_copy || row.version.era() > m_feed.era();
}

bool UpstreamDirectory::isKnownBetter(const UpstreamEntry& known, const UpstreamEntry& copied)
{
    if (known.startedAt != copied.startedAt)
        return known.startedAt > copied.startedAt;
    // A process that has begun to drain does not return to use.
    return !copied.isDraining;
}

bool UpstreamDirectory::wasRemoved(const StoredRow& row, const UpstreamEntry& entry) const
{
    const auto removed = m_removed.find(entry.id);
    return removed != m_removed.end() && removed->second.version.era() < row.version.era()
        && removed->second.startedAt == entry.startedAt;
}

bool UpstreamDirectory::apply(const StoredRow& row, RowSource source)
{
    const UpstreamId id(row.id.key);
    if (isOld(row))
        return false;
    const auto before = m_known.find(id);
    if (row.isDeleted) {
        Removal& removal = m_removed[id];
        removal.version = row.version;
        if (before != m_known.end())
            removal.startedAt = before->second.entry.startedAt;
        return handleRemoval(id, source);
    }
    const auto entry = m_decoder.readUpstream(row);
    if (!entry) {
        LogEvent(LogLevel::Warning, "upstream_row_skipped").with("key", row.id.key);
        return handleRemoval(id, source);
    }
    const bool mayBeOlder = mayBeCopied(row);
    if (mayBeOlder && before != m_known.end() && isKnownBetter(before->second.entry, *entry)) {
        before->second.version = row.version;
        before->second.graceUntil.reset();
        return false;
    }
    if (mayBeOlder && before == m_known.end() && wasRemoved(row, *entry)) {
        m_known[id] = { *entry, row.version, std::nullopt, m_scheduler.now() + copiedRowLifetime };
        return false;
    }
    const auto [known, isNew] = m_known.try_emplace(entry->id);
    const bool hasChanged = isNew || known->second.entry.isDraining != entry->isDraining
        || known->second.entry.startedAt != entry->startedAt
        || known->second.entry.softwareVersion != entry->softwareVersion || known->second.goneUntil
        || hasBecomeCold(known->second.entry, *entry, m_scheduler.now());
    if (hasChanged)
        LogEvent(LogLevel::Info, "upstream_changed")
            .with("upstream", entry->id)
            .with("service", entry->service)
            .with("address", entry->address.text())
            .with("draining", entry->isDraining)
            .with("software_version", entry->softwareVersion)
            .with("source", toString(source));
    known->second = { *entry, row.version, std::nullopt, std::nullopt };
    known->second.entry.read = m_scheduler.now();
    if (!hasChanged)
        m_changes.renew(row);
    return hasChanged;
}

std::vector<StoredRow> UpstreamDirectory::applyAll(
    const std::vector<StoredRow>& rows, RowVersion readVersion, RowSource source)
{
    std::vector<StoredRow> changed;
    for (const StoredRow& row : rows) {
        if (!apply(row, source))
            continue;
        m_changes.record(row, readVersion);
        changed.push_back(row);
    }
    return changed;
}

StoredRow UpstreamDirectory::tombstone(const UpstreamId& id, RowVersion version) const
{
    return { { m_decoder.upstreamTable(), id.value() }, "", version, true };
}

std::vector<StoredRow> UpstreamDirectory::applyTable(
    const std::vector<StoredRow>& rows, RowVersion readVersion, RowSource source)
{
    std::set<UpstreamId> present;
    for (const StoredRow& row : rows)
        present.insert(UpstreamId(row.id.key));
    std::vector<StoredRow> all = rows;
    for (const auto& [id, known] : m_known) {
        // A peer may have sent a row that is newer than the table.
        if (present.count(id) == 0 && known.version <= readVersion)
            all.push_back(tombstone(id, readVersion));
    }
    return applyAll(all, readVersion, source);
}

std::vector<StoredRow> UpstreamDirectory::removeExpired(RowVersion readVersion)
{
    std::vector<StoredRow> removed;
    for (auto known = m_known.begin(); known != m_known.end();) {
        const auto graceUntil = known->second.graceUntil;
        if (!graceUntil || m_scheduler.now() < *graceUntil) {
            ++known;
            continue;
        }
        LogEvent(LogLevel::Info, "upstream_gone")
            .with("upstream", known->first)
            .with("reason", "row not renewed after store outage");
        removed.push_back(tombstone(known->first, readVersion));
        m_changes.record(removed.back(), readVersion);
        known = m_known.erase(known);
    }
    return removed;
}

void UpstreamDirectory::noteFeedVersion()
{
    if (const auto version = m_feed.version())
        m_changes.advance(*version);
}

void UpstreamDirectory::completeRead(const std::vector<StoredRow>& changed, RowVersion lastChange)
{
    noteFeedVersion();
    // Upstreams that come after the first read have started since, also if that read found none.
    const bool isFirstRead = !m_firstRead;
    if (isFirstRead)
        m_firstRead = m_scheduler.now();
    if (!changed.empty() || isFirstRead)
        m_handlers.onChange();
    // The other hosts have read the table before.
    if (!m_isReader || changed.empty() || isFirstRead)
        return;
    LogEvent(LogLevel::Info, "upstream_rows_relayed")
        .with("rows", changed.size())
        .with("after", lastChange)
        .with("up_to", m_changes.upTo());
    m_handlers.onChangesToRelay({ changed, { lastChange, m_changes.upTo() }, false });
}

void UpstreamDirectory::storeRestored(RowVersion copy)
{
    m_copy = copy;
    m_graceEnd = m_scheduler.now() + graceTime;
}

void UpstreamDirectory::tableRead(const std::vector<StoredRow>& rows)
{
    const RowVersion lastChange = m_changes.lastChange();
    completeRead(applyTable(rows, *m_feed.version(), RowSource::Store), lastChange);
}

void UpstreamDirectory::rowsChanged(const std::vector<StoredRow>& rows)
{
    const RowVersion lastChange = m_changes.lastChange();
    const RowVersion readVersion = *m_feed.version();
    std::vector<StoredRow> changed = applyAll(rows, readVersion, RowSource::Store);
    const std::vector<StoredRow> removed = removeExpired(readVersion);
    changed.insert(changed.end(), removed.begin(), removed.end());
    completeRead(changed, lastChange);
}

bool UpstreamDirectory::peerOffered(const table_sync::ChangeSet& changes)
{
    noteFeedVersion();
    const RowVersion readVersion = changes.span.upTo;
    const auto changed = changes.isWholeTable ? applyTable(changes.rows, readVersion, RowSource::Peer)
                                              : applyAll(changes.rows, readVersion, RowSource::Peer);
    const bool isComplete = m_changes.covers(changes.span);
    if (isComplete)
        m_changes.advance(readVersion);
    if (!changed.empty())
        m_handlers.onChange();
    return isComplete;
}

bool UpstreamDirectory::confirmUnchanged(const table_sync::ChangeSpan& span)
{
    noteFeedVersion();
    return m_changes.confirm(span);
}

RowVersion UpstreamDirectory::knownUpTo()
{
    noteFeedVersion();
    return m_changes.upTo();
}

std::optional<table_sync::ChangeSpan> UpstreamDirectory::quietSpan()
{
    if (!m_isReader || !m_firstRead || m_scheduler.now() < *m_firstRead + firstReadDelay)
        return std::nullopt;
    noteFeedVersion();
    return m_changes.quietSpan();
}

table_sync::ChangeSet UpstreamDirectory::changesAfter(RowVersion version)
{
    noteFeedVersion();
    return m_changes.changesAfter(version);
}

void UpstreamDirectory::feedResumed(Duration outage)
{
    if (outage > minimumOutage)
        m_graceEnd = m_scheduler.now() + graceTime;
}

} // namespace lacewing::gateway
