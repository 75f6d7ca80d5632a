#pragma once

#include "base/scheduler.h"
#include "coordination/load_permits.h"
#include "daemon/load_gate.h"

#include <deque>
#include <vector>

namespace lacewing {

/// Load gate on the fleet-wide permits. It asks for one permit at a time when a load is wanted, and gives it
/// back if no owner of this daemon uses it at once.
class PermitLoadGate : public LoadGate {
public:
    /// @param scheduler, wallet must outlive the gate.
    PermitLoadGate(Scheduler& scheduler, AllotmentClient& wallet);
    ~PermitLoadGate() override;

    bool isOpen() override;
    void take() override;
    void finished() override;
    void onAvailable(std::function<void()> callback) override { m_callbacks.push_back(std::move(callback)); }

private:
    struct InUse {
        LoadPermits::Permit permit;
        MonotonicTime since;
    };

    void seek();
    void acquired(std::optional<LoadPermits::Permit> permit, Duration retryAfter);
    void announce();
    void endOldest();

    Scheduler& m_scheduler;
    LoadPermits m_permits;
    std::optional<LoadPermits::Permit> m_ready;
    std::deque<InUse> m_inUse;
    std::vector<std::function<void()>> m_callbacks;
    bool m_isSeeking = false;
    TimerId m_timer = 0;
};

} // namespace lacewing
