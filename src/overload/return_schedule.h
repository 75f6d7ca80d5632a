#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace lacewing::overload {

/// Decides when refused callers of one engine should return, and records what they were told.
///
/// Load pattern: many callers are refused within a second. If all of them are told the same time, most are
/// refused again when they return together.
///
/// Has no clock and does no I/O.
class ReturnSchedule {
public:
    /// A refused request.
    struct Refused {
        /// Identifies the request when its caller returns.
        uint64_t fingerprint = 0;
        int priority = 0;
        Tokens prompt;
        /// Longest time after which the caller returns.
        Duration returnsWithin {};
    };

    struct ReturnTime {
        Duration after {};
        /// The schedule has recorded the return.
        bool isPromised = false;
    };

    /// @param workAhead tokens that the engine reads before the caller's prompt if no one else returns.
    /// @return the first time by which that work and the promises before it have been worked off.
    Duration firstReturn(
        int priority, Tokens prompt, Tokens workAhead, double tokensPerMillisecond, MonotonicTime now) const;
    /// Like firstReturn(), and records the return unless the caller would not wait that long.
    ReturnTime promise(
        const Refused& refused, Tokens workAhead, double tokensPerMillisecond, MonotonicTime now);
    /// Removes the promise that a request fulfils.
    ///
    /// @return whether there is one.
    bool returned(uint64_t fingerprint, MonotonicTime now);
    /// @return the tokens held back until `until` from a newcomer of a priority.
    Tokens heldFrom(int priority, MonotonicTime now, MonotonicTime until) const;

    /// Number of promises that have not lapsed.
    size_t promises(MonotonicTime now) const;

private:
    struct Promise {
        MonotonicTime at;
        Tokens prompt;
        int priority = 0;
        uint64_t fingerprint = 0;
    };

    static bool hasLapsed(const Promise& promise, MonotonicTime now);

    /// In the order of their times.
    std::vector<Promise> m_promises;
};

} // namespace lacewing::overload
