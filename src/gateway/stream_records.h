#pragma once

#include "base/lifetime.h"
#include "base/metrics.h"
#include "base/periodic_timer.h"
#include "gateway/serving_configuration.h"
#include "gateway/stream_name.h"
#include "state/row_store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// What has begun a stream.
struct StreamOrigin {
    ServiceId service;
    SoftwareVersion version;
};

/// What is known of the begin of a stream.
struct StreamLookup {
    enum class Source {
        /// This host has passed on its first event.
        Host,
        /// It has a record in the store.
        Record,
        /// It has no record in the store.
        NoRecord,
        /// The store can't be asked, or may lack records that are being written again.
        Unreadable,
    };

    Source source = Source::Unreadable;
    /// Set if the source is the host or a record.
    std::optional<StreamOrigin> origin = std::nullopt;
};

/// Remembers which software version has begun a stream: for streams of this host in memory, and for those
/// that are saved in the store, too, where they outlast the host.
///
/// Load pattern: while two versions serve, a row is written for each stream of one of them. Streams that come
/// while a commit is under way share the next one. Rows are removed once nobody can take their streams up any
/// more, those of hosts that have ended by another host. The store may come back from a copy that lacks rows,
/// which are written again.
class StreamRecords {
public:
    /// @param scheduler, store, metrics must outlive the records.
    /// @param lifetime returns the longest time from the begin of a stream to the last try to take it up.
    /// @param restored receives the number of records that are written again.
    StreamRecords(Scheduler& scheduler, RowStore& store, MetricsRegistry& metrics,
        std::function<Duration()> lifetime, std::function<void(size_t count)> restored);

    void start()
    {
        m_expiryTimer.start();
        m_eraTimer.start();
    }
    /// Remembers a stream in memory.
    void remember(const StreamName& name, const StreamOrigin& origin);
    /// Writes a record. A call without an answer is repeated.
    ///
    /// @param saved called once the store has the record; never if that can't be achieved while the stream
    /// can be taken up.
    void save(const StreamName& name, const StreamOrigin& origin, std::function<void()> saved);
    /// @return what has begun a stream whose first event this host has passed on, or null.
    const StreamOrigin* findRemembered(const StreamName& name) const;
    /// Looks a stream up, in memory first. A look-up that the store doesn't answer is repeated for a short
    /// time.
    void find(const StreamName& name, std::function<void(const StreamLookup& lookup)> callback);
    /// Removes the rows that no host needs any more. To be called on one host from time to time.
    void sweep();

    static RowKey rowKey(const StreamName& name);

private:
    struct Remembered {
        StreamOrigin origin;
        MonotonicTime since;
        bool isSaved = false;
    };
    struct Pending {
        std::optional<std::string> value;
        MonotonicTime since;
        std::function<void()> saved;
    };

    using FindCallback = std::function<void(const StreamLookup& lookup)>;
    /// @param deadline of further tries, if the store doesn't answer.
    void readRecord(const RowKey& key, MonotonicTime deadline, FindCallback callback);
    StreamLookup read(const RowSet& rows);
    void write(const RowKey& key, std::optional<std::string> value, std::function<void()> saved);
    void commit();
    void committed(const std::vector<std::pair<RowKey, Pending>>& writes, const CommitResult& result);
    /// Writes the records of this host again if the store has come back from a copy.
    void noteEra(StoreEra era);
    void expire();
    void swept(const std::vector<StoredRow>& rows);

    Scheduler& m_scheduler;
    RowStore& m_store;
    MetricsRegistry& m_metrics;
    std::function<Duration()> m_lifetimeOfStreams;
    std::function<void(size_t count)> m_restored;
    std::map<StreamName, Remembered> m_streams;
    std::vector<std::pair<RowKey, Pending>> m_pending;
    bool m_isCommitting = false;
    /// Newest era of the store that is known.
    StoreEra m_era;
    /// When this host has learned that the store has come back from a copy.
    std::optional<MonotonicTime> m_restoredAt;
    /// Rows in the store, with the time at which this host first saw them.
    std::map<std::string, MonotonicTime> m_seenRows;
    PeriodicTimer m_expiryTimer;
    PeriodicTimer m_eraTimer;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
