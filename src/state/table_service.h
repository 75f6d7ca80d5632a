#pragma once

#include "base/ids.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// One row of the platform's transactional table.
struct TableRow {
    std::string key;
    RowVersion version;
    std::string value;
    /// Id of the transaction that wrote this version.
    std::string writeId;
};

/// Precondition that a row has the expected version when the transaction commits. Version 0 requires that the
/// row does not exist.
struct TableCondition {
    std::string key;
    RowVersion expectedVersion;
};

/// Sets a row, or deletes it if there is no value.
struct TableWrite {
    std::string key;
    std::optional<std::string> value;
};

/// Writes that are applied atomically, and only if all conditions hold.
struct TableTransaction {
    /// Unique per transaction. After a lost response, comparing it with TableRow::writeId tells whether the
    /// transaction took effect.
    std::string writeId;
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

/// Why a call to the table failed.
enum class TableError {
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The service rejected the call or was unreachable; nothing was written.
    Unavailable,
    /// The call timed out; a write may or may not have taken effect.
    Unknown,
    /// The rate limit for calls of this process was reached; nothing was sent.
    Throttled,
};

/// @return the error's name in snake_case, for logs and metrics.
const char* toString(TableError error);

/// Interface to the platform's transactional table. Callbacks run on the event loop's thread, never inside
/// the call itself.
class TableService {
public:
    /// Receives the rows of a read, or the error.
    using RowsCallback
        = std::function<void(const std::vector<TableRow>& rows, std::optional<TableError> error)>;
    /// Receives std::nullopt on success, or the error.
    using CommitCallback = std::function<void(std::optional<TableError> error)>;

    virtual ~TableService() = default;

    /// Reads rows as a consistent snapshot.
    ///
    /// @param keys the keys to read; rows that don't exist are omitted from the result.
    virtual void read(std::vector<std::string> keys, RowsCallback callback) = 0;

    /// Reads all rows whose key starts with a prefix, in key order.
    virtual void list(std::string prefix, RowsCallback callback) = 0;

    /// Commits a transaction. Reports TableError::Conflict if a condition does not hold.
    virtual void commit(TableTransaction transaction, CommitCallback callback) = 0;
};

} // namespace lacewing
