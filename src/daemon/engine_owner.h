#pragma once

#include "coordination/adapter_residency.h"
#include "daemon/adapter_load_limiter.h"
#include "daemon/upstream_owner.h"
#include "protocol/engine_client.h"

namespace lacewing {

/// Owner of a model engine. Dispatches requests and decides which adapters the engine loads and evicts.
class EngineOwner : public UpstreamOwner {
public:
    /// @param address of the engine.
    /// @param fencingNumber of the upstream's lease.
    /// @param loadLimiter must outlive the owner.
    /// @param superseded called when the engine has seen a higher fencing number, so another host owns it;
    /// the lease must be released.
    EngineOwner(OwnerContext context, const UpstreamConfig& config, SocketAddress address,
        FencingNumber fencingNumber, LeaseCheck mayAct, AdapterLoadLimiter& loadLimiter,
        std::function<void()> superseded);
    ~EngineOwner() override;

    UpstreamReport report() const override;

protected:
    bool isReady(const AdapterKey& adapter, RequestClass requestClass) const override;
    bool acquire(const QueuedRequest& request) override;
    void release(const QueuedRequest& request) override;
    std::unique_ptr<UpstreamRun> makeRun(const RunRequest& request, UpstreamRun::Listener listener) override;
    Duration minimumWait(const AdapterKey& adapter) const override;
    bool isReachable() const override { return m_statusFailures < failuresUntilUnreachable; }
    void requestsChanged() override;

private:
    /// A single failed status call may be due to its connection rather than the engine.
    static constexpr int failuresUntilUnreachable = 2;

    void readStatus();
    void statusRead(const std::optional<EngineStatus>& status, MonotonicTime askedAt);
    void scheduleStatusRead(Duration delay);
    /// Sends all load and evict orders that are due.
    void sendOrders();
    void sendOrder(const AdapterOrder& order);
    void orderAnswered(const AdapterOrder& order, std::optional<EngineOrderError> error);

    SocketAddress m_address;
    FencingNumber m_fencingNumber;
    AdapterLoadLimiter& m_loadLimiter;
    std::function<void()> m_superseded;
    EngineClient m_engine;
    AdapterResidency m_residency;
    /// Whether the engine has reported its resident adapters. No order or request is sent before.
    bool m_hasStatus = false;
    /// Number of consecutive failed status calls.
    int m_statusFailures = 0;
    TimerId m_statusTimer = 0;
};

} // namespace lacewing
