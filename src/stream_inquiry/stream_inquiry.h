#pragma once

#include "base/ids.h"

#include <cstddef>
#include <optional>
#include <set>

namespace lacewing::stream_inquiry {

/// What one host knows of a stream.
struct StreamKnowledge {
    /// Version whose first event the host has passed on to the caller; nothing if it hasn't begun the stream.
    std::optional<SoftwareVersion> begunBy;
    /// The only version of the service; nothing if the host knows several or none.
    std::optional<SoftwareVersion> onlyVersion;
};

/// The other live hosts of the fleet, by whether they can be asked.
struct FleetReach {
    std::set<HostId> connected;
    /// Number of hosts that refuse connections, since their processes have ended.
    size_t ended = 0;
    /// Number of hosts that can't be reached, and may serve callers all the same.
    size_t unreachable = 0;
};

/// The version that has begun a stream.
struct StreamBegin {
    SoftwareVersion version;
    /// A host remembers the stream. Otherwise no other version can have begun it.
    bool isRemembered = false;
};

/// Decides from the answers of the other hosts which version has begun a stream, while the store can't tell.
///
/// Load pattern: a host is cut off while upstreams of another version join, and callers take streams up at it
/// that have begun elsewhere. What it knows of versions may be out of date without any sign. It relies on
/// that knowledge only if all hosts that may serve callers share it, and if it reaches most of the fleet: a
/// host that was stopped finds its links closed, as if the others had ended.
class StreamInquiry {
public:
    StreamInquiry(StreamKnowledge own, FleetReach fleet);

    /// Ignores hosts that were not asked, and further answers of a host.
    void answered(const HostId& host, const StreamKnowledge& knowledge);
    /// @return whether no further answer can change the result.
    bool isComplete() const { return m_begunBy || m_unanswered.empty(); }
    /// @return nothing if the answers so far don't tell the version.
    std::optional<StreamBegin> result() const;

private:
    bool reachesMostOfFleet() const;

    std::set<HostId> m_unanswered;
    size_t m_answered = 0;
    size_t m_ended;
    size_t m_unreachable;
    std::optional<SoftwareVersion> m_begunBy;
    /// Nothing if the hosts that have answered don't agree.
    std::optional<SoftwareVersion> m_onlyVersion;
};

} // namespace lacewing::stream_inquiry
