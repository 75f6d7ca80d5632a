#pragma once

#include "base/clock.h"
#include "gateway/serving_configuration.h"

#include <map>
#include <optional>
#include <set>

namespace lacewing::gateway {

/// Rises with each change of a service's versions.
using VersionsRevision = StrongNumber<struct VersionsRevisionTag>;

/// The software versions of a service that may have begun streams.
struct ServiceVersions {
    ServiceId service;
    /// The version that began the streams of which nothing else is known.
    SoftwareVersion base;
    /// Whether new streams of the base get records, too, so that it can be replaced.
    bool isBaseRetired = false;
    /// Versions whose streams have records of their own.
    std::set<SoftwareVersion> others;
    VersionsRevision revision;

    /// @return whether streams of the version may begin.
    bool includes(const SoftwareVersion& version) const
    {
        return version == base || others.count(version) > 0;
    }
    /// @return whether streams of the version begin without a record.
    bool beginsUnrecorded(const SoftwareVersion& version) const { return version == base && !isBaseRetired; }
};

/// What a host sees of the upstreams of a service.
struct VersionsInUse {
    /// Number of upstreams of each version, those that are leaving included.
    std::map<SoftwareVersion, size_t> upstreams;
    /// Time for which this host has seen no upstream of a version, by version.
    std::map<SoftwareVersion, Duration> absence;
    /// Time for which this host has known that the base is retired.
    Duration retiredFor {};
};

/// Decides how the versions of a service change, so that a stream without a record has one possible version.
///
/// Load pattern: half of a service is replaced by another version, and back again, while hosts, the store and
/// upstreams fail. A version is added before it begins a stream. The base version is retired once it has been
/// gone for longer than the longest stream, and replaced when as much time has passed again. So nobody can
/// take up a stream without a record that it began, also if a commit takes effect late, or a host that was
/// frozen makes it, while the version is back.
///
/// @param known versions, or null if the service has none yet.
/// @param longestStream longest time from the begin of a stream to the last try to take it up.
/// @return the versions that are to hold; nothing without a change.
std::optional<ServiceVersions> planVersions(const ServiceId& service, const ServiceVersions* known,
    const VersionsInUse& inUse, Duration longestStream);

} // namespace lacewing::gateway
