#include "gateway/request_pacer.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// Only an answer can show that an upstream has lifted its limit, so even one that takes no requests gets one
/// at this interval.
constexpr Duration longestInterval = std::chrono::seconds(30);
/// The bucket holds the requests of this time, and one more.
constexpr double burstSeconds = 0.5;
/// Rounding must not delay a request for which the bucket has just enough.
constexpr double levelTolerance = 1e-6;

} // namespace

void RequestPacer::setRate(std::optional<RequestRate> rate, MonotonicTime now)
{
    if (rate)
        rate = std::max(*rate, RequestRate(1 / toSeconds(longestInterval)));
    if (rate == m_rate)
        return;
    const bool wasLimited = isLimited();
    m_level = wasLimited ? levelAt(now) : 0;
    m_updated = now;
    m_rate = rate;
    if (m_rate)
        m_level = std::min(m_level, capacity());
}

double RequestPacer::capacity() const
{
    return 1 + burstSeconds * m_rate->perSecond();
}

double RequestPacer::levelAt(MonotonicTime now) const
{
    return std::min(capacity(), m_level + m_rate->perSecond() * toSeconds(now - m_updated));
}

Duration RequestPacer::waitFor(size_t ahead, MonotonicTime now) const
{
    if (!m_rate)
        return Duration::zero();
    const double missing = static_cast<double>(ahead) + 1 - levelAt(now);
    if (missing < levelTolerance)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / m_rate->perSecond()));
}

void RequestPacer::started(MonotonicTime now)
{
    if (!m_rate)
        return;
    m_level = levelAt(now) - 1;
    m_updated = now;
}

} // namespace lacewing::gateway
