#include "region/host_directory.h"

#include <algorithm>
#include <numeric>

namespace lacewing::region {

std::vector<size_t> HostDirectory::select(const std::vector<DataCentreId>& hosts,
    const std::set<RegionId>& homes, const CallerLocation& caller) const
{
    std::vector<size_t> selected(hosts.size());
    std::iota(selected.begin(), selected.end(), size_t { 0 });
    if (homes.empty() || !m_regions.isEnabled())
        return selected;
    const auto callerRegion
        = caller.region || !caller.dataCentre ? caller.region : m_regions.find(*caller.dataCentre);
    const auto isNear = [&](size_t host) {
        const auto region = m_regions.find(hosts[host]);
        return region && (homes.count(*region) > 0 || region == callerRegion);
    };
    const auto end = std::stable_partition(selected.begin(), selected.end(), isNear);
    if (end != selected.begin())
        selected.erase(end, selected.end());
    const auto distance = [&](size_t host) {
        if (hosts[host] == caller.dataCentre)
            return 0;
        return callerRegion && m_regions.find(hosts[host]) == callerRegion ? 1 : 2;
    };
    std::stable_sort(selected.begin(), selected.end(),
        [&distance](size_t a, size_t b) { return distance(a) < distance(b); });
    selected.resize(std::min(selected.size(), maximumHosts));
    return selected;
}

} // namespace lacewing::region
