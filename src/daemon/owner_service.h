#pragma once

#include "daemon/adapter_load_limiter.h"
#include "daemon/upstream_owner.h"

#include <map>
#include <memory>
#include <string>

namespace lacewing {

/// Owner role of a daemon: one UpstreamOwner for each upstream whose lease the daemon holds.
class OwnerService {
public:
    /// Access to the leases of upstreams.
    struct LeaseCallbacks {
        /// Returns whether the lease is valid now and for at least the margin.
        std::function<bool(const UpstreamId& upstream, Duration margin)> mayAct;
        /// Releases a lease.
        std::function<void(const UpstreamId& upstream)> release;
    };

    /// @param loadLimiter must outlive the service.
    OwnerService(OwnerContext context, AdapterLoadLimiter& loadLimiter, LeaseCallbacks leases);

    void setConfiguration(const Configuration& configuration);
    void leaseAcquired(const UpstreamId& upstream, FencingNumber fencingNumber);
    void leaseLost(const UpstreamId& upstream);
    /// Drains the upstream's running requests, then releases its lease.
    void handOver(const UpstreamId& upstream);

    void received(const HostId& entry, const RunRequest& request);
    void received(const HostId& entry, const RunCancel& cancel);
    void received(const HostId& entry, const RunWindow& window);
    void entryLost(const HostId& entry);

    /// @return the reports for entries on all owned upstreams that are not being handed over.
    UpstreamReports reports() const;
    /// @return the number of running and queued requests of all owned upstreams.
    size_t requestCount() const;

private:
    struct OwnedUpstream {
        FencingNumber fencingNumber;
        std::unique_ptr<UpstreamOwner> owner;
        bool isHandingOver = false;
    };

    void create(const UpstreamId& upstream, OwnedUpstream& owned);
    UpstreamOwner* find(const UpstreamId& upstream);
    /// Destroys an owner in the next iteration of the event loop, because one of its methods may still be
    /// running.
    void destroyLater(std::unique_ptr<UpstreamOwner> owner);

    OwnerContext m_context;
    AdapterLoadLimiter& m_loadLimiter;
    LeaseCallbacks m_leases;
    std::map<UpstreamId, UpstreamConfig> m_configs;
    std::map<UpstreamId, OwnedUpstream> m_owned;
};

} // namespace lacewing
