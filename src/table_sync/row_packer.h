#pragma once

#include "state/row_store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::table_sync {

/// A row on its way between hosts.
struct PackedRow {
    RowKey id;
    std::string value;
    RowVersion version;
    bool isDeleted = false;
    bool isCompressed = false;
};

/// Compresses large rows before they are sent to peers.
///
/// Load pattern: a configuration of hundreds of kilobytes changes, and all hosts of a large fleet fetch it
/// from each other at the same time over slow links, which carry heartbeats, too. Each host compresses it
/// once and sends it to several others.
class RowPacker {
public:
    std::vector<PackedRow> pack(const std::vector<StoredRow>& rows);
    /// @return the rows, without those that can't be decompressed.
    static std::vector<StoredRow> unpack(const std::vector<PackedRow>& rows);

private:
    PackedRow packRow(const StoredRow& row);

    /// The newest packed version of each large row, by its key.
    std::map<std::string, PackedRow> m_packed;
};

/// @return the number of bytes that the values of rows take on a link.
size_t valueBytes(const std::vector<PackedRow>& rows);

} // namespace lacewing::table_sync
