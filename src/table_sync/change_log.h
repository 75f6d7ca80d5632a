#pragma once

#include "base/row_version.h"
#include "state/row_store.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing::table_sync {

/// States that a table has no changes after one version and up to another, except those that are sent with
/// the statement.
struct ChangeSpan {
    RowVersion after;
    RowVersion upTo;
};

/// Rows that bring a host up to date.
struct ChangeSet {
    std::vector<StoredRow> rows;
    ChangeSpan span;
    /// The rows are all of the table; others have been removed.
    bool isWholeTable = false;
};

/// Keeps the changes of a table that matter to hosts, and up to which version of the table they are complete.
/// Most writes only renew a row and are no changes.
///
/// Load pattern: a few hosts of a large fleet read the table and relay its changes. A relay may get lost with
/// its sender or its link, so each host compares what readers state with what it knows, and asks for the
/// changes that it lacks. A host that has just read the whole table doesn't know when its rows changed, and
/// must not make all others ask.
class ChangeLog {
public:
    /// Records a changed or removed row.
    ///
    /// @param readVersion version of the table that the row came with. It counts as the version of a change
    ///     that takes effect later than its row, such as a removal after a grace period.
    void record(const StoredRow& row, RowVersion readVersion);
    /// Keeps the newest content of a row that has not changed.
    void renew(const StoredRow& row);
    /// All changes up to a version are recorded.
    void advance(RowVersion version);
    /// Uses a peer's statement that there are no changes within a span.
    ///
    /// @return false if changes before the span may be missing.
    bool confirm(const ChangeSpan& span);
    /// @return whether all changes up to the begin of a span are recorded.
    bool covers(const ChangeSpan& span) const { return span.after <= m_upTo; }

    /// @return version after which there are no changes.
    RowVersion lastChange() const { return m_lastChange; }
    /// @return version up to which all changes are recorded; 0 if the table has not been read.
    RowVersion upTo() const { return m_upTo; }
    /// @return what this host knows to be without changes.
    ChangeSpan quietSpan() const { return { m_lastChange, m_upTo }; }
    /// @return the changes after a version, or the whole table if this host doesn't know all of them.
    ChangeSet changesAfter(RowVersion version) const;

private:
    struct Change {
        StoredRow row;
        RowVersion changedAt;
    };

    std::map<std::string, Change> m_changes;
    /// Version at which this host began to record changes.
    RowVersion m_start;
    RowVersion m_lastChange;
    RowVersion m_upTo;
};

} // namespace lacewing::table_sync
