#pragma once

#include "base/ids.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing {

/// A lease that some daemon of the fleet should hold.
struct LeaseName {
    /// For example `upstream/engine-3` or `allotment/17`. Leases with the same text before the first slash
    /// are of one kind, and each kind is balanced over the hosts separately.
    std::string name;
    /// Preferred data centre of the holder; empty for no preference.
    DataCentreId dataCentre;

    /// @return the text before the first slash.
    std::string kind() const { return name.substr(0, name.find('/')); }
};

/// A daemon that is eligible to hold leases.
struct LeaseHost {
    HostId host;
    DataCentreId dataCentre;
};

/// Decides which daemon should hold which lease.
class LeaseAssignment {
public:
    virtual ~LeaseAssignment() = default;

    /// The result depends only on the arguments, so that daemons with the same view of the fleet agree on it.
    ///
    /// @return the preferred holder of each lease; empty if there are no hosts.
    virtual std::map<std::string, HostId> assign(
        const std::vector<LeaseName>& names, const std::vector<LeaseHost>& hosts) const = 0;
};

/// Rendezvous hashing with bounded loads, for leases that must stay balanced while hosts join and leave.
///
/// Each lease goes to the highest-scoring host below its capacity; hosts in the lease's data centre come
/// first. The capacity is 1.25 times the mean number of leases of a kind per host, rounded up.
class BoundedLoadAssignment : public LeaseAssignment {
public:
    std::map<std::string, HostId> assign(
        const std::vector<LeaseName>& names, const std::vector<LeaseHost>& hosts) const override;
};

} // namespace lacewing
