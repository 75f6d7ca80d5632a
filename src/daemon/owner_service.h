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
    /// What the service needs of the leases.
    struct LeaseCallbacks {
        /// @return whether the lease allows to act now and for at least the margin.
        std::function<bool(const UpstreamId& upstream, Duration margin)> mayAct;
        /// Gives a lease up.
        std::function<void(const UpstreamId& upstream)> release;
    };

    /// @param gate must outlive the service.
    OwnerService(OwnerContext context, AdapterLoadLimiter& loadLimiter, LeaseCallbacks leases);

    void setConfiguration(const Configuration& configuration);
    void leaseAcquired(const UpstreamId& upstream, FencingNumber fencingNumber);
    void leaseLost(const UpstreamId& upstream);
    /// Finishes what runs on the upstream, then gives the lease up.
    void handOver(const UpstreamId& upstream);

    void received(const HostId& entry, const RunRequest& request);
    void received(const HostId& entry, const RunCancel& cancel);
    void received(const HostId& entry, const RunWindow& window);
    void entryLost(const HostId& entry);

    /// @return what entries are told about all upstreams that this daemon owns and that take requests.
    UpstreamReports reports() const;
    /// @return requests that run or wait at this owner.
    size_t requestCount() const;

private:
    struct OwnedUpstream {
        FencingNumber fencingNumber;
        std::unique_ptr<UpstreamOwner> owner;
        bool isHandingOver = false;
    };

    void create(const UpstreamId& upstream, OwnedUpstream& owned);
    UpstreamOwner* find(const UpstreamId& upstream);
    /// Destroys an owner in the next round of the loop, since it may be in the middle of a call.
    void destroyLater(std::unique_ptr<UpstreamOwner> owner);

    OwnerContext m_context;
    AdapterLoadLimiter& m_loadLimiter;
    LeaseCallbacks m_leases;
    std::map<UpstreamId, UpstreamConfig> m_configs;
    std::map<UpstreamId, OwnedUpstream> m_owned;
};

} // namespace lacewing
