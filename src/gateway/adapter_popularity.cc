#include "gateway/adapter_popularity.h"

#include <cmath>

namespace lacewing::gateway {

namespace {

constexpr double halfLifeSeconds = 6;
/// Counts below this are erased once there are more than maximumCounts.
constexpr double negligibleCount = 0.1;
constexpr size_t maximumCounts = 4096;

} // namespace

double AdapterPopularity::decayedCount(const AdapterRef& adapter, MonotonicTime now) const
{
    const auto found = m_counts.find(adapter);
    if (found == m_counts.end())
        return 0;
    return found->second.count * std::exp2(-toSeconds(now - found->second.updated) / halfLifeSeconds);
}

void AdapterPopularity::count(const AdapterRef& adapter, MonotonicTime now)
{
    const double count = decayedCount(adapter, now) + 1;
    m_counts[adapter] = { count, now };
    if (m_counts.size() <= maximumCounts)
        return;
    for (auto entry = m_counts.begin(); entry != m_counts.end();)
        entry = decayedCount(entry->first, now) < negligibleCount ? m_counts.erase(entry) : std::next(entry);
}

std::map<ModelId, double> AdapterPopularity::byModel() const
{
    std::map<ModelId, double> sums;
    for (const auto& [adapter, count] : m_counts)
        sums[adapter.model] += count.count;
    return sums;
}

} // namespace lacewing::gateway
