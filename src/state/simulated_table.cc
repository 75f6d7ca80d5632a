#include "state/simulated_table.h"

#include <utility>

namespace lacewing {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr Duration longestLateDelay = std::chrono::seconds(8);

} // namespace

/// Client of the simulated table for one daemon.
class SimulatedTableClient : public TableService {
public:
    SimulatedTableClient(SimulatedTable& table, HostId host)
        : m_table(table)
        , m_host(std::move(host))
    {
    }

    void read(std::vector<std::string> keys, RowsCallback callback) override
    {
        readRows(
            [this, keys = std::move(keys)] {
                std::vector<TableRow> rows;
                for (const std::string& key : keys) {
                    const auto found = m_table.m_rows.find(key);
                    if (found != m_table.m_rows.end())
                        rows.push_back(found->second);
                }
                return rows;
            },
            std::move(callback));
    }

    void list(std::string prefix, RowsCallback callback) override
    {
        readRows(
            [this, prefix = std::move(prefix)] {
                std::vector<TableRow> rows;
                for (auto row = m_table.m_rows.lower_bound(prefix); row != m_table.m_rows.end(); ++row) {
                    if (row->first.compare(0, prefix.size(), prefix) != 0)
                        break;
                    rows.push_back(row->second);
                }
                return rows;
            },
            std::move(callback));
    }

    void commit(TableTransaction transaction, CommitCallback callback) override
    {
        const auto answer = [this, callback](std::optional<TableError> error) {
            m_table.m_scheduler.runAfter(m_table.delay(), [callback, error] { callback(error); });
        };
        const auto timeOut = [this, callback] {
            m_table.m_scheduler.runAfter(callTimeout, [callback] { callback(TableError::Unknown); });
        };
        if (m_table.m_random.chance(m_table.m_lateCommitProbability)) {
            timeOut();
            m_table.m_scheduler.runAfter(m_table.lateDelay(), [this, transaction = std::move(transaction)] {
                if (m_table.isReachable(m_host) && !m_table.m_down)
                    m_table.apply(transaction);
            });
            return;
        }
        m_table.m_scheduler.runAfter(
            m_table.delay(), [this, transaction = std::move(transaction), answer, timeOut] {
                if (!m_table.isReachable(m_host))
                    return timeOut();
                if (m_table.m_down)
                    return answer(TableError::Unavailable);
                ++m_table.m_writeCount;
                const std::optional<TableError> error = m_table.apply(transaction);
                if (m_table.m_random.chance(m_table.m_lostAnswerProbability))
                    return timeOut();
                answer(error);
            });
    }

private:
    void readRows(std::function<std::vector<TableRow>()> query, RowsCallback callback)
    {
        m_table.m_scheduler.runAfter(
            m_table.delay(), [this, query = std::move(query), callback = std::move(callback)] {
                if (!m_table.isReachable(m_host)) {
                    m_table.m_scheduler.runAfter(
                        callTimeout, [callback] { callback({}, TableError::Unknown); });
                    return;
                }
                std::optional<TableError> error;
                std::vector<TableRow> rows;
                if (m_table.m_down) {
                    error = TableError::Unavailable;
                } else {
                    ++m_table.m_readCount;
                    rows = query();
                    for (const TableRow& row : rows)
                        m_table.m_readByteCount += static_cast<int64_t>(row.key.size() + row.value.size());
                }
                m_table.m_scheduler.runAfter(
                    m_table.delay(), [callback, rows, error] { callback(rows, error); });
            });
    }

    SimulatedTable& m_table;
    HostId m_host;
};

SimulatedTable::SimulatedTable(Scheduler& scheduler, uint64_t seed)
    : m_scheduler(scheduler)
    , m_random(seed)
{
}

std::unique_ptr<TableService> SimulatedTable::client(const HostId& host)
{
    return std::make_unique<SimulatedTableClient>(*this, host);
}

void SimulatedTable::setReachable(const HostId& host, bool reachable)
{
    if (reachable)
        m_unreachable.erase(host);
    else
        m_unreachable.insert(host);
}

void SimulatedTable::setDelay(Duration shortest, Duration longest)
{
    m_shortestDelay = shortest;
    m_longestDelay = longest;
}

Duration SimulatedTable::delay()
{
    const auto spread = static_cast<uint64_t>((m_longestDelay - m_shortestDelay).count());
    return m_shortestDelay + Duration(static_cast<int64_t>(m_random.below(spread + 1)));
}

Duration SimulatedTable::lateDelay()
{
    const auto spread = static_cast<uint64_t>((longestLateDelay - callTimeout).count());
    return callTimeout + Duration(static_cast<int64_t>(m_random.below(spread)));
}

std::optional<TableError> SimulatedTable::apply(const TableTransaction& transaction)
{
    for (const TableCondition& condition : transaction.conditions) {
        const auto found = m_rows.find(condition.key);
        const RowVersion version = found == m_rows.end() ? RowVersion(0) : found->second.version;
        if (version != condition.expectedVersion)
            return TableError::Conflict;
    }
    for (const TableWrite& write : transaction.writes) {
        if (!write.value) {
            m_rows.erase(write.key);
            continue;
        }
        TableRow& row = m_rows[write.key];
        row = TableRow { write.key, RowVersion(++m_lastVersion), *write.value, transaction.writeId };
        if (m_writeObserver)
            m_writeObserver(row);
    }
    return std::nullopt;
}

} // namespace lacewing
