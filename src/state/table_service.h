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

/// Requires that a row has a version when the transaction commits. Version 0: the row does not exist.
struct TableCondition {
    std::string key;
    RowVersion expectedVersion;
};

/// Sets a row, or deletes it if there is no value.
struct TableWrite {
    std::string key;
    std::optional<std::string> value;
};

/// Writes that take effect all together, and only if all conditions hold.
struct TableTransaction {
    /// Unique per transaction. Settles by a read whether a transaction with a lost answer took effect.
    std::string writeId;
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

/// Why a call to the table failed.
enum class TableError {
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The service refused or could not be reached; nothing was written.
    Unavailable,
    /// No answer in time; a write may or may not have taken effect.
    Unknown,
    /// The call budget of this process is used up; nothing was sent.
    Throttled,
};

/// @return the error's name in snake_case, for logs and metrics.
const char* toString(TableError error);

/// Port to the platform's transactional table. Callbacks run on the loop's thread, never inside the call.
class TableService {
public:
    /// Receives the rows of a read, or the error.
    using RowsCallback
        = std::function<void(const std::vector<TableRow>& rows, std::optional<TableError> error)>;
    /// Receives nothing on success, or the error.
    using CommitCallback = std::function<void(std::optional<TableError> error)>;

    virtual ~TableService() = default;

    /// Reads rows in one consistent view.
    ///
    /// @param keys the keys to read; rows that don't exist are left out of the answer.
    virtual void read(std::vector<std::string> keys, RowsCallback callback) = 0;

    /// Reads all rows whose key starts with a prefix, in key order.
    virtual void list(std::string prefix, RowsCallback callback) = 0;

    /// Commits a transaction. It reports TableError::Conflict if a condition does not hold.
    virtual void commit(TableTransaction transaction, CommitCallback callback) = 0;
};

} // namespace lacewing
