#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace lacewing::speed {

/// Bounds of the factor by which what an upstream reports may change a cost, so that no report excludes an
/// upstream or makes it win every comparison.
constexpr double minimumSlowdown = 0.5;
constexpr double maximumSlowdown = 5;

/// The present slowdown fades towards the mean, so it governs short work and the mean governs long work.
///
/// @return the time for work that takes `usual` at the mean slowdown.
/// @param relative present slowdown in multiples of the mean.
Duration slowedTime(Duration usual, double relative);

/// @return a slowdown in multiples of the mean after it has aged, closer to 1.
double faded(double relative, Duration age);

/// Estimates how much slower than usual one upstream is, now and on average, from the figures that it
/// reports.
///
/// Load pattern: upstreams share their machines with other workloads, and are slowed severalfold for a
/// fraction of a second. A figure is therefore outdated soon, and an older one counts as the mean.
///
/// Figures may be untrue. They are bounded, and their weight decreases if the measured durations of runs do
/// not follow them, or if the figure never changes although real ones change many times a second.
///
/// Has no clock and does no I/O.
class SlowdownEstimate {
public:
    /// @param slowdown 1 for as usual; values outside the bounds count as the nearest bound.
    void reported(double slowdown, MonotonicTime now);
    /// Compares the last figure with a measured run.
    ///
    /// @param timePerWork measured time, above 0, in any unit that is comparable over the upstream's runs.
    void runMeasured(double timePerWork, MonotonicTime now);
    /// Starts from what another host has learned. Does nothing once a figure has been reported here.
    void seed(double mean, MonotonicTime now);

    /// @return whether the upstream has reported a figure recently.
    bool isStated(MonotonicTime now) const;
    /// @return the present slowdown; 1 if no figure is stated.
    double current(MonotonicTime now) const;
    /// @return the mean slowdown; 1 if no figure is stated.
    double mean(MonotonicTime now) const;
    /// @return current() in multiples of mean().
    double relative(MonotonicTime now) const { return current(now) / mean(now); }
    /// @return the time that work takes from now on which takes `usual` without a slowdown.
    Duration timeFor(Duration usual, MonotonicTime now) const;
    /// @return the weight of the figures, from 0 for ignored to 1.
    double weight(MonotonicTime now) const;

private:
    std::optional<MonotonicTime> m_lastReport;
    double m_last = 1;
    double m_mean = 1;
    /// Since when, and for how many reports, the figure has been the same.
    MonotonicTime m_unchangedSince;
    int m_unchangedReports = 0;
    /// Moving averages of the logarithms of figures and run times, and their moments.
    double m_figureMean = 0;
    double m_timeMean = 0;
    double m_figureVariance = 0;
    double m_covariance = 0;
    int64_t m_runs = 0;
};

} // namespace lacewing::speed
