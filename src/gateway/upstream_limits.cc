#include "gateway/upstream_limits.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace lacewing::gateway {

namespace {

bool isNewer(const UpstreamLimit& a, const UpstreamLimit& b)
{
    return std::tie(a.startedAt, a.revision, a.observer) > std::tie(b.startedAt, b.revision, b.observer);
}

/// @return whether a limit permits less than another one; no limit permits most.
bool isTighter(const std::optional<RequestRate>& a, const std::optional<RequestRate>& b)
{
    return a && (!b || *a < *b);
}

} // namespace

UpstreamLimits::UpstreamLimits(HostId self, const WarmUpLimits* warmUp)
    : m_self(std::move(self))
    , m_warmUp(warmUp)
{
}

std::optional<UpstreamLimit> UpstreamLimits::observe(const LimitObservation& observation, MonotonicTime now)
{
    const auto found = m_known.find(observation.upstream);
    if (found != m_known.end() && observation.startedAt < found->second.limit.startedAt)
        return std::nullopt;
    const bool isKnown = found != m_known.end() && found->second.limit.startedAt == observation.startedAt;
    const std::optional<RequestRate> known = isKnown ? found->second.limit.rate : std::nullopt;
    if (observation.rate == known)
        return std::nullopt;
    const bool isOld = isKnown && observation.requestSent < found->second.learned;
    const bool mayRelax = !isOld && (observation.rate || observation.isConclusive);
    if (!isTighter(observation.rate, known) && !mayRelax)
        return std::nullopt;
    UpstreamLimit limit;
    limit.upstream = observation.upstream;
    limit.startedAt = observation.startedAt;
    limit.revision = LimitRevision(isKnown ? found->second.limit.revision.value() + 1 : 1);
    limit.observer = m_self;
    limit.rate = observation.rate;
    m_known.insert_or_assign(observation.upstream, KnownLimit { limit, now, ProcessAbsence() });
    return limit;
}

bool UpstreamLimits::merge(const UpstreamLimit& limit, MonotonicTime now)
{
    const auto found = m_known.find(limit.upstream);
    if (found != m_known.end() && !isNewer(limit, found->second.limit))
        return false;
    m_known.insert_or_assign(limit.upstream, KnownLimit { limit, now, ProcessAbsence() });
    return true;
}

std::optional<RequestRate> UpstreamLimits::rate(const UpstreamId& upstream) const
{
    const auto stated = statedRate(upstream);
    const auto cold = m_warmUp ? m_warmUp->rate(upstream) : std::nullopt;
    return isTighter(cold, stated) ? cold : stated;
}

std::optional<RequestRate> UpstreamLimits::statedRate(const UpstreamId& upstream) const
{
    const auto found = m_known.find(upstream);
    return found == m_known.end() ? std::nullopt : found->second.limit.rate;
}

std::optional<UpstreamLimit> UpstreamLimits::known(const UpstreamId& upstream) const
{
    const auto found = m_known.find(upstream);
    return found == m_known.end() ? std::nullopt : std::make_optional(found->second.limit);
}

std::optional<UpstreamLimit> UpstreamLimits::toTell(const UpstreamId& upstream, MonotonicTime now) const
{
    std::optional<UpstreamLimit> limit = known(upstream);
    const auto cold = m_warmUp ? m_warmUp->known(upstream, now) : std::nullopt;
    if (!cold || (limit && limit->startedAt > cold->startedAt))
        return limit;
    if (!limit || limit->startedAt < cold->startedAt)
        limit = UpstreamLimit { upstream, cold->startedAt, LimitRevision(0), m_self, std::nullopt };
    limit->coldFor = cold->remaining;
    return limit;
}

std::vector<UpstreamLimit> UpstreamLimits::allToTell(MonotonicTime now) const
{
    std::set<UpstreamId> upstreams;
    for (const auto& [upstream, known] : m_known)
        upstreams.insert(upstream);
    if (m_warmUp) {
        for (const UpstreamId& upstream : m_warmUp->cold())
            upstreams.insert(upstream);
    }
    std::vector<UpstreamLimit> limits;
    for (const UpstreamId& upstream : upstreams) {
        if (const auto limit = toTell(upstream, now))
            limits.push_back(*limit);
    }
    return limits;
}

std::vector<UpstreamLimit> UpstreamLimits::all() const
{
    std::vector<UpstreamLimit> limits;
    for (const auto& [upstream, known] : m_known)
        limits.push_back(known.limit);
    return limits;
}

size_t UpstreamLimits::limitedCount() const
{
    return static_cast<size_t>(std::count_if(m_known.begin(), m_known.end(),
        [](const auto& entry) { return entry.second.limit.rate.has_value(); }));
}

void UpstreamLimits::retain(const std::map<UpstreamId, int64_t>& startedAt, MonotonicTime now)
{
    for (auto known = m_known.begin(); known != m_known.end();) {
        const auto present = startedAt.find(known->first);
        const auto presentStart
            = present == startedAt.end() ? std::nullopt : std::make_optional(present->second);
        const bool isGone = known->second.absence.isGone(known->second.limit.startedAt, presentStart, now);
        known = isGone ? m_known.erase(known) : std::next(known);
    }
}

} // namespace lacewing::gateway
