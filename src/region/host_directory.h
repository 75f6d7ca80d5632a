#pragma once

#include "region/region_map.h"

#include <vector>

namespace lacewing::region {

/// Where the caller of the directory is, as far as it states it.
struct CallerLocation {
    std::optional<RegionId> region;
    std::optional<DataCentreId> dataCentre;
};

/// Selects the hosts that a directory response names for a host name whose routes have home regions.
///
/// Load pattern: callers of all regions look hosts up while those of one region fail. The body of a request
/// goes to whichever host the caller picks, so hosts of other regions are named only if no other is ready.
class HostDirectory {
public:
    /// Addresses of a response that callers use.
    static constexpr size_t maximumHosts = 64;

    /// @param regions must outlive the directory.
    explicit HostDirectory(const RegionMap& regions)
        : m_regions(regions)
    {
    }

    /// @param hosts data centres of the ready hosts.
    /// @param homes home regions of the host name's routes; empty if no route has any.
    /// @return the indices of the hosts to name; all of them, in their order, without home regions.
    std::vector<size_t> select(const std::vector<DataCentreId>& hosts, const std::set<RegionId>& homes,
        const CallerLocation& caller) const;

private:
    const RegionMap& m_regions;
};

} // namespace lacewing::region
