#pragma once

#include "base/clock.h"

#include <algorithm>

namespace lacewing::speed {

/// Load pattern: an upstream is slowed while it answers, so a fixed time would repeat requests that are
/// answered late, and add load while all upstreams are slow.
///
/// @param usual time after which a request is tried at another upstream if the upstream is not slowed.
/// @param slowdown present slowdown of the upstream.
/// @param timeLeft time that the caller still waits.
/// @return the time after which the request is tried at another upstream; never shorter than usual, since an
///     untrue figure must not repeat requests early.
inline Duration attemptTime(Duration usual, double slowdown, Duration timeLeft)
{
    constexpr double maximumStretch = 2;
    const auto stretched
        = std::chrono::duration_cast<Duration>(std::clamp(slowdown, 1.0, maximumStretch) * usual);
    // The other upstream needs a share of the time as well.
    return std::max(usual, std::min(stretched, timeLeft / 2));
}

} // namespace lacewing::speed
