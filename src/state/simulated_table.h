#pragma once

#include "base/random.h"
#include "base/scheduler.h"
#include "state/table_service.h"

#include <map>
#include <memory>
#include <set>

namespace lacewing {

/// In-memory table with fault injection, shared by the simulated daemons of a test. Runs on the scheduler's
/// virtual time.
class SimulatedTable {
public:
    /// @param scheduler must outlive the table and its clients.
    /// @param seed determines delays and which responses are lost.
    SimulatedTable(Scheduler& scheduler, uint64_t seed);

    /// @return a client for one daemon; the table must outlive it.
    std::unique_ptr<TableService> client(const HostId& host);

    /// While the table is down, every call fails with TableError::Unavailable after a round trip.
    void setDown(bool down) { m_down = down; }
    /// Partitions a daemon from the table: its calls have no effect and fail with TableError::Unknown after
    /// the call timeout.
    void setReachable(const HostId& host, bool reachable);
    /// @param probability fraction of commits that take effect but whose response is lost.
    void setLostAnswerProbability(double probability) { m_lostAnswerProbability = probability; }
    /// @param probability fraction of commits that reach the table only after the call has failed with
    /// TableError::Unknown.
    void setLateCommitProbability(double probability) { m_lateCommitProbability = probability; }
    /// @param observer called for each row that is set, but not for deletions.
    void setWriteObserver(std::function<void(const TableRow&)> observer)
    {
        m_writeObserver = std::move(observer);
    }
    /// @param shortest, longest bounds of the one-way delay of each request and each response.
    void setDelay(Duration shortest, Duration longest);

    /// @return the current rows, for assertions.
    const std::map<std::string, TableRow>& rows() const { return m_rows; }
    int64_t readCount() const { return m_readCount; }
    int64_t writeCount() const { return m_writeCount; }
    /// @return total size of the keys and values returned by reads, in bytes.
    int64_t readByteCount() const { return m_readByteCount; }

private:
    friend class SimulatedTableClient;

    Duration delay();
    Duration lateDelay();
    bool isReachable(const HostId& host) const { return m_unreachable.count(host) == 0; }
    std::optional<TableError> apply(const TableTransaction& transaction);

    Scheduler& m_scheduler;
    Random m_random;
    bool m_down = false;
    double m_lostAnswerProbability = 0;
    double m_lateCommitProbability = 0;
    std::function<void(const TableRow&)> m_writeObserver;
    Duration m_shortestDelay = std::chrono::milliseconds(1);
    Duration m_longestDelay = std::chrono::milliseconds(5);
    std::set<HostId> m_unreachable;
    std::map<std::string, TableRow> m_rows;
    int64_t m_lastVersion = 0;
    int64_t m_readCount = 0;
    int64_t m_writeCount = 0;
    int64_t m_readByteCount = 0;
};

} // namespace lacewing
