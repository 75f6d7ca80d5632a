#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Identifies a row of the platform's row store.
struct RowKey {
    std::string table;
    std::string key;
};

/// A row returned by the store.
struct StoredRow {
    RowKey id;
    std::string value;
    RowVersion version;
    /// The row was deleted and its value is empty. Set only by RowStore::awaitChanges().
    bool isDeleted = false;
};

/// A consistent snapshot of rows, or the changes since an earlier version.
struct RowSet {
    std::vector<StoredRow> rows;
    /// Newest version that the rows reflect; the next RowStore::awaitChanges() call continues from it.
    RowVersion version;
};

/// Precondition that a row has the expected version; version 0 requires that it does not exist.
struct RowCondition {
    RowKey id;
    RowVersion expected;
};

/// Sets a row, or deletes it if there is no value.
struct RowWrite {
    RowKey id;
    std::optional<std::string> value;
};

/// Writes that are applied atomically, and only if all conditions hold.
struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/// Why a call to the row store failed.
enum class RowStoreError {
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The store rejected the call; nothing was written.
    Refused,
    /// The table must be read again: the requested changes are no longer retained, or the store has come back
    /// from a copy.
    HistoryLost,
    /// No valid response: a write may have taken effect or may still do so later.
    Unknown,
};

/// @return the error's name in snake_case, for logs and metrics.
const char* toString(RowStoreError error);

/// Result of a call: a value, or the error if there is none.
template <typename Value> struct RowResult {
    std::optional<Value> value;
    RowStoreError error = RowStoreError::Unknown;
};

/// Result of a transaction: the version assigned to its writes, or the error if it was not committed.
struct CommitResult : RowResult<RowVersion> {
    CommitResult(std::optional<RowVersion> committed, RowStoreError reason = RowStoreError::Unknown)
        : RowResult { committed, reason }
    {
    }

    /// After a conflict, the existing rows among those in the conditions, if the store reports them.
    std::optional<std::vector<StoredRow>> current;
};

/// Interface to the platform's versioned row store. Callbacks run on the event loop's thread, never inside
/// the call itself.
class RowStore {
public:
    using ReadCallback = std::function<void(const RowResult<RowSet>& result)>;
    using CommitCallback = std::function<void(const CommitResult& result)>;

    virtual ~RowStore() = default;

    /// Reads a whole table as a consistent snapshot.
    virtual void readTable(std::string table, ReadCallback callback) = 0;
    /// Reads one row; the result is empty if it does not exist.
    virtual void readRow(RowKey id, ReadCallback callback) = 0;
    /// Long-polls for changes of a table after a version.
    ///
    /// @param wait longest time that the store holds the call if nothing changes.
    virtual void awaitChanges(std::string table, RowVersion after, Duration wait, ReadCallback callback) = 0;
    /// Commits a transaction. A condition on a row that was read in an earlier era is a conflict, since its
    /// version may have been given to another value; so is one whose rows the store has lost meanwhile.
    ///
    virtual void commit(RowTransaction transaction, CommitCallback callback) = 0;
    /// @return newest era of the store that an answer has named; 0 before the first.
    virtual StoreEra newestEra() const { return StoreEra(); }
};

} // namespace lacewing
