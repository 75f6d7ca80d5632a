#include "experiment/worth_bound.h"

#include <algorithm>

namespace lacewing::experiment {

namespace {

constexpr size_t longestWindowSeconds = 5;

struct Job {
    /// Worth beyond that of a late answer.
    double gain = 0;
    double engineSeconds = 0;
};

/// @return the most gain that fits into the time, with jobs taken in fractions.
double mostGain(std::vector<Job> jobs, double engineSeconds)
{
    std::sort(jobs.begin(), jobs.end(),
        [](const Job& a, const Job& b) { return a.gain * b.engineSeconds > b.gain * a.engineSeconds; });
    double gain = 0;
    for (const Job& job : jobs) {
        const double part = std::min(1.0, engineSeconds / job.engineSeconds);
        gain += part * job.gain;
        engineSeconds -= part * job.engineSeconds;
        if (engineSeconds <= 0)
            break;
    }
    return gain;
}

} // namespace

double offlineWorthBound(
    const FleetShape& shape, const std::vector<Arrival>& arrivals, const std::vector<double>& engineSeconds)
{
    std::vector<std::vector<Job>> bySecond(engineSeconds.size());
    double owed = 0;
    double late = 0;
    Duration longestTarget {};
    for (const RequestClass& requestClass : shape.classes)
        longestTarget = std::max(longestTarget, requestClass.targetLatency);
    for (const Arrival& arrival : arrivals) {
        const RequestClass& requestClass = shape.classes[arrival.requestClass];
        const double reading
            = static_cast<double>(arrival.prompt.value()) / shape.promptTokensPerMillisecond / 1000;
        owed += requestClass.worth;
        late += requestClass.lateWorth;
        bySecond[static_cast<size_t>(toSeconds(arrival.at))].push_back(
            { requestClass.worth - requestClass.lateWorth, reading });
    }
    double best = owed - late;
    for (size_t length = 1; length <= longestWindowSeconds; ++length) {
        double gain = 0;
        for (size_t begin = 0; begin < bySecond.size(); begin += length) {
            std::vector<Job> jobs;
            double available = 0;
            const size_t end = std::min(begin + length, bySecond.size());
            for (size_t second = begin; second < end; ++second) {
                jobs.insert(jobs.end(), bySecond[second].begin(), bySecond[second].end());
                available += engineSeconds[second];
            }
            available += toSeconds(longestTarget) * engineSeconds[std::min(end, bySecond.size() - 1)];
            gain += mostGain(std::move(jobs), available);
        }
        best = std::min(best, gain);
    }
    return owed > 0 ? (late + best) / owed : 1;
}

std::vector<double> enginesUp(const FleetShape& shape, LoadPattern pattern)
{
    std::vector<double> up(static_cast<size_t>(toSeconds(loadLength)), shape.engines);
    if (pattern == LoadPattern::UnevenEngines) {
        double speed = 0;
        for (int engine = 0; engine < shape.engines; ++engine)
            speed += unevenSpeeds[static_cast<size_t>(engine) % std::size(unevenSpeeds)];
        const double inStretches = stretchShare / stretchSlowdown;
        std::fill(up.begin(), up.end(), speed * (1 - stretchShare + inStretches));
    }
    if (pattern != LoadPattern::EngineCrashes && pattern != LoadPattern::Contention)
        return up;
    const int crashed = (shape.engines + failingPart - 1) / failingPart;
    const auto first = static_cast<size_t>(toSeconds(patternStart));
    const auto last = static_cast<size_t>(toSeconds(patternStart + engineOutage));
    for (size_t second = first; second < std::min(up.size(), last); ++second)
        up[second] -= crashed;
    return up;
}

} // namespace lacewing::experiment
