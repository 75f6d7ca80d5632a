#pragma once

#include <functional>

namespace lacewing {

/// Permission of the fleet to load adapters. Loads of the whole fleet share one rate and one bound in flight.
class LoadGate {
public:
    virtual ~LoadGate() = default;

    /// @return whether take() would succeed now. If not, permission is sought, and onAvailable() is told.
    virtual bool isOpen() = 0;
    /// Uses the permission for one load that starts now. Call only while isOpen().
    virtual void take() = 0;
    /// Ends a load that take() was called for.
    virtual void finished() = 0;
    /// Calls back each time permission may have become available.
    virtual void onAvailable(std::function<void()> callback) = 0;
};

} // namespace lacewing
