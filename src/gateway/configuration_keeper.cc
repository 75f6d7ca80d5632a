#include "gateway/configuration_keeper.h"

#include "base/log.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// A change must be in force within a few seconds. A connection that went silent would hide it for this long.
constexpr Duration shortestFeedWait = std::chrono::milliseconds(1400);
/// In a large fleet the other hosts' heartbeats tell of changes too, so each host asks less often.
constexpr Duration feedWaitPerHost = std::chrono::milliseconds(200);
constexpr Duration longestFeedWait = std::chrono::seconds(12);
constexpr Duration freshness = std::chrono::milliseconds(2300);

} // namespace

ConfigurationKeeper::ConfigurationKeeper(
    Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers)
    : m_scheduler(scheduler)
    , m_decoder(decoder)
    , m_handlers(std::move(handlers))
    , m_feed(scheduler, store, *this,
          { decoder.operatorTable(), [this] { return feedWait(); }, [] { return Duration::zero(); } })
{
}

Duration ConfigurationKeeper::feedWait() const
{
    return std::clamp(feedWaitPerHost * m_peersInTouch, shortestFeedWait, longestFeedWait);
}

std::optional<Duration> ConfigurationKeeper::age() const
{
    const auto ofFeed = m_feed.age();
    if (!m_confirmed)
        return ofFeed;
    const Duration ofPeer = m_scheduler.now() - *m_confirmed;
    return ofFeed ? std::min(*ofFeed, ofPeer) : ofPeer;
}

bool ConfigurationKeeper::isFresh() const
{
    const auto current = age();
    return current && *current < freshness;
}

void ConfigurationKeeper::peerConfirmed(RowVersion version, Duration age)
{
    if (version != m_rowVersion)
        return;
    const MonotonicTime time = m_scheduler.now() - age;
    m_confirmed = m_confirmed ? std::max(*m_confirmed, time) : time;
}

void ConfigurationKeeper::rowsChanged(const std::vector<StoredRow>& rows)
{
    for (const StoredRow& row : rows) {
        if (row.isDeleted)
            continue;
        if (row.id.key == m_decoder.configurationKey()) {
            applyConfiguration(row.version, row.value, "store");
            continue;
        }
        const auto release = m_decoder.readRelease(row);
        if (!release) {
            LogEvent(LogLevel::Warning, "operator_row_skipped").with("key", row.id.key);
            continue;
        }
        int64_t& known = m_releases[{ release->model, release->adapter }];
        if (release->version <= known)
            continue;
        known = release->version;
        LogEvent(LogLevel::Info, "adapter_released")
            .with("model", release->model)
            .with("adapter", release->adapter)
            .with("version", release->version);
        m_handlers.onRelease(*release);
    }
}

void ConfigurationKeeper::peerOffered(RowVersion version, const std::string& value)
{
    applyConfiguration(version, value, "peer");
}

void ConfigurationKeeper::applyConfiguration(RowVersion version, const std::string& value, const char* source)
{
    if (version <= m_rowVersion)
        return;
    std::string reason;
    const auto configuration = m_decoder.readConfiguration(value, reason);
    if (!configuration) {
        LogEvent(LogLevel::Error, "configuration_unreadable").with("version", version).with("reason", reason);
        return;
    }
    m_rowVersion = version;
    m_rowValue = value;
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
