#include "gateway/upstream_availability.h"

#include <algorithm>
#include <array>

namespace lacewing::gateway {

namespace {

/// Times into a rest at which a probe may be sent. An upstream that rests takes two requests at most.
constexpr std::array<Duration, 2> probeTimes { std::chrono::seconds(10), std::chrono::seconds(60) };

/// Each response to one of many requests that are turned away together extends a rest by a little.
constexpr Duration smallestReportedExtension = std::chrono::milliseconds(250);

} // namespace

const char* toString(StatementOrigin origin)
{
    switch (origin) {
    case StatementOrigin::Response:
        return "response";
    case StatementOrigin::Peer:
        return "peer";
    }
    return "unknown";
}

bool UpstreamAvailability::learnLeaving(
    const LeavingStatement& statement, StatementOrigin origin, MonotonicTime now)
{
    const auto found = m_leaving.find(statement.upstream);
    if (found != m_leaving.end() && found->second.startedAt >= statement.startedAt)
        return false;
    m_leaving.insert_or_assign(
        statement.upstream, Leaving { statement.startedAt, origin, now, ProcessAbsence() });
    return true;
}

std::optional<Duration> UpstreamAvailability::learnRest(
    const UpstreamId& upstream, int64_t startedAt, Duration stated, MonotonicTime now)
{
    const MonotonicTime end = now + std::min(stated, maximumRest);
    Rest& rest
        = m_rests.try_emplace(upstream, Rest { startedAt, now, now, now, 0, std::nullopt }).first->second;
    if (startedAt < rest.startedAt)
        return std::nullopt;
    if (startedAt > rest.startedAt || now >= rest.end)
        rest = Rest { startedAt, now, now, now, 0, std::nullopt };
    rest.end = std::max(rest.end, end);
    if (rest.end < rest.reportedEnd + smallestReportedExtension)
        return std::nullopt;
    rest.reportedEnd = rest.end;
    return rest.end - now;
}

bool UpstreamAvailability::isLeaving(const UpstreamId& upstream, int64_t startedAt) const
{
    const auto found = m_leaving.find(upstream);
    return found != m_leaving.end() && startedAt <= found->second.startedAt;
}

std::optional<Duration> UpstreamAvailability::leavingFor(const UpstreamId& upstream, MonotonicTime now) const
{
    const auto found = m_leaving.find(upstream);
    return found == m_leaving.end() ? std::nullopt : std::make_optional(now - found->second.learned);
}

Duration UpstreamAvailability::restLeft(
    const UpstreamId& upstream, int64_t startedAt, MonotonicTime now) const
{
    return std::max(statedRestLeft(upstream, startedAt, now), m_pacing.waitFor(upstream, startedAt, now));
}

Duration UpstreamAvailability::statedRestLeft(
    const UpstreamId& upstream, int64_t startedAt, MonotonicTime now) const
{
    const auto found = m_rests.find(upstream);
    if (found == m_rests.end() || startedAt > found->second.startedAt || now >= found->second.end)
        return Duration::zero();
    const Rest& rest = found->second;
    if (static_cast<size_t>(rest.probes) >= probeTimes.size())
        return rest.end - now;
    const MonotonicTime probe = rest.begin + probeTimes[rest.probes];
    return std::max<Duration>(std::min(probe, rest.end) - now, Duration::zero());
}

std::optional<MonotonicTime> UpstreamAvailability::restEnd(
    const UpstreamId& upstream, int64_t startedAt, MonotonicTime now) const
{
    const bool isResting = statedRestLeft(upstream, startedAt, now) > Duration::zero();
    return isResting ? std::make_optional(m_rests.at(upstream).end) : std::nullopt;
}

void UpstreamAvailability::requestSent(const UpstreamId& upstream, MonotonicTime now)
{
    m_pacing.sent(upstream, now);
    const auto found = m_rests.find(upstream);
    if (found == m_rests.end() || now >= found->second.end)
        return;
    ++found->second.probes;
    found->second.probed = now;
}

bool UpstreamAvailability::requestSucceeded(const UpstreamId& upstream, MonotonicTime sent)
{
    const auto found = m_rests.find(upstream);
    const bool isProbe = found != m_rests.end() && found->second.probed && sent >= *found->second.probed;
    if (isProbe)
        m_rests.erase(found);
    return isProbe;
}

std::vector<LeavingStatement> UpstreamAvailability::leaving() const
{
    std::vector<LeavingStatement> statements;
    for (const auto& [upstream, known] : m_leaving)
        statements.push_back({ upstream, known.startedAt });
    return statements;
}

size_t UpstreamAvailability::restingCount(MonotonicTime now) const
{
    return static_cast<size_t>(std::count_if(
        m_rests.begin(), m_rests.end(), [now](const auto& entry) { return now < entry.second.end; }));
}

void UpstreamAvailability::retain(const std::map<UpstreamId, int64_t>& startedAt, MonotonicTime now)
{
    for (auto known = m_leaving.begin(); known != m_leaving.end();) {
        const auto present = startedAt.find(known->first);
        const auto presentStart
            = present == startedAt.end() ? std::nullopt : std::make_optional(present->second);
        const bool isGone = known->second.absence.isGone(known->second.startedAt, presentStart, now);
        known = isGone ? m_leaving.erase(known) : std::next(known);
    }
    m_pacing.retain(now);
    for (auto rest = m_rests.begin(); rest != m_rests.end();)
        rest = now >= rest->second.end ? m_rests.erase(rest) : std::next(rest);
}

} // namespace lacewing::gateway
