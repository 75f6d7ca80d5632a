#include "region/home_regions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewing::region {

HomeRegions::HomeRegions(std::set<RegionId> regions)
{
    if (!regions.empty())
        m_regions = std::move(regions);
}

bool HomeRegions::permits(const std::optional<RegionId>& region) const
{
    return !m_regions || (region && m_regions->count(*region) > 0);
}

HomeRegions HomeRegions::intersect(const HomeRegions& other) const
{
    if (!m_regions)
        return other;
    if (!other.m_regions)
        return *this;
    HomeRegions both;
    both.m_regions.emplace();
    std::set_intersection(m_regions->begin(), m_regions->end(), other.m_regions->begin(),
        other.m_regions->end(), std::inserter(*both.m_regions, both.m_regions->end()));
    return both;
}

} // namespace lacewing::region
