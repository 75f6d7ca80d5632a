#pragma once

#include "base/random.h"
#include "base/scheduler.h"
#include "state/table_service.h"

#include <map>
#include <memory>
#include <set>

namespace lacewing {

/// In-memory table on virtual time with injected faults, shared by the simulated daemons of a test.
class SimulatedTable {
public:
    /// @param scheduler must outlive the table and its clients.
    /// @param seed decides delays and which answers are lost.
    SimulatedTable(Scheduler& scheduler, uint64_t seed);

    /// @return a client for one daemon. The table must outlive it.
    std::unique_ptr<TableService> client(const HostId& host);

    /// While down, every call fails with Unavailable after one delay.
    void setDown(bool down) { m_down = down; }
    /// Cuts one daemon off: its calls get no answer and end as Unknown after the call timeout, and have no
    /// effect.
    void setReachable(const HostId& host, bool reachable);
    /// @param probability share of commits that take effect but whose answer is lost.
    void setLostAnswerProbability(double probability) { m_lostAnswerProbability = probability; }
    /// @param probability share of commits that reach the table only after the caller was told Unknown.
    void setLateCommitProbability(double probability) { m_lateCommitProbability = probability; }
    /// @param observer is called for each row that is written.
    void setWriteObserver(std::function<void(const TableRow&)> observer)
    {
        m_writeObserver = std::move(observer);
    }
    /// @param shortest, longest bounds of the one-way delay of each call and each answer.
    void setDelay(Duration shortest, Duration longest);

    /// @return the current rows, for checks.
    const std::map<std::string, TableRow>& rows() const { return m_rows; }
    int64_t readCount() const { return m_readCount; }
    int64_t writeCount() const { return m_writeCount; }
    /// @return bytes of keys and values in answers to reads.
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
