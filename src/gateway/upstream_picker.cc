#include "gateway/upstream_picker.h"

#include <algorithm>
#include <cmath>

namespace lacewing::gateway {

namespace {

constexpr double outcomeWeight = 0.2;
/// Time after which half of a failure is forgotten without new outcomes.
constexpr double forgetSeconds = 2.5;
/// How much a failing upstream's load counts: a share of 1 counts as this many times its slots.
constexpr double failurePenalty = 3;
/// Share of a slot that it is worth to stay in the data centre.
constexpr double dataCentreBonus = 0.5;
constexpr Duration loadValidity = std::chrono::milliseconds(300);
constexpr double suspectShare = 0.45;
/// Connections are not used in the last part of the time for which the upstream keeps them.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(700);
constexpr Duration shortestIdleAge = std::chrono::milliseconds(300);

double faded(double share, Duration age)
{
    return share * std::exp2(-toSeconds(age) / forgetSeconds);
}

} // namespace

double UpstreamPicker::cost(const PickCandidate& candidate, MonotonicTime now) const
{
    const double slots = std::max(1, candidate.slots);
    const auto found = m_records.find(candidate.upstream);
    double cost = candidate.isInCallersDataCentre ? 0 : dataCentreBonus / slots;
    if (found == m_records.end())
        return cost;
    const Record& record = found->second;
    double busy = record.inFlight;
    if (record.load && now - record.loadTime < loadValidity)
        busy = std::max<double>(busy, record.load->running + record.load->waiting);
    cost += busy / slots;
    cost += failurePenalty * faded(record.failureShare, now - record.lastOutcome);
    return cost;
}

std::optional<UpstreamId> UpstreamPicker::pick(
    const std::vector<PickCandidate>& candidates, const std::set<UpstreamId>& excluded, MonotonicTime now)
{
    std::vector<const PickCandidate*> open;
    for (const PickCandidate& candidate : candidates) {
        if (excluded.count(candidate.upstream) == 0)
            open.push_back(&candidate);
    }
    if (open.empty())
        return std::nullopt;
    const size_t first = m_random.below(open.size());
    size_t second = m_random.below(open.size());
    if (open.size() > 1 && second == first)
        second = (first + 1) % open.size();
    const PickCandidate* best
        = cost(*open[first], now) <= cost(*open[second], now) ? open[first] : open[second];
    return best->upstream;
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
    const double silence = outcome == ExchangeOutcome::Unreachable ? 1 : 0;
    record.failureShare = faded(record.failureShare, now - record.lastOutcome);
    record.silenceShare = faded(record.silenceShare, now - record.lastOutcome);
    record.failureShare += outcomeWeight * (failure - record.failureShare);
    record.silenceShare += outcomeWeight * (silence - record.silenceShare);
    record.lastOutcome = now;
}

void UpstreamPicker::loadReported(const UpstreamId& upstream, const ReportedLoad& load, MonotonicTime now)
{
    Record& record = m_records[upstream];
    record.load = load;
    record.loadTime = now;
}

void UpstreamPicker::keepAliveReported(const UpstreamId& upstream, Duration keepAlive)
{
    m_records[upstream].idleAge = std::max(keepAlive - keepAliveMargin, shortestIdleAge);
}

void UpstreamPicker::keptConnectionLost(const UpstreamId& upstream)
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
    for (auto record = m_records.begin(); record != m_records.end();) {
        const bool isUsed = upstreams.count(record->first) > 0 || record->second.inFlight > 0;
        record = isUsed ? std::next(record) : m_records.erase(record);
    }
}

bool UpstreamPicker::isSuspect(const UpstreamId& upstream, MonotonicTime now) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end()
        && faded(found->second.silenceShare, now - found->second.lastOutcome) > suspectShare;
}

} // namespace lacewing::gateway
