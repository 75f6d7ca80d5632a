#include "coordination/level_hints.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// A peer's level may have grown by refunds after this time.
constexpr Duration hintLifetime = std::chrono::milliseconds(250);

// A bucket is asked again when it has gathered this much refill. Under overload it bounds the asks to 10 a
// second per peer and workspace.
constexpr Duration quantumTime = std::chrono::milliseconds(200);

Tokens share(Tokens whole, int partitions)
{
    return Tokens(whole.value() * partitions / allotmentPartitions);
}

Tokens refill(Tokens rate, Duration duration)
{
    return Tokens(static_cast<int64_t>(static_cast<double>(rate.value()) * toSeconds(duration)));
}

} // namespace

void LevelHints::setHolders(const std::map<HostId, int>& holders)
{
    for (auto hint = m_hints.begin(); hint != m_hints.end();)
        hint = holders.count(hint->first) == 0 ? m_hints.erase(hint) : std::next(hint);
    for (const auto& [peer, partitions] : holders)
        m_hints[peer].partitions = partitions;
}

void LevelHints::asked(const HostId& peer, Tokens amount)
{
    const auto found = m_hints.find(peer);
    if (found != m_hints.end())
        found->second.inFlight = amount;
}

void LevelHints::heard(const HostId& peer, Tokens level, MonotonicTime now)
{
    const auto found = m_hints.find(peer);
    if (found == m_hints.end())
        return;
    found->second.inFlight = Tokens();
    found->second.level = level;
    found->second.heardAt = now;
}

Tokens LevelHints::inFlight() const
{
    Tokens sum;
    for (const auto& [peer, hint] : m_hints)
        sum += hint.inFlight;
    return sum;
}

bool LevelHints::hasStale(MonotonicTime now) const
{
    return std::any_of(
        m_hints.begin(), m_hints.end(), [&](const auto& entry) { return isStale(entry.second, now); });
}

Tokens LevelHints::estimate(MonotonicTime time) const
{
    Tokens sum;
    for (const auto& [peer, hint] : m_hints)
        sum += estimate(hint, time);
    return sum;
}

Tokens LevelHints::guess(double fullness, MonotonicTime now) const
{
    Tokens sum;
    for (const auto& [peer, hint] : m_hints)
        sum += guess(hint, fullness, now);
    return sum;
}

std::map<HostId, Tokens> LevelHints::plan(
    Tokens wanted, double fullness, bool isUrgent, MonotonicTime now) const
{
    std::vector<std::pair<Tokens, HostId>> candidates;
    for (const auto& [peer, hint] : m_hints) {
        const Tokens level = guess(hint, fullness, now);
        const Tokens least = isUrgent ? std::min(wanted, quantum(hint)) : quantum(hint);
        if (hint.inFlight == Tokens() && level >= least)
            candidates.emplace_back(level, peer);
    }
    std::sort(candidates.rbegin(), candidates.rend());
    Tokens sum;
    size_t count = 0;
    while (count < candidates.size() && sum < Tokens(4 * wanted.value()))
        sum += candidates[count++].first;
    std::map<HostId, Tokens> asks;
    for (size_t index = 0; index < count && wanted > Tokens(); ++index) {
        const auto& [level, peer] = candidates[index];
        const double part = static_cast<double>(wanted.value()) / static_cast<double>(sum.value());
        const Tokens share(static_cast<int64_t>(std::ceil(part * static_cast<double>(level.value()))));
        const Tokens amount = std::min({ wanted, level, share });
        asks[peer] = amount;
        wanted -= amount;
        sum -= level;
    }
    return asks;
}

bool LevelHints::isStale(const Hint& hint, MonotonicTime now) const
{
    return hint.heardAt == MonotonicTime::min() || now - hint.heardAt >= hintLifetime;
}

Tokens LevelHints::estimate(const Hint& hint, MonotonicTime time) const
{
    if (hint.heardAt == MonotonicTime::min())
        return Tokens();
    const Tokens refilled = refill(share(m_limit.rate, hint.partitions), time - hint.heardAt);
    const Tokens level = std::min(hint.level + refilled, share(m_limit.burst, hint.partitions));
    return std::max(Tokens(), level - hint.inFlight);
}

Tokens LevelHints::guess(const Hint& hint, double fullness, MonotonicTime now) const
{
    if (!isStale(hint, now))
        return estimate(hint, now);
    const double level = fullness * static_cast<double>(share(m_limit.burst, hint.partitions).value());
    return std::max(estimate(hint, now), Tokens(static_cast<int64_t>(level)) - hint.inFlight);
}

Tokens LevelHints::quantum(const Hint& hint) const
{
    return std::max(Tokens(1), refill(share(m_limit.rate, hint.partitions), quantumTime));
}

} // namespace lacewing
