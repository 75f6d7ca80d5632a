#pragma once

#include "base/scheduler.h"
#include "state/row_store.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lacewing {

/// An in-memory row store on virtual time with fault injection.
class FakeRowStore : public RowStore {
public:
    explicit FakeRowStore(Scheduler& scheduler)
        : m_scheduler(scheduler)
    {
    }

    void put(const RowKey& id, std::string value)
    {
        m_rows[{ id.table, id.key }] = { id, std::move(value), RowVersion(++m_version), false };
    }
    void remove(const RowKey& id)
    {
        m_rows[{ id.table, id.key }] = { id, "", RowVersion(++m_version), true };
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

    void readTable(std::string table, ReadCallback callback) override
    {
        answer(std::move(callback), [this, table] { return rowsOf(table, RowVersion(0), false); });
    }
    void readRow(RowKey id, ReadCallback callback) override
    {
        answer(std::move(callback), [this, id] {
            RowSet rows;
            const auto found = m_rows.find({ id.table, id.key });
            if (found != m_rows.end() && !found->second.isDeleted)
                rows.rows.push_back(found->second);
            rows.version = RowVersion(m_version);
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
                const bool exists = found != m_rows.end() && !found->second.isDeleted;
                const RowVersion version = exists ? found->second.version : RowVersion(0);
                hasConflict = hasConflict || version != condition.expected;
                if (exists)
                    current.push_back(found->second);
            }
            if (hasConflict) {
                ++conflicts;
                CommitResult failure(std::nullopt, RowStoreError::Conflict);
                failure.current = returnsConflictingRows ? std::move(current) : std::vector<StoredRow>();
                callback(failure);
                return;
            }
            ++m_version;
            for (const RowWrite& write : transaction.writes)
                m_rows[{ write.id.table, write.id.key }]
                    = { write.id, write.value.value_or(""), RowVersion(m_version), !write.value };
            if (losesCommitResults)
                callback(CommitResult(std::nullopt));
            else
                callback(CommitResult(RowVersion(m_version)));
        });
    }

private:
    static constexpr Duration callTime = std::chrono::milliseconds(4);
    static constexpr Duration pollInterval = std::chrono::milliseconds(5);

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
            if (key.first == table && row.version > after && (withDeleted || !row.isDeleted))
                rows.rows.push_back(row);
        }
        rows.version = RowVersion(m_version);
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
                if (after.value() < m_oldest) {
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
    std::map<std::pair<std::string, std::string>, StoredRow> m_rows;
    int64_t m_version = 0;
    int64_t m_oldest = 0;
};

} // namespace lacewing
