#include "table_sync/row_packer.h"

#include "base/compression.h"

#include <numeric>

namespace lacewing::table_sync {

namespace {

/// Smaller values are sent as they are.
constexpr size_t smallestCompressedBytes = 4 * 1024;
constexpr size_t maximumValueBytes = 16 * 1024 * 1024;

} // namespace

PackedRow RowPacker::packRow(const StoredRow& row)
{
    PackedRow packed { row.id, row.value, row.version, row.isDeleted, false };
    if (row.value.size() < smallestCompressedBytes)
        return packed;
    const auto known = m_packed.find(row.id.key);
    if (known != m_packed.end() && known->second.version == row.version)
        return known->second;
    packed.value = compress(row.value);
    packed.isCompressed = true;
    m_packed[row.id.key] = packed;
    return packed;
}

std::vector<PackedRow> RowPacker::pack(const std::vector<StoredRow>& rows)
{
    std::vector<PackedRow> packed;
    for (const StoredRow& row : rows)
        packed.push_back(packRow(row));
    return packed;
}

std::vector<StoredRow> RowPacker::unpack(const std::vector<PackedRow>& rows)
{
    std::vector<StoredRow> unpacked;
    for (const PackedRow& row : rows) {
        auto value = row.isCompressed ? decompress(row.value, maximumValueBytes) : row.value;
        if (value)
            unpacked.push_back({ row.id, std::move(*value), row.version, row.isDeleted });
    }
    return unpacked;
}

size_t valueBytes(const std::vector<PackedRow>& rows)
{
    return std::accumulate(rows.begin(), rows.end(), size_t(0),
        [](size_t bytes, const PackedRow& row) { return bytes + row.value.size(); });
}

} // namespace lacewing::table_sync
