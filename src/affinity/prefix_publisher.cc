#include "affinity/prefix_publisher.h"

#include <algorithm>

namespace lacewing::affinity {

PrefixStatement PrefixPublisher::stateToAll(const SharedPrefixes& shared, MonotonicTime now)
{
    PrefixStatement statement { shared.memoryFill, std::nullopt };
    if (m_sent && now - *m_sent < minimumInterval)
        return statement;
    PrefixDigest digest = choose(shared.recent);
    const bool needsRefresh = !digest.empty() && m_sent && now - *m_sent >= refreshInterval;
    if (digest.hasSamePrefixes(m_digest) && !needsRefresh)
        return statement;
    m_digest = std::move(digest);
    m_sent = now;
    statement.digest = m_digest;
    return statement;
}

PrefixStatement PrefixPublisher::stateToNewPeer(const SharedPrefixes& shared) const
{
    return { shared.memoryFill, m_digest.empty() ? std::nullopt : std::make_optional(m_digest) };
}

PrefixDigest PrefixPublisher::choose(const std::vector<PrefixFingerprint>& recent) const
{
    const auto end = recent.begin() + static_cast<ptrdiff_t>(std::min(recent.size(), consideredSize));
    const auto isPublished = [this](PrefixFingerprint prefix) { return m_digest.contains(prefix); };
    const auto staying = static_cast<size_t>(std::count_if(recent.begin(), end, isPublished));
    size_t vacancies = PrefixDigest::maximumSize - std::min(staying, PrefixDigest::maximumSize);
    std::vector<PrefixFingerprint> chosen;
    for (auto prefix = recent.begin(); prefix != end; ++prefix) {
        const bool stays = isPublished(*prefix);
        if (!stays && vacancies == 0)
            continue;
        vacancies -= stays ? 0 : 1;
        chosen.push_back(*prefix);
    }
    return PrefixDigest(std::move(chosen));
}

} // namespace lacewing::affinity
