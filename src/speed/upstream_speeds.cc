#include "speed/upstream_speeds.h"

#include <algorithm>
#include <cmath>

namespace lacewing::speed {

namespace {

/// Weight of the newest request in the usual time.
constexpr double runWeight = 0.05;
/// Requests of one service differ in length, so the average of fewer of them says little.
constexpr int minimumRuns = 20;

template <typename Value> void eraseOthers(std::map<UpstreamId, Value>& map, const std::set<UpstreamId>& kept)
{
    for (auto entry = map.begin(); entry != map.end();)
        entry = kept.count(entry->first) > 0 ? std::next(entry) : map.erase(entry);
}

} // namespace

bool UpstreamSpeeds::reported(const UpstreamId& upstream, double slowdown, MonotonicTime now)
{
    SlowdownEstimate& estimate = m_records[upstream].slowdown;
    const bool isFirst = !estimate.isStated(now);
    estimate.reported(slowdown, now);
    return isFirst;
}

void UpstreamSpeeds::runEnded(const UpstreamId& upstream, Duration duration, MonotonicTime now)
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end() || duration <= Duration::zero() || !found->second.slowdown.isStated(now))
        return;
    Record& record = found->second;
    record.slowdown.runMeasured(toSeconds(duration), now);
    const double usual = std::log(toSeconds(duration) / record.slowdown.current(now));
    const double weight = std::max(runWeight, 1.0 / ++record.runs);
    record.usualTime += weight * (usual - record.usualTime);
}

std::optional<LearnedSpeed> UpstreamSpeeds::lastPublished(const UpstreamId& engine) const
{
    const auto found = m_published.find(engine);
    return found == m_published.end() ? std::nullopt : std::make_optional(found->second);
}

bool UpstreamSpeeds::isStated(const UpstreamId& upstream, MonotonicTime now) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && found->second.slowdown.isStated(now);
}

double UpstreamSpeeds::slowdown(const UpstreamId& upstream, MonotonicTime now) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? 1 : found->second.slowdown.current(now);
}

std::optional<double> UpstreamSpeeds::usualTime(const UpstreamId& upstream) const
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end() || found->second.runs < minimumRuns)
        return std::nullopt;
    return found->second.usualTime;
}

UpstreamSpeeds::Overview UpstreamSpeeds::overview(MonotonicTime now) const
{
    double sum = 0;
    double maximum = 0;
    int count = 0;
    for (const auto& [upstream, record] : m_records) {
        if (!record.slowdown.isStated(now))
            continue;
        const double current = record.slowdown.current(now);
        sum += current;
        maximum = std::max(maximum, current);
        ++count;
    }
    return count == 0 ? Overview() : Overview { sum / count, maximum };
}

void UpstreamSpeeds::retain(const std::set<UpstreamId>& upstreams)
{
    eraseOthers(m_records, upstreams);
    eraseOthers(m_published, upstreams);
}

} // namespace lacewing::speed
