#pragma once

#include "base/scheduler.h"
#include "state/row_store.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lacewing {

/// An in-memory row store on virtual time with fault injection, which can come back from a copy of its rows.
class FakeRowStore : public RowStore {
public:
    explicit FakeRowStore(Scheduler& scheduler)
        : m_scheduler(scheduler)
    {
    }

    void put(const RowKey& id, std::string value)
    {
        ++m_version;
        write(id, std::move(value));
    }
    void remove(const RowKey& id)
    {
        ++m_version;
        write(id, std::nullopt);
    }
    /// Comes back from a copy of the given age: later writes are gone, and their versions are given out
    /// again.
    void restore(Duration age)
    {
        const MonotonicTime copied = m_scheduler.now() - age;
        const auto lost = std::find_if(
            m_history.begin(), m_history.end(), [copied](const Write& write) { return write.time > copied; });
        m_history.erase(lost, m_history.end());
        m_era = StoreEra(m_era.value() + 1);
        m_version = m_oldest = 0;
        m_rows.clear();
        for (const Write& write : m_history) {
            m_version = write.number;
            m_rows[{ write.id.table, write.id.key }] = write;
        }
    }
    /// @return value of a row, or nothing if it does not exist.
    std::optional<std::string> find(const RowKey& id) const
    {
        const auto found = m_rows.find({ id.table, id.key });
        return found == m_rows.end() ? std::nullopt : found->second.value;
    }
    /// Discards the history, so that feeds must read whole tables again.
    void compact() { m_oldest = m_version; }

    /// While set, all calls fail with this error.
    std::optional<RowStoreError> fault;
    /// Writes take effect, but their results are lost.
    bool losesCommitResults = false;
    int calls = 0;
    /// Whether the result of a failed condition contains the current rows.
    bool returnsConflictingRows = true;
    /// Number of transactions that failed because of a condition.
    int conflicts = 0;

    StoreEra newestEra() const override { return m_era; }
    void readTable(std::string table, ReadCallback callback) override
    {
        answer(std::move(callback), [this, table] { return rowsOf(table, RowVersion(0), false); });
    }
    void readRow(RowKey id, ReadCallback callback) override
    {
        answer(std::move(callback), [this, id] {
            RowSet rows;
            const auto found = m_rows.find({ id.table, id.key });
            if (found != m_rows.end() && found->second.value)
                rows.rows.push_back(stored(found->second));
            rows.version = RowVersion(m_era, m_version);
            return rows;
        });
    }
    void awaitChanges(std::string table, RowVersion after, Duration wait, ReadCallback callback) override
    {
        ++calls;
        poll(std::move(table), after, m_scheduler.now() + wait, std::move(callback));
    }
    void commit(RowTransaction transaction, CommitCallback callback) override
    {
        ++calls;
        m_scheduler.runAfter(callTime, [this, transaction, callback] {
            if (fault) {
                callback(CommitResult(std::nullopt, *fault));
                return;
            }
            bool hasConflict = false;
            std::vector<StoredRow> current;
            for (const RowCondition& condition : transaction.conditions) {
                const auto found = m_rows.find({ condition.id.table, condition.id.key });
                const bool exists = found != m_rows.end() && found->second.value;
                const RowVersion version = exists ? stored(found->second).version : RowVersion();
                hasConflict = hasConflict || version != condition.expected;
                if (exists)
                    current.push_back(stored(found->second));
            }
            if (hasConflict) {
                ++conflicts;
                CommitResult failure(std::nullopt, RowStoreError::Conflict);
                failure.current = returnsConflictingRows ? std::move(current) : std::vector<StoredRow>();
                callback(failure);
                return;
            }
            ++m_version;
            for (const RowWrite& each : transaction.writes)
                write(each.id, each.value);
            if (losesCommitResults)
                callback(CommitResult(std::nullopt));
            else
                callback(CommitResult(RowVersion(m_era, m_version)));
        });
    }

private:
    static constexpr Duration callTime = std::chrono::milliseconds(4);
    static constexpr Duration pollInterval = std::chrono::milliseconds(5);

    struct Write {
        RowKey id;
        /// Nothing for a removal.
        std::optional<std::string> value;
        int64_t number = 0;
        MonotonicTime time;
    };

    void write(const RowKey& id, std::optional<std::string> value)
    {
        const Write write { id, std::move(value), m_version, m_scheduler.now() };
        m_rows[{ id.table, id.key }] = write;
        m_history.push_back(write);
    }

    StoredRow stored(const Write& write) const
    {
        return { write.id, write.value.value_or(""), RowVersion(m_era, write.number), !write.value };
    }

    template <typename Read> void answer(ReadCallback callback, Read read)
    {
        ++calls;
        m_scheduler.runAfter(callTime, [this, callback = std::move(callback), read] {
            if (fault)
                callback({ std::nullopt, *fault });
            else
                callback({ read(), {} });
        });
    }

    RowSet rowsOf(const std::string& table, RowVersion after, bool withDeleted) const
    {
        RowSet rows;
        for (const auto& [key, row] : m_rows) {
            if (key.first == table && row.number > after.number() && (withDeleted || row.value))
                rows.rows.push_back(stored(row));
        }
        rows.version = RowVersion(m_era, m_version);
        return rows;
    }

    void poll(std::string table, RowVersion after, MonotonicTime end, ReadCallback callback)
    {
        m_scheduler.runAfter(
            pollInterval, [this, table, after, end, callback = std::move(callback)]() mutable {
                if (fault) {
                    callback({ std::nullopt, *fault });
                    return;
                }
                if (after.number() < m_oldest || after.era() != m_era) {
                    callback({ std::nullopt, RowStoreError::HistoryLost });
                    return;
                }
                RowSet rows = rowsOf(table, after, true);
                if (!rows.rows.empty() || m_scheduler.now() >= end)
                    callback({ std::move(rows), {} });
                else
                    poll(std::move(table), after, end, std::move(callback));
            });
    }

    Scheduler& m_scheduler;
    std::map<std::pair<std::string, std::string>, Write> m_rows;
    std::vector<Write> m_history;
    StoreEra m_era;
    int64_t m_version = 0;
    int64_t m_oldest = 0;
};

} // namespace lacewing
