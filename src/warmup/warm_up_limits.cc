#include "warmup/warm_up_limits.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// A cold time that was not known before lasts at least this long, so that it can be told to the peers.
constexpr Duration shortestColdTime = std::chrono::seconds(1);
/// Peers are not told of shorter times. A peer's statement extends a known cold time only by more than this.
constexpr Duration relayTolerance = std::chrono::milliseconds(500);
/// Part of the configured rate that is used. Requests arrive closer together than they were granted, and two
/// hosts may grant for a moment while the fleet divides or the granting host changes.
constexpr double usedShare = 0.9;
/// Bounds the processes that peers name and that have no row.
constexpr size_t maximumProcesses = 10'000;

} // namespace

const char* toString(ColdSource source)
{
    switch (source) {
    case ColdSource::Row:
        return "row";
    case ColdSource::Response:
        return "response";
    case ColdSource::Peer:
        return "peer";
    case ColdSource::Start:
        return "start";
    }
    return "unknown";
}

MonotonicTime WarmUpLimits::KnownProcess::end() const
{
    if (!assumedColdSince || !coldStart)
        return statedEnd;
    return std::max(statedEnd, *assumedColdSince + coldStart->duration);
}

bool WarmUpLimits::replaceProcess(KnownProcess& known, int64_t startedAt)
{
    if (known.startedAt >= startedAt)
        return false;
    known.startedAt = startedAt;
    known.statedEnd = MonotonicTime();
    known.assumedColdSince.reset();
    known.rowRead.reset();
    return true;
}

void WarmUpLimits::extend(KnownProcess& known, Duration remaining, MonotonicTime from, MonotonicTime now)
{
    if (remaining <= Duration::zero())
        return;
    MonotonicTime end = from + remaining;
    if (known.end() <= now && end > now)
        end = std::max(end, now + shortestColdTime);
    known.statedEnd = std::max(known.statedEnd, end);
}

void WarmUpLimits::applyRow(KnownProcess& known, const PresentProcess& row, bool isNew, MonotonicTime now)
{
    known.coldStart = row.coldStart;
    if (row.startedAt < known.startedAt)
        return;
    if (isNew && !row.remaining) {
        known.assumedColdSince = now;
        known.source = ColdSource::Start;
    }
    if (!row.remaining || (known.rowRead && row.read <= *known.rowRead))
        return;
    known.rowRead = row.read;
    // What the process states replaces the assumption.
    known.assumedColdSince.reset();
    if (known.end() <= now)
        known.source = ColdSource::Row;
    extend(known, *row.remaining, row.read, now);
}

void WarmUpLimits::setPresent(
    const std::map<UpstreamId, PresentProcess>& present, bool isFirstRead, MonotonicTime now)
{
    for (const auto& [upstream, row] : present) {
        const auto [known, isUnknown] = m_known.try_emplace(upstream);
        if (isUnknown)
            known->second.startedAt = row.startedAt;
        const bool isReplaced = !isUnknown && replaceProcess(known->second, row.startedAt);
        applyRow(known->second, row, isReplaced || (isUnknown && !isFirstRead), now);
    }
    for (auto known = m_known.begin(); known != m_known.end();) {
        const auto found = present.find(known->first);
        const auto start
            = found == present.end() ? std::nullopt : std::make_optional(found->second.startedAt);
        const bool isGone = known->second.absence.isGone(known->second.startedAt, start, now);
        known = isGone ? m_known.erase(known) : std::next(known);
    }
}

bool WarmUpLimits::learn(const ColdStatement& statement, ColdSource source, MonotonicTime now)
{
    const bool isFromPeer = source == ColdSource::Peer;
    if (isFromPeer && statement.remaining < relayTolerance)
        return false;
    const auto found = m_known.find(statement.upstream);
    if (found == m_known.end() && m_known.size() >= maximumProcesses)
        return false;
    KnownProcess& known = m_known[statement.upstream];
    replaceProcess(known, statement.startedAt);
    if (statement.startedAt < known.startedAt)
        return false;
    if (!isFromPeer)
        known.assumedColdSince.reset();
    const bool wasCold = known.end() > now;
    const bool isLater = !wasCold || now + statement.remaining > known.end() + relayTolerance;
    if (isFromPeer && !isLater)
        return false;
    if (!wasCold)
        known.source = source;
    extend(known, statement.remaining, now, now);
    const bool isCold = statement.remaining > Duration::zero();
    return !isFromPeer && isLater && isCold && known.coldStart;
}

std::vector<ColdChange> WarmUpLimits::update(MonotonicTime now)
{
    std::vector<ColdChange> changes;
    for (auto& [upstream, known] : m_known) {
        const bool isCold = known.coldStart && known.end() > now;
        const auto limit = isCold ? std::make_optional(known.coldStart->rate * usedShare) : std::nullopt;
        if (limit == known.limit)
            continue;
        known.limit = limit;
        changes.push_back({ upstream, isCold ? known.end() - now : Duration::zero(),
            isCold ? known.coldStart->rate : RequestRate(0), known.source });
    }
    return changes;
}

std::optional<Duration> WarmUpLimits::nextEnd(MonotonicTime now) const
{
    std::optional<Duration> next;
    for (const auto& [upstream, known] : m_known) {
        if (!known.limit)
            continue;
        const Duration left = std::max<Duration>(known.end() - now, Duration::zero());
        next = std::min(next.value_or(left), left);
    }
    return next;
}

std::optional<RequestRate> WarmUpLimits::rate(const UpstreamId& upstream) const
{
    const auto found = m_known.find(upstream);
    return found == m_known.end() ? std::nullopt : found->second.limit;
}

std::optional<ColdStatement> WarmUpLimits::known(const UpstreamId& upstream, MonotonicTime now) const
{
    const auto found = m_known.find(upstream);
    if (found == m_known.end() || !found->second.coldStart)
        return std::nullopt;
    const Duration remaining = found->second.end() - now;
    if (remaining < relayTolerance)
        return std::nullopt;
    return ColdStatement { upstream, found->second.startedAt, remaining };
}

size_t WarmUpLimits::coldCount() const
{
    return static_cast<size_t>(std::count_if(
        m_known.begin(), m_known.end(), [](const auto& entry) { return entry.second.limit.has_value(); }));
}

std::vector<UpstreamId> WarmUpLimits::cold() const
{
    std::vector<UpstreamId> upstreams;
    for (const auto& [upstream, known] : m_known) {
        if (known.limit)
            upstreams.push_back(upstream);
    }
    return upstreams;
}

} // namespace lacewing::gateway
