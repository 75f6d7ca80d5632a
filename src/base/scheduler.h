#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>

namespace lacewing {

/// Identifies a pending timer. 0 is never a valid id.
using TimerId = uint64_t;

/// Interface to run callbacks at a later time on the single thread of an event loop.
class Scheduler : public Clock {
public:
    /// Runs a callback once.
    ///
    /// @param delay time from now; with zero the callback runs in the next iteration of the loop, never
    /// inside this call.
    /// @param callback the function to run.
    /// @return an id for cancel().
    virtual TimerId runAfter(Duration delay, std::function<void()> callback) = 0;

    /// Cancels a timer. Has no effect if the timer has run or was cancelled before.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace lacewing
