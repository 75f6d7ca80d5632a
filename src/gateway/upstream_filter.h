#pragma once

#include "gateway/version_filter.h"
#include "region/home_regions.h"

#include <utility>

namespace lacewing::gateway {

/// The upstreams that may get a request, by software version and region.
class UpstreamFilter {
public:
    /// Accepts every upstream.
    UpstreamFilter() = default;
    UpstreamFilter(VersionFilter versions, region::HomeRegions homes = region::HomeRegions())
        : m_versions(std::move(versions))
        , m_homes(std::move(homes))
    {
    }

    const VersionFilter& versions() const { return m_versions; }
    const region::HomeRegions& homes() const { return m_homes; }

private:
    VersionFilter m_versions;
    region::HomeRegions m_homes;
};

} // namespace lacewing::gateway
