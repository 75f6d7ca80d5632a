#include "gateway/store_feed.h"

#include "base/log.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds(300);
/// Exponential backoff while the store is unavailable: the retry interval doubles up to four times its
/// initial value.
constexpr int maximumRetryDoublings = 2;

} // namespace

StoreFeed::StoreFeed(Scheduler& scheduler, RowStore& store, StoreFeedListener& listener, Options options)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_listener(listener)
    , m_options(std::move(options))
{
}

StoreFeed::~StoreFeed()
{
    m_scheduler.cancel(m_timer);
}

void StoreFeed::start()
{
    poll();
}

void StoreFeed::pollNow()
{
    if (m_timer == 0)
        return;
    m_scheduler.cancel(m_timer);
    poll();
}

std::optional<Duration> StoreFeed::age() const
{
    if (!m_lastAnswer)
        return std::nullopt;
    return m_scheduler.now() - *m_lastAnswer;
}

void StoreFeed::poll()
{
    m_timer = 0;
    m_lastPoll = m_scheduler.now();
    const bool isWholeTable = !m_version;
    auto callback = m_lifetime.guard(
        [this, isWholeTable](const RowResult<RowSet>& result) { handleResult(result, isWholeTable); });
    if (isWholeTable)
        m_store.readTable(m_options.table, callback);
    else
        m_store.awaitChanges(m_options.table, *m_version, m_options.wait(), callback);
}

void StoreFeed::schedulePoll(Duration delay)
{
    m_timer = m_scheduler.runAfter(std::max(delay, Duration::zero()), [this] { poll(); });
}

void StoreFeed::handleResult(const RowResult<RowSet>& result, bool isWholeTable)
{
    const MonotonicTime now = m_scheduler.now();
    if (!result.value) {
        if (result.error == RowStoreError::HistoryLost) {
            LogEvent(LogLevel::Warning, "store_history_lost")
                .with("table", m_options.table)
                .with("version", m_version.value_or(RowVersion()));
            // A read of the whole table can lose its history only if the store comes back from a copy
            // meanwhile.
            schedulePoll(isWholeTable ? retryInterval : Duration::zero());
            m_version.reset();
            return;
        }
        if (!std::exchange(m_isLost, true))
            LogEvent(LogLevel::Warning, "store_lost")
                .with("table", m_options.table)
                .with("reason", toString(result.error));
        schedulePoll(retryInterval * (1 << std::min(m_consecutiveFailures, maximumRetryDoublings)));
        ++m_consecutiveFailures;
        return;
    }
    m_consecutiveFailures = 0;
    const auto outage = m_lastAnswer ? std::make_optional(now - *m_lastAnswer) : std::nullopt;
    m_lastAnswer = now;
    if (std::exchange(m_isLost, false)) {
        LogEvent(LogLevel::Info, "store_regained")
            .with("table", m_options.table)
            .with("outage_ms", toMilliseconds(outage.value_or(Duration::zero())));
        m_listener.feedResumed(outage.value_or(Duration::zero()));
    }
    m_version = result.value->version;
    const StoreEra earlier = std::exchange(m_era, m_version->era());
    if (isWholeTable && outage && earlier != m_era)
        m_listener.storeRestored(*m_version);
    if (isWholeTable)
        m_listener.tableRead(result.value->rows);
    else if (!result.value->rows.empty())
        m_listener.rowsChanged(result.value->rows);
    schedulePoll(m_lastPoll + m_options.interval() - now);
}

} // namespace lacewing::gateway
