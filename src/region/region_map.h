#pragma once

#include "base/ids.h"
#include "region/home_regions.h"

#include <map>
#include <optional>
#include <utility>

namespace lacewing::region {

/// Maps data centres to their regions. Without entries there is a single region, and home regions have no
/// effect.
class RegionMap {
public:
    RegionMap() = default;
    explicit RegionMap(std::map<DataCentreId, RegionId> regions)
        : m_regions(std::move(regions))
    {
    }

    /// Adds a data centre, unless its region is already known or there is a single region.
    void complete(const DataCentreId& dataCentre, const RegionId& region);
    bool isEnabled() const { return !m_regions.empty(); }
    /// @return nothing if the data centre is unknown.
    std::optional<RegionId> find(const DataCentreId& dataCentre) const;
    /// @return whether requests that are restricted to home regions may be sent to the data centre.
    bool permits(const HomeRegions& homes, const DataCentreId& dataCentre) const;

private:
    std::map<DataCentreId, RegionId> m_regions;
};

} // namespace lacewing::region
