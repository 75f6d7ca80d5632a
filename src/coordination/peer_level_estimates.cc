#include "coordination/peer_level_estimates.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// A reported level is stale after this time, because refunds may have raised it since.
constexpr Duration levelLifetime = std::chrono::milliseconds(250);

// A bucket is asked again only after the refill of this time. Under overload this bounds the asks to 10 a
// second per peer and workspace.
constexpr Duration quantumTime = std::chrono::milliseconds(200);

Tokens share(Tokens whole, int partitions)
{
    return Tokens(whole.value() * partitions / quotaPartitions);
}

Tokens refill(Tokens rate, Duration duration)
{
    return Tokens(static_cast<int64_t>(static_cast<double>(rate.value()) * toSeconds(duration)));
}

} // namespace

void PeerLevelEstimates::setHolders(const std::map<HostId, int>& holders)
{
    for (auto peerLevel = m_peerLevels.begin(); peerLevel != m_peerLevels.end();)
        peerLevel
            = holders.count(peerLevel->first) == 0 ? m_peerLevels.erase(peerLevel) : std::next(peerLevel);
    for (const auto& [peer, partitions] : holders)
        m_peerLevels[peer].partitions = partitions;
}

void PeerLevelEstimates::recordAsk(const HostId& peer, Tokens amount)
{
    const auto found = m_peerLevels.find(peer);
    if (found != m_peerLevels.end())
        found->second.inFlight = amount;
}

void PeerLevelEstimates::recordAnswer(const HostId& peer, Tokens level, MonotonicTime now)
{
    const auto found = m_peerLevels.find(peer);
    if (found == m_peerLevels.end())
        return;
    found->second.inFlight = Tokens();
    found->second.level = level;
    found->second.answeredAt = now;
}

Tokens PeerLevelEstimates::inFlight() const
{
    Tokens sum;
    for (const auto& [peer, peerLevel] : m_peerLevels)
        sum += peerLevel.inFlight;
    return sum;
}

bool PeerLevelEstimates::hasStale(MonotonicTime now) const
{
    return std::any_of(m_peerLevels.begin(), m_peerLevels.end(),
        [&](const auto& entry) { return isStale(entry.second, now); });
}

Tokens PeerLevelEstimates::estimate(MonotonicTime time) const
{
    Tokens sum;
    for (const auto& [peer, peerLevel] : m_peerLevels)
        sum += estimate(peerLevel, time);
    return sum;
}

Tokens PeerLevelEstimates::estimateWithDefault(double fullness, MonotonicTime now) const
{
    Tokens sum;
    for (const auto& [peer, peerLevel] : m_peerLevels)
        sum += estimateWithDefault(peerLevel, fullness, now);
    return sum;
}

std::map<HostId, Tokens> PeerLevelEstimates::plan(
    Tokens wanted, double fullness, bool isUrgent, MonotonicTime now) const
{
    std::vector<std::pair<Tokens, HostId>> candidates;
    for (const auto& [peer, peerLevel] : m_peerLevels) {
        const Tokens level = estimateWithDefault(peerLevel, fullness, now);
        const Tokens least = isUrgent ? std::min(wanted, quantum(peerLevel)) : quantum(peerLevel);
        if (peerLevel.inFlight == Tokens() && level >= least)
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

bool PeerLevelEstimates::isStale(const PeerLevel& peerLevel, MonotonicTime now) const
{
    return peerLevel.answeredAt == MonotonicTime::min() || now - peerLevel.answeredAt >= levelLifetime;
}

Tokens PeerLevelEstimates::estimate(const PeerLevel& peerLevel, MonotonicTime time) const
{
    if (peerLevel.answeredAt == MonotonicTime::min())
        return Tokens();
    const Tokens refilled = refill(share(m_limit.rate, peerLevel.partitions), time - peerLevel.answeredAt);
    const Tokens level = std::min(peerLevel.level + refilled, share(m_limit.burst, peerLevel.partitions));
    return std::max(Tokens(), level - peerLevel.inFlight);
}

Tokens PeerLevelEstimates::estimateWithDefault(
    const PeerLevel& peerLevel, double fullness, MonotonicTime now) const
{
    if (!isStale(peerLevel, now))
        return estimate(peerLevel, now);
    const double level = fullness * static_cast<double>(share(m_limit.burst, peerLevel.partitions).value());
    return std::max(estimate(peerLevel, now), Tokens(static_cast<int64_t>(level)) - peerLevel.inFlight);
}

Tokens PeerLevelEstimates::quantum(const PeerLevel& peerLevel) const
{
    return std::max(Tokens(1), refill(share(m_limit.rate, peerLevel.partitions), quantumTime));
}

} // namespace lacewing
