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

} // namespace

ConfigurationTracker::ConfigurationTracker(
    Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers)
    : m_scheduler(scheduler)
    , m_decoder(decoder)
    , m_handlers(std::move(handlers))
    , m_feed(scheduler, store, *this,
          { decoder.operatorTable(), [this] { return m_isReader ? feedWait : Duration::zero(); },
              [this] { return m_isReader ? Duration::zero() : nonReaderFeedInterval; } })
{
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
    return m_peerVersion <= m_rowVersion && current && *current < freshnessTime;
}

void ConfigurationTracker::recordPeerVersion(RowVersion version, Duration age)
{
    m_peerVersion = std::max(m_peerVersion, version);
    if (version != m_rowVersion)
        return;
    const MonotonicTime time = m_scheduler.now() - age;
    m_peerConfirmation = m_peerConfirmation ? std::max(*m_peerConfirmation, time) : time;
}

void ConfigurationTracker::rowsChanged(const std::vector<StoredRow>& rows)
{
    apply(rows, "store");
}

void ConfigurationTracker::peerOffered(const std::vector<StoredRow>& rows)
{
    apply(rows, "peer");
}

std::vector<StoredRow> ConfigurationTracker::rowsAfter(RowVersion version) const
{
    std::vector<StoredRow> rows;
    for (const auto& [key, row] : m_rows) {
        if (row.version > version)
            rows.push_back(row);
    }
    return rows;
}

void ConfigurationTracker::recordRow(const StoredRow& row)
{
    m_rows[row.id.key] = row;
    m_newestRowVersion = std::max(m_newestRowVersion, row.version);
}

void ConfigurationTracker::apply(const std::vector<StoredRow>& rows, const char* source)
{
    for (const StoredRow& row : rows) {
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

void ConfigurationTracker::applyRelease(
    const StoredRow& row, const AdapterRelease& release, const char* source)
{
    int64_t& known = m_releases[{ release.model, release.adapter }];
    if (release.version <= known)
        return;
    known = release.version;
    recordRow(row);
    LogEvent(LogLevel::Info, "adapter_released")
        .with("model", release.model)
        .with("adapter", release.adapter)
        .with("version", release.version)
        .with("source", source);
    m_handlers.onRelease(release);
}

void ConfigurationTracker::applyConfiguration(const StoredRow& row, const char* source)
{
    if (row.version <= m_rowVersion) {
        if (row.version < m_rowVersion)
            LogEvent(LogLevel::Warning, "configuration_row_ignored")
                .with("version", row.version)
                .with("known_version", m_rowVersion)
                .with("source", source);
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
    m_rowVersion = row.version;
    recordRow(row);
    if (m_current && configuration->revision() <= m_current->revision()) {
        LogEvent(LogLevel::Warning, "configuration_not_newer").with("revision", configuration->revision());
        return;
    }
    m_current = configuration;
    LogEvent(LogLevel::Info, "configuration_applied")
        .with("revision", configuration->revision())
        .with("source", source);
    m_handlers.onConfiguration();
}

} // namespace lacewing::gateway
