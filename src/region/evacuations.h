#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/row_store.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::region {

/// A data centre that has been evacuated or restored.
struct EvacuationChange {
    DataCentreId dataCentre;
    bool isEvacuated = false;
    RowVersion version;
};

/// The data centres that operators have evacuated, each with its latest row. Removed rows are kept as
/// tombstones, so that an older row from a peer does not reinstate the evacuation.
///
/// Load pattern: an operator takes a data centre out of use and back, while hosts are cut off, restart, and
/// the store comes back from a copy that lacks the change. An evacuation that lasts too long is preferred to
/// one that ends too early.
class Evacuations {
public:
    using Changes = std::vector<EvacuationChange>;

    /// Readable time of the store after which an evacuation that is missing from its copy ends.
    static constexpr Duration missingRowLifetime = std::chrono::seconds(30);
    /// Upper bound of the data centres that are kept, tombstones included.
    static constexpr size_t maximumRecords = 256;

    bool isEvacuated(const DataCentreId& dataCentre) const;
    /// @return the number of evacuated data centres.
    size_t count() const;

    /// Applies a row or a removal that the store has delivered.
    Changes apply(const DataCentreId& dataCentre, const StoredRow& row);
    /// Applies a row or a removal that a peer has sent.
    ///
    /// @param readVersion up to which this host has read the store. A row of that era that is not newer and
    ///     that this host does not know has been removed.
    Changes applyFromPeer(const DataCentreId& dataCentre, const StoredRow& row, RowVersion readVersion);
    /// Compares the evacuations with a read of the whole table, after its rows have been applied.
    ///
    /// @param version of the read.
    Changes tableRead(const std::set<DataCentreId>& present, RowVersion version);
    /// Counts the time in which the store is readable, and ends evacuations that it has lacked for long.
    ///
    /// @param answeredAt time of the store's latest response.
    /// @param version up to which this host has read the store.
    Changes storeReadable(MonotonicTime answeredAt, RowVersion version);
    /// The store has become unreadable. The time until its next response does not count.
    void storeUnreadable() { m_lastAnswer.reset(); }

    /// @return highest version of all rows and tombstones; 0 if there are none.
    RowVersion newestVersion() const { return m_newestVersion; }
    /// @return the rows and tombstones above a version, and those of earlier eras than `era`.
    std::vector<StoredRow> rowsAfter(RowVersion version, StoreEra era) const;
    /// @return the tombstone that is newer than a row; nothing if there is none.
    std::optional<StoredRow> tombstoneAfter(const DataCentreId& dataCentre, RowVersion version) const;
    /// @return the rows of the evacuations in force.
    std::vector<StoredRow> rowsInForce() const;
    /// @return the rows of the evacuations in force that are missing from the store's copy.
    std::vector<StoredRow> missingRows() const;

private:
    struct Record {
        StoredRow row;
        /// The store's copy lacks the row.
        bool isMissing = false;
        /// Readable time of the store since then; nothing before its first answer.
        std::optional<Duration> missingFor;
    };

    static Changes change(const DataCentreId& dataCentre, const Record& record);
    Changes store(const DataCentreId& dataCentre, const StoredRow& row);
    Changes endAt(const DataCentreId& dataCentre, Record& record, RowVersion version);
    /// @return whether there is room for a further record, after the oldest tombstone has been dropped.
    bool makeRoom();

    std::map<DataCentreId, Record> m_records;
    RowVersion m_newestVersion;
    std::optional<MonotonicTime> m_lastAnswer;
};

} // namespace lacewing::region
