#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "state/row_store.h"

#include <functional>
#include <string>

namespace lacewing::gateway {

/// Receives the rows of a table. Runs on the loop's thread.
class StoreFeedListener {
public:
    virtual ~StoreFeedListener() = default;

    /// The whole table, at the start and whenever changes may have been missed.
    virtual void tableRead(const std::vector<StoredRow>& rows) = 0;
    virtual void rowsChanged(const std::vector<StoredRow>& rows) = 0;
    /// The first answer after a time without any.
    ///
    /// @param outage how long the table could not be read.
    virtual void feedResumed(Duration outage) { }
};

/// Follows the changes of one table of the store with long reads. Logs when the table is lost and regained.
class StoreFeed {
public:
    struct Options {
        std::string table;
        /// How long the store may hold a call if nothing changes. Asked before each call.
        std::function<Duration()> wait = [] { return std::chrono::seconds(1); };
        /// Shortest time between the starts of two calls, asked after each call; bounds the cost of a table
        /// that changes all the time.
        std::function<Duration()> interval = [] { return Duration::zero(); };
    };

    /// @param scheduler, store, listener must outlive the feed.
    StoreFeed(Scheduler& scheduler, RowStore& store, StoreFeedListener& listener, Options options);
    ~StoreFeed();
    StoreFeed(const StoreFeed&) = delete;
    StoreFeed& operator=(const StoreFeed&) = delete;

    void start();
    /// Calls the store now instead of at the end of the interval, unless a call is under way.
    void pollNow();
    /// @return time since the newest answer of the store, or nothing before the first.
    std::optional<Duration> age() const;
    /// @return whether the last call got no answer.
    bool isLost() const { return m_isLost; }

private:
    void poll();
    void schedulePoll(Duration delay);
    void handleResult(const RowResult<RowSet>& result, bool isWholeTable);

    Scheduler& m_scheduler;
    RowStore& m_store;
    StoreFeedListener& m_listener;
    Options m_options;
    std::optional<RowVersion> m_version;
    std::optional<MonotonicTime> m_lastAnswer;
    MonotonicTime m_lastPoll;
    bool m_isLost = false;
    /// Calls in a row that failed.
    int m_consecutiveFailures = 0;
    TimerId m_timer = 0;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
