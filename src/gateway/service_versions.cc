#include "gateway/service_versions.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// @return the version of most upstreams; empty without any.
SoftwareVersion mostCommon(const std::map<SoftwareVersion, size_t>& upstreams)
{
    const auto found = std::max_element(
        upstreams.begin(), upstreams.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return found == upstreams.end() ? SoftwareVersion() : found->first;
}

bool isGone(const VersionsInUse& inUse, const SoftwareVersion& version, Duration longestStream)
{
    const auto absence = inUse.absence.find(version);
    return inUse.upstreams.count(version) == 0 && absence != inUse.absence.end()
        && absence->second > longestStream;
}

} // namespace

std::optional<ServiceVersions> planVersions(const ServiceId& service, const ServiceVersions* known,
    const VersionsInUse& inUse, Duration longestStream)
{
    if (inUse.upstreams.empty())
        return std::nullopt;
    ServiceVersions planned;
    if (known)
        planned = *known;
    else
        planned = { service, mostCommon(inUse.upstreams), false, {}, VersionsRevision(0) };
    for (const auto& [version, count] : inUse.upstreams) {
        if (version != planned.base)
            planned.others.insert(version);
    }
    for (auto other = planned.others.begin(); other != planned.others.end();)
        other = isGone(inUse, *other, longestStream) ? planned.others.erase(other) : std::next(other);
    const bool isBaseGone = isGone(inUse, planned.base, longestStream);
    if (isBaseGone && planned.isBaseRetired && inUse.retiredFor > longestStream) {
        planned.base = mostCommon(inUse.upstreams);
        planned.others.erase(planned.base);
        planned.isBaseRetired = false;
    } else if (isBaseGone)
        planned.isBaseRetired = true;
    else if (inUse.upstreams.count(planned.base) > 0)
        planned.isBaseRetired = false;
    if (known && planned.base == known->base && planned.others == known->others
        && planned.isBaseRetired == known->isBaseRetired)
        return std::nullopt;
    planned.revision = VersionsRevision(planned.revision.value() + 1);
    return planned;
}

} // namespace lacewing::gateway
