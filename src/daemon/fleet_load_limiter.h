#pragma once

#include "base/scheduler.h"
#include "coordination/load_permits.h"
#include "daemon/adapter_load_limiter.h"

#include <deque>
#include <vector>

namespace lacewing {

/// Load limiter that draws on the fleet-wide load permits. It requests one permit at a time when a load is
/// wanted, and returns it if no upstream owner of this daemon uses it at once.
class FleetLoadLimiter : public AdapterLoadLimiter {
public:
    /// @param scheduler, quotaClient must outlive the limiter.
    FleetLoadLimiter(Scheduler& scheduler, QuotaClient& quotaClient);
    ~FleetLoadLimiter() override;

    bool isPermitAvailable() override;
    void usePermit() override;
    void finished() override;
    void onPermitAvailable(std::function<void()> callback) override
    {
        m_callbacks.push_back(std::move(callback));
    }

private:
    struct PermitInUse {
        LoadPermits::Permit permit;
        MonotonicTime since;
    };

    void requestPermit();
    void permitRequestEnded(std::optional<LoadPermits::Permit> permit, Duration retryAfter);
    void notifyCallbacks();
    void finishOldestLoad();

    Scheduler& m_scheduler;
    LoadPermits m_permits;
    std::optional<LoadPermits::Permit> m_availablePermit;
    std::deque<PermitInUse> m_permitsInUse;
    std::vector<std::function<void()>> m_callbacks;
    bool m_isRequestPending = false;
    TimerId m_timer = 0;
};

} // namespace lacewing
