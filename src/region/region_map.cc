#include "region/region_map.h"

namespace lacewing::region {

void RegionMap::complete(const DataCentreId& dataCentre, const RegionId& region)
{
    if (isEnabled() && !region.empty())
        m_regions.emplace(dataCentre, region);
}

std::optional<RegionId> RegionMap::find(const DataCentreId& dataCentre) const
{
    const auto found = m_regions.find(dataCentre);
    return found == m_regions.end() ? std::nullopt : std::make_optional(found->second);
}

bool RegionMap::permits(const HomeRegions& homes, const DataCentreId& dataCentre) const
{
    return !isEnabled() || !homes.isRestricted() || homes.permits(find(dataCentre));
}

} // namespace lacewing::region
