#include "coordination/popularity_tracker.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// Counts below this are removed. e^-7 is about 0.001, so a single use is kept for 7 time constants.
constexpr double minimumCount = 0.001;

} // namespace

PopularityTracker::PopularityTracker(Duration timeConstant)
    : m_timeConstant(timeConstant)
{
}

void PopularityTracker::record(const AdapterKey& adapter, MonotonicTime now)
{
    if (now >= m_nextPrune)
        prune(now);
    add(m_counts[adapter], now);
    add(m_total, now);
}

double PopularityTracker::count(const AdapterKey& adapter, MonotonicTime now) const
{
    const auto found = m_counts.find(adapter);
    return found == m_counts.end() ? 0 : decayed(found->second, now);
}

double PopularityTracker::rate(const AdapterKey& adapter, MonotonicTime now) const
{
    return count(adapter, now) / toSeconds(m_timeConstant);
}

double PopularityTracker::share(const AdapterKey& adapter, MonotonicTime now) const
{
    const double total = decayed(m_total, now);
    return total > 0 ? std::min(1.0, count(adapter, now) / total) : 0;
}

double PopularityTracker::totalRate(MonotonicTime now) const
{
    return decayed(m_total, now) / toSeconds(m_timeConstant);
}

double PopularityTracker::decayed(const DecayedCount& count, MonotonicTime now) const
{
    const Duration age = std::max(now - count.at, Duration::zero());
    return count.value * std::exp(-toSeconds(age) / toSeconds(m_timeConstant));
}

void PopularityTracker::add(DecayedCount& count, MonotonicTime now) const
{
    count.value = decayed(count, now) + 1;
    count.at = now;
}

void PopularityTracker::prune(MonotonicTime now)
{
    m_nextPrune = now + m_timeConstant;
    for (auto it = m_counts.begin(); it != m_counts.end();)
        it = decayed(it->second, now) < minimumCount ? m_counts.erase(it) : std::next(it);
}

} // namespace lacewing
