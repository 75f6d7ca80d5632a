#pragma once

#include "base/random.h"
#include "coordination/fleet_member.h"

#include <string>
#include <vector>

namespace lacewing {

/// One entry of the response to GET /v1/hosts.
struct RankedHost {
    HostId host;
    std::string address;
    DataCentreId dataCentre;
    /// Relative share of callers that should use the host.
    double weight = 0;
};

/// Ranks hosts for callers, so that many callers with the same view of the fleet spread over its hosts.
///
/// Hosts of the caller's data centre come first; within a data centre the order is random, weighted by load.
/// Leaving and unresponsive hosts are omitted.
class HostRanking {
public:
    /// How long callers may cache a response.
    static constexpr Duration lifetime = std::chrono::seconds(5);

    /// @param member must outlive the object.
    HostRanking(FleetMember& member, uint64_t seed)
        : m_member(member)
        , m_random(seed)
    {
    }

    /// @param caller data centre of the caller; empty if unknown.
    /// @return the available hosts, best first.
    std::vector<RankedHost> rank(const DataCentreId& caller);

private:
    FleetMember& m_member;
    Random m_random;
};

} // namespace lacewing
