#pragma once

#include "coordination/quota_client.h"

namespace lacewing {

/// Permits for adapter loads, which limit the load rate and the loads in flight across the fleet.
///
/// Load pattern: many engines that load adapters at the same time. Permits are amounts of two reserved
/// workspaces, in thousandths of a load, so that a limit of a few loads can be divided among partitions. A
/// load that takes longer than slotTtl stops counting as in flight.
class LoadPermits {
public:
    /// Permission to start one load.
    struct Permit {
        Reservation slot;
        Reservation start;
    };
    /// @param permit std::nullopt if none was available before the deadline.
    /// @param retryAfter delay after which a permit may be available.
    using AcquireCallback = std::function<void(std::optional<Permit> permit, Duration retryAfter)>;

    /// @return the limits for holders and quota clients, by reserved workspace.
    static QuotaLimits limits(const LoadLimits& loadLimits);

    /// @param quotaClient must be configured with limits() and outlive this object.
    explicit LoadPermits(QuotaClient& quotaClient)
        : m_quotaClient(quotaClient)
    {
    }

    /// Requests a permit. The in-flight slot is occupied from the moment it is granted, so the load should
    /// start at once.
    void acquire(MonotonicTime deadline, AcquireCallback callback);

    /// Returns a permit after its load has ended, successfully or not.
    ///
    /// @param wasStarted false if the load was never ordered, in which case it does not count against the
    /// rate.
    void finish(const Permit& permit, bool wasStarted);

private:
    QuotaClient& m_quotaClient;
};

} // namespace lacewing
