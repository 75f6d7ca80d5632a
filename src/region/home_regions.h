#pragma once

#include "base/ids.h"

#include <optional>
#include <set>

namespace lacewing::region {

/// The regions to which requests of a route or a workspace are restricted.
class HomeRegions {
public:
    /// Permits every region.
    HomeRegions() = default;
    /// @param regions an empty set permits every region.
    explicit HomeRegions(std::set<RegionId> regions);

    bool isRestricted() const { return m_regions.has_value(); }
    /// @return the regions of a restriction; empty without one.
    std::set<RegionId> regions() const { return m_regions.value_or(std::set<RegionId>()); }
    /// @param region nothing if it is unknown, which no restriction permits.
    bool permits(const std::optional<RegionId>& region) const;
    /// @return the regions that both permit, which may be none.
    HomeRegions intersect(const HomeRegions& other) const;

private:
    /// Nothing permits every region; an empty set permits none.
    std::optional<std::set<RegionId>> m_regions;
};

} // namespace lacewing::region
