#pragma once

#include "base/ids.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing {

/// A lease that some daemon of the fleet should hold.
struct LeaseName {
    /// For example `upstream/engine-3` or `allotment/17`. Leases with the same text before the first slash
    /// are spread among themselves.
    std::string name;
    /// Data centre in which the holder should be; empty for no preference.
    DataCentreId dataCentre;

    /// @return the text before the first slash.
    std::string kind() const { return name.substr(0, name.find('/')); }
};

/// A daemon that may hold leases.
struct LeaseHost {
    HostId host;
    DataCentreId dataCentre;
};

/// Decides which daemon should hold which lease.
class LeaseAssignment {
public:
    virtual ~LeaseAssignment() = default;

    /// The result depends on the arguments only, so that daemons that see the same fleet agree on it.
    ///
    /// @return the preferred holder of each lease; empty without hosts.
    virtual std::map<std::string, HostId> assign(
        const std::vector<LeaseName>& names, const std::vector<LeaseHost>& hosts) const = 0;
};

/// Rendezvous hashing with bounded loads: each lease goes to the host with the highest score that is not
/// full, first among the hosts of its data centre. A host is full with 1.25 times the mean of a kind.
class BoundedLoadAssignment : public LeaseAssignment {
public:
    std::map<std::string, HostId> assign(
        const std::vector<LeaseName>& names, const std::vector<LeaseHost>& hosts) const override;
};

} // namespace lacewing
