#include "gateway/upstream_picker.h"

#include <algorithm>
#include <cmath>

namespace lacewing::gateway {

namespace {

/// Weight of the newest outcome in the moving averages.
constexpr double outcomeSmoothing = 0.2;
/// Half-life of the moving averages while there are no new outcomes.
constexpr double failureHalfLifeSeconds = 2.5;
/// Cost of a failure rate of 1, in multiples of a fully loaded upstream.
constexpr double failurePenalty = 3;
/// Cost of leaving the caller's data centre, in slots.
constexpr double remoteDataCentrePenalty = 0.5;
constexpr Duration loadValidity = std::chrono::milliseconds(300);
constexpr double suspectThreshold = 0.45;
/// Connections are not reused this close to the end of the upstream's keep-alive time, since the upstream
/// could close them while a request is on its way.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(700);
constexpr Duration shortestIdleAge = std::chrono::milliseconds(300);

double withDecay(double share, Duration age)
{
    return share * std::exp2(-toSeconds(age) / failureHalfLifeSeconds);
}

} // namespace

UpstreamPicker::SpeedBasis UpstreamPicker::speedBasis(
    const std::vector<const PickCandidate*>& candidates, MonotonicTime now) const
{
    SpeedBasis basis;
    int known = 0;
    for (const PickCandidate* candidate : candidates) {
        basis.isStated = basis.isStated || m_speeds.isStated(candidate->upstream, now);
        if (const auto usual = m_speeds.usualTime(candidate->upstream)) {
            basis.usualTime += *usual;
            ++known;
        }
    }
    basis.usualTime /= std::max(1, known);
    return basis;
}

double UpstreamPicker::timeFactor(
    const UpstreamId& upstream, const SpeedBasis& basis, MonotonicTime now) const
{
    const double usual = m_speeds.usualTime(upstream).value_or(basis.usualTime);
    const double factor = m_speeds.slowdown(upstream, now) * std::exp(usual - basis.usualTime);
    return std::clamp(factor, speed::minimumSlowdown, speed::maximumSlowdown);
}

double UpstreamPicker::cost(const PickCandidate& candidate, const SpeedBasis& basis, MonotonicTime now) const
{
    const double slots = std::max(1, candidate.slots);
    const auto found = m_records.find(candidate.upstream);
    double cost = candidate.isInCallersDataCentre ? 0 : remoteDataCentrePenalty / slots;
    if (found == m_records.end())
        return basis.isStated ? cost + 1 / slots : cost;
    const Record& record = found->second;
    double busy = record.inFlight;
    if (record.load && now - record.loadTime < loadValidity)
        busy = std::max<double>(busy, record.load->running + record.load->waiting);
    // The new request counts as well, so that an idle upstream costs more while it is slowed.
    cost += basis.isStated ? (busy + 1) / slots * timeFactor(candidate.upstream, basis, now) : busy / slots;
    cost += failurePenalty * withDecay(record.failureRate, now - record.lastOutcome);
    return cost;
}

std::optional<UpstreamId> UpstreamPicker::pick(
    const std::vector<PickCandidate>& candidates, const std::set<UpstreamId>& excluded, MonotonicTime now)
{
    std::vector<const PickCandidate*> eligible;
    for (const PickCandidate& candidate : candidates) {
        if (excluded.count(candidate.upstream) == 0)
            eligible.push_back(&candidate);
    }
    if (eligible.empty())
        return std::nullopt;
    const size_t first = m_random.below(eligible.size());
    size_t second = m_random.below(eligible.size());
    if (eligible.size() > 1 && second == first)
        second = (first + 1) % eligible.size();
    const SpeedBasis basis = speedBasis(eligible, now);
    const bool isFirstBest = cost(*eligible[first], basis, now) <= cost(*eligible[second], basis, now);
    return eligible[isFirstBest ? first : second]->upstream;
}

void UpstreamPicker::started(const UpstreamId& upstream)
{
    ++m_records[upstream].inFlight;
}

void UpstreamPicker::ended(const UpstreamId& upstream, ExchangeOutcome outcome, MonotonicTime now)
{
    Record& record = m_records[upstream];
    record.inFlight = std::max(0, record.inFlight - 1);
    const double failure = outcome == ExchangeOutcome::Answered ? 0 : 1;
    const double noAnswer = outcome == ExchangeOutcome::Unreachable ? 1 : 0;
    record.failureRate = withDecay(record.failureRate, now - record.lastOutcome);
    record.noAnswerRate = withDecay(record.noAnswerRate, now - record.lastOutcome);
    record.failureRate += outcomeSmoothing * (failure - record.failureRate);
    record.noAnswerRate += outcomeSmoothing * (noAnswer - record.noAnswerRate);
    record.lastOutcome = now;
}

bool UpstreamPicker::loadReported(const UpstreamId& upstream, const ReportedLoad& load, MonotonicTime now)
{
    Record& record = m_records[upstream];
    record.load = load;
    record.loadTime = now;
    return load.slowdown && m_speeds.reported(upstream, *load.slowdown, now);
}

void UpstreamPicker::keepAliveReported(const UpstreamId& upstream, Duration keepAlive)
{
    m_records[upstream].idleAge = std::max(keepAlive - keepAliveMargin, shortestIdleAge);
}

void UpstreamPicker::reusedConnectionLost(const UpstreamId& upstream)
{
    Duration& age = m_records[upstream].idleAge;
    age = std::max(age / 2, shortestIdleAge);
}

Duration UpstreamPicker::idleAge(const UpstreamId& upstream) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? shortestIdleAge : found->second.idleAge;
}

void UpstreamPicker::retain(const std::set<UpstreamId>& upstreams)
{
    m_speeds.retain(upstreams);
    for (auto record = m_records.begin(); record != m_records.end();) {
        const bool isUsed = upstreams.count(record->first) > 0 || record->second.inFlight > 0;
        record = isUsed ? std::next(record) : m_records.erase(record);
    }
}

bool UpstreamPicker::isSuspect(const UpstreamId& upstream, MonotonicTime now) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end()
        && withDecay(found->second.noAnswerRate, now - found->second.lastOutcome) > suspectThreshold;
}

} // namespace lacewing::gateway
