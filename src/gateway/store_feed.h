#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "state/row_store.h"

#include <functional>
#include <string>

namespace lacewing::gateway {

/// Receives the rows of a table. Called on the event loop's thread.
class StoreFeedListener {
public:
    virtual ~StoreFeedListener() = default;

    /// Called before tableRead() when the store has come back from a copy since the last response.
    ///
    /// @param copy upper bound of the versions of the copy's rows. Rows up to it may be older than what was
    ///     known before, or written since; rows above it were written since.
    virtual void storeRestored(RowVersion copy) { }
    /// Called with the whole table at the start and whenever changes may have been missed.
    virtual void tableRead(const std::vector<StoredRow>& rows) = 0;
    virtual void rowsChanged(const std::vector<StoredRow>& rows) = 0;
    /// Called with the first response after an outage, before the rows are delivered.
    ///
    /// @param outage time since the previous response; zero if there was none.
    virtual void feedResumed(Duration outage) { }
};

/// Follows the changes of one table of the store by long polling. Logs when the table becomes unreadable and
/// readable again.
class StoreFeed {
public:
    struct Options {
        std::string table;
        /// @return how long the store may hold a poll while nothing changes. Evaluated before each poll.
        std::function<Duration()> wait = [] { return std::chrono::seconds(1); };
        /// @return the shortest time between the starts of two polls; bounds the cost of a table that changes
        ///     continuously. Evaluated after each poll.
        std::function<Duration()> interval = [] { return Duration::zero(); };
    };

    /// @param scheduler, store, listener must outlive the feed.
    StoreFeed(Scheduler& scheduler, RowStore& store, StoreFeedListener& listener, Options options);
    ~StoreFeed();
    StoreFeed(const StoreFeed&) = delete;
    StoreFeed& operator=(const StoreFeed&) = delete;

    void start();
    /// Polls the store now instead of at the end of the interval, unless a poll is in flight.
    void pollNow();
    /// @return era of the store at the last response; 0 before the first.
    StoreEra era() const { return m_era; }
    /// @return version up to which the table has been read; nothing before the first response and while the
    ///     whole table must be read again.
    std::optional<RowVersion> version() const { return m_version; }
    /// @return time since the last response of the store, or nothing before the first.
    std::optional<Duration> age() const;
    /// @return whether the last poll got no response.
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
    StoreEra m_era;
    std::optional<MonotonicTime> m_lastAnswer;
    MonotonicTime m_lastPoll;
    bool m_isLost = false;
    int m_consecutiveFailures = 0;
    TimerId m_timer = 0;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
