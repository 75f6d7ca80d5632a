#pragma once

#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "gateway/service_versions.h"
#include "state/row_store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// Keeps the software versions of all services in the fleet's table, one row a service, so that they outlast
/// a loss of all hosts.
///
/// Load pattern: all hosts see another version at the same moment. They act one after the other, so that one
/// commit is made; the others learn of it from their peers. The store may come back from a copy that lacks a
/// row or has an earlier one, which is written again.
class ServiceVersionTracker {
public:
    using UpstreamCounts = std::map<ServiceId, std::map<SoftwareVersion, size_t>>;

    struct Handlers {
        /// @return the number of upstreams of each service and version, those that are leaving included.
        std::function<UpstreamCounts()> upstreams;
        /// @return longest time from the begin of a stream to the last try to take it up.
        std::function<Duration()> longestStream;
        /// @return number of hosts that make changes before this one.
        std::function<size_t()> hostsAhead;
        /// Tells the peers of a row that this host has written, or has known for a while.
        std::function<void(const StoredRow& row)> tellPeers;
    };

    /// @param scheduler, store must outlive the tracker.
    ServiceVersionTracker(Scheduler& scheduler, RowStore& store, Handlers handlers);

    void start()
    {
        m_timer.start();
        m_reminderTimer.start();
    }
    /// Takes over the rows of the whole table, of which others than those of versions are ignored.
    void tableRead(const std::vector<StoredRow>& rows);
    /// Takes over rows that have changed, or that a peer has.
    void rowsChanged(const std::vector<StoredRow>& rows);
    /// Reads the versions of a service from the store.
    ///
    /// @param callback receives whether the store has answered.
    void reread(const ServiceId& service, std::function<void(bool isRead)> callback);
    /// Looks whether versions have to be changed, because upstreams have.
    void refresh();

    /// @return the versions of a service, or null if they are not known.
    const ServiceVersions* find(const ServiceId& service) const;
    /// @return rows of all services whose versions are known, for a peer.
    std::vector<StoredRow> rows() const;

    static RowKey rowKey(const ServiceId& service);

private:
    struct Known {
        /// Nothing if the service has no versions yet.
        std::optional<ServiceVersions> versions;
        /// The row as the store has it; 0 if it has none.
        RowVersion stored;
        VersionsRevision storedRevision;
        /// Since when no upstream of a version has been seen.
        std::map<SoftwareVersion, MonotonicTime> absentSince;
        /// When this host learned that the base is retired; nothing while it isn't.
        std::optional<MonotonicTime> retiredSince;
        bool isCommitting = false;
    };

    void apply(const StoredRow& row);
    /// Repeats what all hosts should know, of which one may have missed the news.
    void remindPeers();
    std::optional<ServiceVersions> plan(
        const ServiceId& service, Known& known, const std::map<SoftwareVersion, size_t>& upstreams);
    void commitLater(const ServiceId& service);
    void commit(const ServiceId& service);
    void committed(const ServiceVersions& versions, const CommitResult& result);

    Scheduler& m_scheduler;
    RowStore& m_store;
    Handlers m_handlers;
    std::map<ServiceId, Known> m_known;
    bool m_hasReadTable = false;
    PeriodicTimer m_timer;
    PeriodicTimer m_reminderTimer;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
