#include "table_sync/reader_election.h"

#include "base/stable_hash.h"

#include <algorithm>

namespace lacewing::table_sync {

namespace {

/// Number of peers below which all hosts are readers.
constexpr size_t smallFleet = 12;
constexpr size_t hostsPerReader = 12;
constexpr size_t fewestReaders = 6;

} // namespace

bool isReader(const HostId& self, const std::set<HostId>& peers)
{
    if (peers.size() < smallFleet)
        return true;
    const size_t readers = std::max(fewestReaders, (peers.size() + 1) / hostsPerReader);
    const uint64_t own = stableHash(self.value());
    const auto ahead = std::count_if(
        peers.begin(), peers.end(), [own](const HostId& peer) { return stableHash(peer.value()) < own; });
    return static_cast<size_t>(ahead) < readers;
}

} // namespace lacewing::table_sync
