#pragma once

#include "coordination/allotment_client.h"

namespace lacewing {

/// Permits for adapter loads, which keep the whole fleet within loads a second and loads in flight.
///
/// Permits are amounts of two reserved workspaces, in thousandths of a load, so that a limit of a few loads
/// can be split into partitions. A load that takes longer than slotTtl stops counting as in flight.
class LoadPermits {
public:
    /// Permission to start one load.
    struct Permit {
        Reservation slot;
        Reservation start;
    };
    /// @param permit std::nullopt if none could be had before the deadline.
    /// @param retryAfter when a permit may be available.
    using AcquireCallback = std::function<void(std::optional<Permit> permit, Duration retryAfter)>;

    /// @return the limits to give to holders and wallets, by reserved workspace.
    static AllotmentLimits limits(const LoadLimits& loadLimits);

    /// @param wallet has the limits; must outlive this object.
    explicit LoadPermits(AllotmentClient& wallet)
        : m_wallet(wallet)
    {
    }

    /// Asks for a permit. The slot counts from now, so start the load at once.
    void acquire(MonotonicTime deadline, AcquireCallback callback);

    /// Ends a permit when its load has ended in any way.
    ///
    /// @param wasStarted false if the load was never ordered; it then does not count for the rate either.
    void finish(const Permit& permit, bool wasStarted);

private:
    AllotmentClient& m_wallet;
};

} // namespace lacewing
