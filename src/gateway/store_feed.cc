#include "gateway/store_feed.h"

#include "base/log.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds(300);
/// A store that stays away is asked less and less often, up to four times the first pause.
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
    next();
}

void StoreFeed::hurry()
{
    if (m_timer == 0)
        return;
    m_scheduler.cancel(m_timer);
    next();
}

std::optional<Duration> StoreFeed::age() const
{
    if (!m_lastAnswer)
        return std::nullopt;
    return m_scheduler.now() - *m_lastAnswer;
}

void StoreFeed::next()
{
    m_timer = 0;
    m_lastCall = m_scheduler.now();
    const bool isWholeTable = !m_version;
    auto callback = m_lifetime.guard(
        [this, isWholeTable](const RowResult<RowSet>& result) { answered(result, isWholeTable); });
    if (isWholeTable)
        m_store.readTable(m_options.table, callback);
    else
        m_store.awaitChanges(m_options.table, *m_version, m_options.wait(), callback);
}

void StoreFeed::scheduleNext(Duration delay)
{
    m_timer = m_scheduler.runAfter(std::max(delay, Duration::zero()), [this] { next(); });
}

void StoreFeed::answered(const RowResult<RowSet>& result, bool isWholeTable)
{
    const MonotonicTime now = m_scheduler.now();
    if (!result.value) {
        if (result.error == RowStoreError::HistoryLost) {
            m_version.reset();
            scheduleNext(Duration::zero());
            return;
        }
        if (!std::exchange(m_isLost, true))
            LogEvent(LogLevel::Warning, "store_lost")
                .with("table", m_options.table)
                .with("reason", toString(result.error));
        scheduleNext(retryInterval * (1 << std::min(m_failures, maximumRetryDoublings)));
        ++m_failures;
        return;
    }
    m_failures = 0;
    const auto outage = m_lastAnswer ? now - *m_lastAnswer : Duration::zero();
    m_lastAnswer = now;
    if (std::exchange(m_isLost, false)) {
        LogEvent(LogLevel::Info, "store_regained")
            .with("table", m_options.table)
            .with("outage_ms", toMilliseconds(outage));
        m_listener.feedResumed(outage);
    }
    m_version = result.value->version;
    if (isWholeTable)
        m_listener.tableRead(result.value->rows);
    else if (!result.value->rows.empty())
        m_listener.rowsChanged(result.value->rows);
    scheduleNext(m_lastCall + m_options.interval() - now);
}

} // namespace lacewing::gateway
