#pragma once

#include "daemon/upstream_owner.h"

namespace lacewing {

/// Owner of a plain HTTP service, which needs no adapters.
class ServiceOwner : public UpstreamOwner {
public:
    /// @param address of the service.
    ServiceOwner(
        OwnerContext context, const UpstreamConfig& config, SocketAddress address, LeaseCheck mayAct);

protected:
    bool isReady(const AdapterKey&, RequestClass) const override { return true; }
    bool acquire(const QueuedRequest&) override { return true; }
    void release(const QueuedRequest&) override { }
    std::unique_ptr<UpstreamRun> makeRun(const RunRequest& request, UpstreamRun::Listener listener) override;
    Duration minimumWait(const AdapterKey&) const override { return Duration::zero(); }

private:
    SocketAddress m_address;
};

} // namespace lacewing
