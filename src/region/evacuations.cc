#include "region/evacuations.h"

#include <algorithm>

namespace lacewing::region {

bool Evacuations::isEvacuated(const DataCentreId& dataCentre) const
{
    const auto found = m_records.find(dataCentre);
    return found != m_records.end() && !found->second.row.isDeleted;
}

size_t Evacuations::count() const
{
    return static_cast<size_t>(std::count_if(
        m_records.begin(), m_records.end(), [](const auto& entry) { return !entry.second.row.isDeleted; }));
}

Evacuations::Changes Evacuations::change(const DataCentreId& dataCentre, const Record& record)
{
    return { { dataCentre, !record.row.isDeleted, record.row.version } };
}

bool Evacuations::makeRoom()
{
    if (m_records.size() < maximumRecords)
        return true;
    auto oldest = m_records.end();
    for (auto each = m_records.begin(); each != m_records.end(); ++each) {
        if (!each->second.row.isDeleted)
            continue;
        if (oldest == m_records.end() || each->second.row.version < oldest->second.row.version)
            oldest = each;
    }
    if (oldest == m_records.end())
        return false;
    m_records.erase(oldest);
    return true;
}

Evacuations::Changes Evacuations::store(const DataCentreId& dataCentre, const StoredRow& row)
{
    const bool wasEvacuated = isEvacuated(dataCentre);
    m_newestVersion = std::max(m_newestVersion, row.version);
    if (m_records.count(dataCentre) == 0 && !makeRoom())
        return {};
    Record& record = m_records[dataCentre];
    record = { row, false, std::nullopt };
    return wasEvacuated == !row.isDeleted ? Changes() : change(dataCentre, record);
}

Evacuations::Changes Evacuations::apply(const DataCentreId& dataCentre, const StoredRow& row)
{
    const auto known = m_records.find(dataCentre);
    if (known != m_records.end() && row.version <= known->second.row.version)
        return {};
    return store(dataCentre, row);
}

Evacuations::Changes Evacuations::applyFromPeer(
    const DataCentreId& dataCentre, const StoredRow& row, RowVersion readVersion)
{
    const bool isKnown = m_records.count(dataCentre) > 0;
    const bool wouldHaveBeenRead = row.version.era() == readVersion.era() && row.version <= readVersion;
    if (!isKnown && wouldHaveBeenRead && !row.isDeleted)
        return store(dataCentre, { row.id, "", readVersion, true });
    const Changes changes = apply(dataCentre, row);
    const auto record = m_records.find(dataCentre);
    const bool isCurrent = record != m_records.end() && record->second.row.version == row.version;
    if (isCurrent && !record->second.row.isDeleted && row.version.era() < readVersion.era())
        record->second.isMissing = true;
    return changes;
}

Evacuations::Changes Evacuations::endAt(const DataCentreId& dataCentre, Record& record, RowVersion version)
{
    record = { { record.row.id, "", version, true }, false, std::nullopt };
    m_newestVersion = std::max(m_newestVersion, version);
    return change(dataCentre, record);
}

Evacuations::Changes Evacuations::tableRead(const std::set<DataCentreId>& present, RowVersion version)
{
    Changes changes;
    for (auto& [dataCentre, record] : m_records) {
        const bool isMissing = present.count(dataCentre) == 0 && record.row.version <= version;
        if (record.row.isDeleted || !isMissing)
            continue;
        if (record.row.version.era() == version.era()) {
            const Changes ended = endAt(dataCentre, record, version);
            changes.insert(changes.end(), ended.begin(), ended.end());
        } else
            record.isMissing = true;
    }
    return changes;
}

Evacuations::Changes Evacuations::storeReadable(MonotonicTime answeredAt, RowVersion version)
{
    const Duration readable = m_lastAnswer ? answeredAt - *m_lastAnswer : Duration::zero();
    m_lastAnswer = answeredAt;
    Changes changes;
    for (auto& [dataCentre, record] : m_records) {
        if (!record.isMissing)
            continue;
        // The time before the first answer after the discovery does not count.
        if (!record.missingFor) {
            record.missingFor = Duration::zero();
            continue;
        }
        *record.missingFor += readable;
        if (*record.missingFor < missingRowLifetime)
            continue;
        const Changes ended = endAt(dataCentre, record, version);
        changes.insert(changes.end(), ended.begin(), ended.end());
    }
    return changes;
}

std::vector<StoredRow> Evacuations::rowsAfter(RowVersion version, StoreEra era) const
{
    std::vector<StoredRow> rows;
    for (const auto& [dataCentre, record] : m_records) {
        if (record.row.version > version || record.row.version.era() < era)
            rows.push_back(record.row);
    }
    return rows;
}

std::optional<StoredRow> Evacuations::tombstoneAfter(const DataCentreId& dataCentre, RowVersion version) const
{
    const auto found = m_records.find(dataCentre);
    const bool isRemoved
        = found != m_records.end() && found->second.row.isDeleted && found->second.row.version > version;
    return isRemoved ? std::make_optional(found->second.row) : std::nullopt;
}

std::vector<StoredRow> Evacuations::rowsInForce() const
{
    std::vector<StoredRow> rows;
    for (const auto& [dataCentre, record] : m_records) {
        if (!record.row.isDeleted)
            rows.push_back(record.row);
    }
    return rows;
}

std::vector<StoredRow> Evacuations::missingRows() const
{
    std::vector<StoredRow> rows;
    for (const auto& [dataCentre, record] : m_records) {
        if (record.isMissing)
            rows.push_back(record.row);
    }
    return rows;
}

} // namespace lacewing::region
