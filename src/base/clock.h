#pragma once

#include <chrono>

namespace lacewing {

using Duration = std::chrono::nanoseconds;

/// Clock type of MonotonicTime. Time points of different processes must not be compared.
struct MonotonicTimeline {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTimeline, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard.
};

/// A point in time on this process's monotonic clock.
using MonotonicTime = MonotonicTimeline::time_point;

/// Interface to a source of monotonic time.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return the current monotonic time. It advances while the process is stopped.
    virtual MonotonicTime now() const = 0;
};

/// @return the duration in whole milliseconds, rounded down.
constexpr int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// @return the duration in seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace lacewing
