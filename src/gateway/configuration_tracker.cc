#include "gateway/configuration_tracker.h"

#include "base/log.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// Longest duration of one long poll. A stalled connection hides changes for up to this time, and changes
/// must take effect within a few seconds.
constexpr Duration feedWait = std::chrono::milliseconds(1400);
/// Interval at which a host that receives changes from readers polls the store itself.
constexpr Duration nonReaderFeedInterval = std::chrono::seconds(12);
/// A configuration confirmed within this time counts as fresh.
constexpr Duration freshnessTime = std::chrono::milliseconds(2300);
/// Interval at which the readable time of the store is counted for evacuations that its copy lacks.
constexpr Duration evacuationCheckInterval = std::chrono::seconds(1);

} // namespace

ConfigurationTracker::ConfigurationTracker(
    Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers)
    : m_scheduler(scheduler)
    , m_decoder(decoder)
    , m_handlers(std::move(handlers))
    , m_evacuationTimer(
          scheduler, [] { return evacuationCheckInterval; }, [this] { checkMissingEvacuations(); })
    , m_feed(scheduler, store, *this,
          { decoder.operatorTable(), [this] { return m_isReader ? feedWait : Duration::zero(); },
              [this] { return m_isReader ? Duration::zero() : nonReaderFeedInterval; } })
{
}

void ConfigurationTracker::start()
{
    m_feed.start();
    m_evacuationTimer.start();
}

void ConfigurationTracker::setReader(bool isReader)
{
    if (!std::exchange(m_isReader, isReader) && isReader)
        m_feed.pollNow();
}

std::optional<Duration> ConfigurationTracker::age() const
{
    const auto feedAge = m_feed.age();
    if (!m_peerConfirmation)
        return feedAge;
    const Duration peerAge = m_scheduler.now() - *m_peerConfirmation;
    return feedAge ? std::min(*feedAge, peerAge) : peerAge;
}

bool ConfigurationTracker::isFresh() const
{
    const auto current = age();
    const bool isNewest = m_peerVersion <= m_rowVersion && m_peerRevision <= revision();
    return isNewest && current && *current < freshnessTime;
}

void ConfigurationTracker::recordPeerVersion(RowVersion version, Revision revision, Duration age)
{
    m_peerVersion = std::max(m_peerVersion, version);
    m_peerRevision = std::max(m_peerRevision, revision);
    if (version != m_rowVersion)
        return;
    const MonotonicTime time = m_scheduler.now() - age;
    m_peerConfirmation = m_peerConfirmation ? std::max(*m_peerConfirmation, time) : time;
}

void ConfigurationTracker::rowsChanged(const std::vector<StoredRow>& rows)
{
    apply(rows, RowSource::Store);
}

void ConfigurationTracker::peerOffered(const std::vector<StoredRow>& rows, bool isReply)
{
    apply(rows, isReply ? RowSource::PeerReply : RowSource::Peer);
}

void ConfigurationTracker::tableRead(const std::vector<StoredRow>& rows)
{
    rowsChanged(rows);
    std::set<DataCentreId> present;
    for (const StoredRow& row : rows) {
        if (const auto dataCentre = m_decoder.readEvacuation(row.id))
            present.insert(*dataCentre);
    }
    reportEnded(m_evacuations.tableRead(present, *m_feed.version()), "store");
}

void ConfigurationTracker::reportEnded(const region::Evacuations::Changes& ended, const char* source)
{
    if (ended.empty())
        return;
    noteVersion(*m_feed.version(), RowSource::Store);
    reportEvacuations(ended, source);
}

std::vector<StoredRow> ConfigurationTracker::tombstonesFor(const std::vector<StoredRow>& rows) const
{
    std::vector<StoredRow> tombstones;
    for (const StoredRow& row : rows) {
        const auto dataCentre = row.isDeleted ? std::nullopt : m_decoder.readEvacuation(row.id);
        const auto tombstone
            = dataCentre ? m_evacuations.tombstoneAfter(*dataCentre, row.version) : std::nullopt;
        if (tombstone)
            tombstones.push_back(*tombstone);
    }
    return tombstones;
}

std::vector<StoredRow> ConfigurationTracker::evacuationsToConfirm(const std::vector<StoredRow>& rows) const
{
    const auto feedAge = m_feed.age();
    if (feedAge && *feedAge < freshnessTime)
        return {};
    std::vector<StoredRow> unconfirmed;
    for (StoredRow& row : m_evacuations.rowsInForce()) {
        const bool isConfirmed = std::any_of(
            rows.begin(), rows.end(), [&row](const StoredRow& other) { return other.id.key == row.id.key; });
        if (!isConfirmed)
            unconfirmed.push_back(std::move(row));
    }
    return unconfirmed;
}

void ConfigurationTracker::checkMissingEvacuations()
{
    const auto feedAge = m_feed.age();
    const auto version = m_feed.version();
    if (m_feed.isLost() || !feedAge || !version)
        m_evacuations.storeUnreadable();
    else
        reportEnded(m_evacuations.storeReadable(m_scheduler.now() - *feedAge, *version), "lifetime");
}

void ConfigurationTracker::applyEvacuation(
    const DataCentreId& dataCentre, const StoredRow& row, RowSource source)
{
    noteVersion(row.version, source);
    if (source == RowSource::Store)
        reportEvacuations(m_evacuations.apply(dataCentre, row), "store");
    else
        reportEvacuations(
            m_evacuations.applyFromPeer(dataCentre, row, m_feed.version().value_or(RowVersion())), "peer");
    const bool hasNoRoom = m_evacuations.count() == region::Evacuations::maximumRecords;
    if (hasNoRoom && !row.isDeleted && !m_evacuations.isEvacuated(dataCentre))
        LogEvent(LogLevel::Warning, "evacuation_ignored")
            .with("data_centre", dataCentre)
            .with("reason", "too many data centres are evacuated");
}

void ConfigurationTracker::reportEvacuations(const region::Evacuations::Changes& changes, const char* source)
{
    for (const region::EvacuationChange& change : changes)
        m_handlers.onEvacuation(change, source);
}

std::vector<StoredRow> ConfigurationTracker::rowsAfter(RowVersion version) const
{
    std::vector<StoredRow> rows = m_evacuations.rowsAfter(version, m_newestRowVersion.era());
    for (const auto& [key, row] : m_rows) {
        const bool isUnconfirmed = row.version.era() < m_newestRowVersion.era();
        if (row.version > version || isUnconfirmed)
            rows.push_back(row);
    }
    return rows;
}

void ConfigurationTracker::noteVersion(RowVersion version, RowSource source)
{
    if (source != RowSource::Peer)
        m_newestRowVersion = std::max(m_newestRowVersion, version);
}

void ConfigurationTracker::recordRow(const StoredRow& row, bool isNewest, RowSource source)
{
    noteVersion(row.version, source);
    if (isNewest)
        m_rows[row.id.key] = row;
}

void ConfigurationTracker::apply(const std::vector<StoredRow>& rows, RowSource source)
{
    for (const StoredRow& row : rows) {
        if (const auto dataCentre = m_decoder.readEvacuation(row.id)) {
            applyEvacuation(*dataCentre, row, source);
            continue;
        }
        if (row.isDeleted)
            continue;
        if (row.id.key == m_decoder.configurationKey()) {
            applyConfiguration(row, source);
            continue;
        }
        const auto release = m_decoder.readRelease(row);
        if (release)
            applyRelease(row, *release, source);
        else
            LogEvent(LogLevel::Warning, "operator_row_skipped").with("key", row.id.key);
    }
}

void ConfigurationTracker::applyRelease(const StoredRow& row, const AdapterRelease& release, RowSource source)
{
    int64_t& known = m_releases[{ release.model, release.adapter }];
    const bool isConfirmation = release.version == known && row.version > m_rows[row.id.key].version;
    const bool isNewer = release.version > known;
    recordRow(row, isNewer || isConfirmation, source);
    if (!isNewer)
        return;
    known = release.version;
    LogEvent(LogLevel::Info, "adapter_released")
        .with("model", release.model)
        .with("adapter", release.adapter)
        .with("version", release.version)
        .with("source", toString(source));
    m_handlers.onRelease(release);
}

void ConfigurationTracker::applyConfiguration(const StoredRow& row, RowSource source)
{
    const bool isOfCurrentEra = row.version.era() == m_rowVersion.era();
    if (isOfCurrentEra && row.version <= m_rowVersion) {
        if (row.version < m_rowVersion)
            LogEvent(LogLevel::Warning, "configuration_row_ignored")
                .with("version", row.version)
                .with("known_version", m_rowVersion)
                .with("source", toString(source));
        return;
    }
    std::string reason;
    const auto configuration = m_decoder.readConfiguration(row.value, reason);
    if (!configuration) {
        LogEvent(LogLevel::Error, "configuration_unreadable")
            .with("version", row.version)
            .with("reason", reason);
        return;
    }
    m_rowVersion = std::max(m_rowVersion, row.version);
    const bool isNewer = !m_current || configuration->revision() > m_current->revision();
    const bool isConfirmation = m_current && configuration->revision() == m_current->revision()
        && row.version > m_rows[row.id.key].version;
    recordRow(row, isNewer || isConfirmation, source);
    if (!isNewer) {
        LogEvent(LogLevel::Warning, "configuration_not_newer")
            .with("revision", configuration->revision())
            .with("known_revision", m_current->revision())
            .with("version", row.version)
            .with("source", toString(source));
        return;
    }
    m_current = configuration;
    LogEvent(LogLevel::Info, "configuration_applied")
        .with("revision", configuration->revision())
        .with("version", row.version)
        .with("source", toString(source));
    m_handlers.onConfiguration();
}

} // namespace lacewing::gateway
