#pragma once

#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "base/random.h"
#include "coordination/session_row.h"
#include "state/table_service.h"

#include <map>
#include <set>
#include <vector>

namespace lacewing {

/// The last known state of one session row.
struct SessionEntry {
    SessionRow row;
    RowVersion version;
    /// When this version was first read.
    MonotonicTime firstSeen;
};

/// Caches the session rows of the fleet, read from the table every few seconds with jitter.
class SessionDirectory {
public:
    using Listener = std::function<void(const SessionEntry& entry)>;

    /// @param table and scheduler must outlive the directory.
    SessionDirectory(TableService& table, Scheduler& scheduler, uint64_t seed);

    void start();
    /// Schedules a read of one row, for a peer that may have failed. Calls within a short time are coalesced.
    void refresh(const HostId& host);
    /// Updates the entry from a row that was read for another purpose.
    void apply(const TableRow& row);
    /// @param listener is called after each change of an entry.
    void addListener(Listener listener) { m_listeners.push_back(std::move(listener)); }

    const std::map<HostId, SessionEntry>& entries() const { return m_entries; }
    /// @return the host's entry, or nullptr if its row has not been read yet.
    const SessionEntry* find(const HostId& host) const;
    /// @return the number of sessions that have not ended, excluding the given host's.
    size_t activeCountExcept(const HostId& host) const;
    /// @return whether all rows have been read at least once.
    bool isLoaded() const { return m_loaded; }

private:
    Duration interval();
    void listAll();
    void readRefreshed();
    void applyAll(const std::vector<TableRow>& rows);

    TableService& m_table;
    Scheduler& m_scheduler;
    Random m_random;
    PeriodicTimer m_timer;
    std::map<HostId, SessionEntry> m_entries;
    std::vector<Listener> m_listeners;
    std::set<std::string> m_refreshKeys;
    bool m_refreshing = false;
    bool m_loaded = false;
    Lifetime m_lifetime;
};

} // namespace lacewing
