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

/// Where an entry sends a request.
struct RoutedTarget {
    UpstreamId upstream;
    HostId owner;
};

/// How a request on an upstream ended, as far as the upstream's health is concerned.
enum class RunResult {
    Succeeded,
    Failed,
    /// Says nothing about the upstream, for example because the caller left.
    Neutral,
};

/// Knows the upstreams and their owners, and chooses one for each request of this entry.
class UpstreamRouter {
public:
    /// Tells who holds an upstream's lease according to the table, or nothing.
    using LeaseLookup = std::function<std::optional<LeaseRow>(const UpstreamId& upstream)>;

    /// @param clock must outlive the router.
    /// @param dataCentre of this daemon.
    UpstreamRouter(const Clock& clock, DataCentreId dataCentre, LeaseLookup leases, uint64_t seed);

    void setConfiguration(const Configuration& configuration);
    /// Takes in what an owner says about its upstreams.
    void reported(const HostId& owner, const UpstreamReports& reports);
    /// Forgets what a host said, because it can't be reached.
    void ownerLost(const HostId& owner);

    /// @return what is known of all upstreams, brought up to date.
    const std::vector<UpstreamView>& views();
    /// @return the fencing number of an upstream's owner as reported, or 0.
    FencingNumber fencingNumber(const UpstreamId& upstream) const;

    /// @param excluded upstreams that were tried already.
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
