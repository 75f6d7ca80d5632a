#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "gateway/prompt_quarantine.h"
#include "state/row_store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// Keeps quarantines in the store, so that they outlast a loss of all hosts.
///
/// Load pattern: quarantines are rare, so a host reads the table once when it starts, and only the host that
/// makes a change writes it. Calls that fail are repeated, since the store may be away for a while. It may
/// come back from a copy that lacks quarantines or still has some that were lifted.
class QuarantineRows {
public:
    using ReadCallback = std::function<void(const Quarantine& quarantine)>;

    /// @param scheduler, store must outlive the rows.
    QuarantineRows(Scheduler& scheduler, RowStore& store);

    /// @param callback receives each quarantine that is in force.
    void read(ReadCallback callback);
    /// Brings the table in line with what the hosts know, after the store has come back from a copy.
    ///
    /// @param known returns all quarantines, including those that were lifted.
    /// @param callback receives the quarantines of the table.
    /// @param rewritten receives the number of rows that the table lacked.
    void reconcile(std::function<std::vector<Quarantine>()> known, ReadCallback callback,
        std::function<void(size_t count)> rewritten);
    /// Writes a quarantine, or removes it if it has been lifted.
    void save(const Quarantine& quarantine);

private:
    using Revisions = std::map<std::string, QuarantineRevision>;

    /// @param done receives the revisions of the table's rows by key.
    void readAll(ReadCallback callback, std::function<void(const Revisions& stored)> done);
    void commit();

    Scheduler& m_scheduler;
    RowStore& m_store;
    /// Values to write by key; nothing for a row to remove.
    std::map<std::string, std::optional<std::string>> m_pending;
    bool m_isCommitting = false;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
