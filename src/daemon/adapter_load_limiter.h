#pragma once

#include <functional>

namespace lacewing {

/// Limits adapter loads across the fleet. All loads of the fleet share one rate limit and one concurrency
/// limit, also when many engines want adapters at the same time.
class AdapterLoadLimiter {
public:
    virtual ~AdapterLoadLimiter() = default;

    /// @return whether a load may start now. If not, a permit is requested, and the callbacks of
    /// onPermitAvailable() are called when one may be available.
    virtual bool isPermitAvailable() = 0;
    /// Uses the available permit for a load that starts now. Requires isPermitAvailable().
    virtual void usePermit() = 0;
    /// Returns the permit of a load that has ended.
    virtual void finished() = 0;
    /// Adds a callback that is called each time a permit may have become available.
    virtual void onPermitAvailable(std::function<void()> callback) = 0;
};

} // namespace lacewing
