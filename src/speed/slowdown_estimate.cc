#include "speed/slowdown_estimate.h"

#include <algorithm>
#include <cmath>

namespace lacewing::speed {

namespace {

/// Time after which half of a figure's deviation from the mean has faded. Shorter than a typical slowdown, so
/// that an old figure doesn't outlast it.
constexpr double halfLifeSeconds = 0.4;
const double fadeSeconds = halfLifeSeconds / std::log(2.0);
/// Time constant of the mean; several stretches must pass until it is known.
constexpr double meanSeconds = 10;
/// Time for which one figure counts in the mean at most, since the state in a longer gap is unknown.
constexpr double longestReportSeconds = 0.5;
/// An upstream without a figure for so long counts as one that states none.
constexpr Duration statementValidity = std::chrono::seconds(30);
/// Real figures change many times a second, so one that is the same for so long is no measurement.
constexpr Duration constantTime = std::chrono::seconds(5);
constexpr int constantReports = 8;
constexpr double weightOfConstant = 0.2;
/// Time within which the weight decreases to that; an owner learns the engine's rate anew meanwhile.
constexpr double distrustSeconds = 15;
/// Weight of the newest run in the comparison of figures with measured times.
constexpr double runWeight = 0.03;
/// Variance of the figures' logarithm that counts as agreement before any run is known, so that few runs
/// can't refute the figures.
constexpr double priorVariance = 0.1;
/// Runs before the comparison counts.
constexpr int64_t minimumRuns = 10;
/// Changes below this are rounding.
constexpr double sameFigure = 1e-9;

} // namespace

Duration slowedTime(Duration usual, double relative)
{
    const double seconds = toSeconds(usual);
    const double extra = (relative - 1) * fadeSeconds * -std::expm1(-seconds / fadeSeconds);
    return usual + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(extra));
}

double faded(double relative, Duration age)
{
    return 1 + (relative - 1) * std::exp2(-toSeconds(age) / halfLifeSeconds);
}

void SlowdownEstimate::reported(double slowdown, MonotonicTime now)
{
    const double bounded = std::clamp(slowdown, minimumSlowdown, maximumSlowdown);
    const bool isSame = m_lastReport && std::abs(bounded - m_last) < sameFigure;
    if (!isSame) {
        m_unchangedSince = now;
        m_unchangedReports = 0;
    }
    ++m_unchangedReports;
    const double gap = m_lastReport ? toSeconds(now - *m_lastReport) : longestReportSeconds;
    const double counted = std::clamp(gap, 0.0, longestReportSeconds);
    m_mean += -std::expm1(-counted / meanSeconds) * (bounded - m_mean);
    m_last = bounded;
    m_lastReport = now;
}

void SlowdownEstimate::runMeasured(double timePerWork, MonotonicTime now)
{
    if (!isStated(now) || !(timePerWork > 0) || !std::isfinite(timePerWork))
        return;
    const double figure = std::log(m_last);
    const double time = std::log(timePerWork);
    if (m_runs++ == 0) {
        m_figureMean = figure;
        m_timeMean = time;
        return;
    }
    const double weight = std::max(runWeight, 1 / static_cast<double>(m_runs));
    const double figureError = figure - m_figureMean;
    const double timeError = time - m_timeMean;
    m_figureMean += weight * figureError;
    m_timeMean += weight * timeError;
    m_figureVariance = (1 - weight) * (m_figureVariance + weight * figureError * figureError);
    m_covariance = (1 - weight) * (m_covariance + weight * figureError * timeError);
}

void SlowdownEstimate::seed(double mean, MonotonicTime now)
{
    if (m_lastReport)
        return;
    m_mean = std::clamp(mean, minimumSlowdown, maximumSlowdown);
    m_last = m_mean;
    m_lastReport = now;
    m_unchangedSince = now;
}

bool SlowdownEstimate::isStated(MonotonicTime now) const
{
    return m_lastReport && now - *m_lastReport < statementValidity;
}

double SlowdownEstimate::weight(MonotonicTime now) const
{
    double weight = 1;
    if (m_unchangedReports >= constantReports && now - m_unchangedSince >= constantTime) {
        const double distrust = toSeconds(now - m_unchangedSince - constantTime) / distrustSeconds;
        weight = 1 - (1 - weightOfConstant) * std::min(1.0, distrust);
    }
    if (m_runs < minimumRuns)
        return weight;
    const double agreement = (priorVariance + m_covariance) / (priorVariance + m_figureVariance);
    return weight * std::clamp(agreement, 0.0, 1.0);
}

double SlowdownEstimate::mean(MonotonicTime now) const
{
    return isStated(now) ? std::pow(m_mean, weight(now)) : 1;
}

double SlowdownEstimate::current(MonotonicTime now) const
{
    if (!isStated(now))
        return 1;
    const double mean = this->mean(now);
    const double last = std::pow(m_last, weight(now));
    return mean * faded(last / mean, now - *m_lastReport);
}

Duration SlowdownEstimate::timeFor(Duration usual, MonotonicTime now) const
{
    if (!isStated(now))
        return usual;
    const auto atMean = std::chrono::duration_cast<Duration>(mean(now) * usual);
    return slowedTime(atMean, relative(now));
}

} // namespace lacewing::speed
