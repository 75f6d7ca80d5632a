#pragma once

#include "base/scheduler.h"
#include "coordination/lease_row.h"
#include "coordination/upstream_health.h"
#include "coordination/upstream_selector.h"
#include "daemon/admitted_request.h"
#include "state/peer_messages.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lacewing {

/// The upstream chosen for a request, and the host that owns it.
struct RoutedTarget {
    UpstreamId upstream;
    HostId owner;
};

/// Result of a request for the upstream's health tracking.
enum class RunResult {
    Succeeded,
    Failed,
    /// No information about the upstream's health, for example because the caller disconnected.
    Neutral,
};

/// Chooses an upstream for each request of this entry, and tracks the load, health and owner of all
/// upstreams. Completions are placed by adapter, so that requests for one adapter share few engines and
/// popular adapters spread when their load grows. Calls to plain services go to the less loaded of two random
/// upstreams, so that all entries don't send to the same one while their load reports lag.
class UpstreamRouter {
public:
    /// Returns the row of an upstream's lease in the table, or nothing.
    using LeaseLookup = std::function<std::optional<LeaseRow>(const UpstreamId& upstream)>;

    /// @param clock must outlive the router.
    /// @param dataCentre this daemon's data centre.
    UpstreamRouter(const Clock& clock, DataCentreId dataCentre, LeaseLookup leases, uint64_t seed);

    void setConfiguration(const Configuration& configuration);
    /// Applies an owner's reports. Upstreams that the owner no longer reports lose it as their owner.
    void reported(const HostId& owner, const UpstreamReports& reports);
    /// Removes a host as owner of its upstreams until it reports again, because its connection is lost.
    void ownerLost(const HostId& owner);

    /// @return the state of all upstreams, with owners and health weights updated.
    const std::vector<UpstreamView>& views();
    /// @return the fencing number that the upstream's owner has reported, or 0.
    FencingNumber fencingNumber(const UpstreamId& upstream) const;

    /// Chooses an upstream.
    ///
    /// @param excluded upstreams that were already tried.
    /// @return nothing if no upstream can be chosen now.
    std::optional<RoutedTarget> choose(const AdmittedRequest& request, const std::set<UpstreamId>& excluded);
    void started(const RoutedTarget& target, const AdmittedRequest& request);
    void finished(const RoutedTarget& target, const AdmittedRequest& request, RunResult result);

private:
    struct Owner {
        HostId host;
        FencingNumber fencingNumber;
    };

    std::string groupOf(const UpstreamConfig& config) const;
    UpstreamHealth& health(const std::string& group);
    UpstreamSelector& selectorFor(const AdmittedRequest& request);
    void refresh(UpstreamView& view);
    void rebuildHealth();

    const Clock& m_clock;
    DataCentreId m_dataCentre;
    LeaseLookup m_leases;
    std::unique_ptr<UpstreamSelector> m_engineSelector;
    std::unique_ptr<UpstreamSelector> m_serviceSelector;
    std::vector<UpstreamView> m_views;
    std::map<UpstreamId, std::string> m_groups;
    std::map<UpstreamId, Owner> m_owners;
    std::map<std::string, UpstreamHealth> m_health;
    std::set<HostId> m_lostHosts;
};

} // namespace lacewing
