#include "fakes/table_store.h"

namespace lacewing {

std::vector<TableStore::Row> TableStore::read(const std::vector<std::string>& keys) const
{
    std::vector<Row> rows;
    for (const std::string& key : keys) {
        const auto found = m_rows.find(key);
        if (found != m_rows.end())
            rows.push_back(found->second);
    }
    return rows;
}

std::vector<TableStore::Row> TableStore::list(const std::string& prefix) const
{
    std::vector<Row> rows;
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end(); ++row) {
        if (row->first.compare(0, prefix.size(), prefix) != 0)
            break;
        rows.push_back(row->second);
    }
    return rows;
}

int64_t TableStore::versionOf(const std::string& key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? 0 : found->second.version;
}

bool TableStore::commit(
    const std::string& writeId, const std::vector<Condition>& conditions, const std::vector<Write>& writes)
{
    for (const Condition& condition : conditions) {
        if (versionOf(condition.key) != condition.version)
            return false;
    }
    for (const Write& write : writes) {
        if (!write.value) {
            m_rows.erase(write.key);
            continue;
        }
        m_rows[write.key] = Row { write.key, ++m_lastVersion, *write.value, writeId };
    }
    return true;
}

} // namespace lacewing
