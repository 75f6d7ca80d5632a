#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>

namespace lacewing {

/// Identifies a pending timer. 0 is never used.
using TimerId = uint64_t;

/// Runs callbacks at a later time on the one thread of the event loop.
class Scheduler : public Clock {
public:
    /// Runs a callback once.
    ///
    /// @param delay time from now; zero runs it in the next round of the loop, never at once.
    /// @param callback what to run.
    /// @return an id for cancel().
    virtual TimerId runAfter(Duration delay, std::function<void()> callback) = 0;

    /// Cancels a timer. An id that has run or was cancelled before is ignored.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace lacewing
