#pragma once

#include <functional>

namespace lacewing {

/// Permission of the fleet to load adapters. Loads of the whole fleet share one rate and one bound in flight.
class AdapterLoadLimiter {
public:
    virtual ~AdapterLoadLimiter() = default;

    /// @return whether take() would succeed now. If not, permission is sought, and onPermitAvailable() is
    /// told.
    virtual bool isPermitAvailable() = 0;
    /// Uses the permission for one load that starts now. Call only while isPermitAvailable().
    virtual void usePermit() = 0;
    /// Ends a load that take() was called for.
    virtual void finished() = 0;
    /// Calls back each time permission may have become available.
    virtual void onPermitAvailable(std::function<void()> callback) = 0;
};

} // namespace lacewing
