#include "table_sync/change_log.h"

#include <algorithm>

namespace lacewing::table_sync {

void ChangeLog::record(const StoredRow& row, RowVersion readVersion)
{
    // Peers have been told that there are no changes up to m_upTo.
    const RowVersion changedAt = row.version > m_upTo ? row.version : readVersion;
    m_changes[row.id.key] = { row, changedAt };
    m_lastChange = std::max(m_lastChange, changedAt);
}

void ChangeLog::renew(const StoredRow& row)
{
    const auto change = m_changes.find(row.id.key);
    if (change != m_changes.end())
        change->second.row = row;
}

void ChangeLog::advance(RowVersion version)
{
    if (!m_upTo.exists())
        m_start = version;
    m_upTo = std::max(m_upTo, version);
}

bool ChangeLog::confirm(const ChangeSpan& span)
{
    if (!m_upTo.exists() || !covers(span))
        return false;
    if (span.upTo >= m_lastChange)
        m_lastChange = std::min(m_lastChange, span.after);
    advance(span.upTo);
    return true;
}

ChangeSet ChangeLog::changesAfter(RowVersion version) const
{
    ChangeSet changes;
    changes.isWholeTable = version < m_start;
    changes.span = { changes.isWholeTable ? RowVersion() : version, m_upTo };
    for (const auto& [key, change] : m_changes) {
        const bool isNeeded = changes.isWholeTable ? !change.row.isDeleted : change.changedAt > version;
        if (isNeeded)
            changes.rows.push_back(change.row);
    }
    return changes;
}

} // namespace lacewing::table_sync
