#include "coordination/headroom_history.h"

#include <algorithm>

namespace lacewing {

namespace {

// Above this number, the two neighbouring entries with the smallest difference are merged. This can only
// reduce a refund.
constexpr size_t maximumEntries = 32;

} // namespace

HeadroomHistory::Mark HeadroomHistory::recordHeadroom(int64_t headroom)
{
    while (!m_entries.empty() && m_entries.back().headroom >= headroom)
        m_entries.pop_back();
    m_entries.push_back({ ++m_lastMark, headroom });
    if (m_entries.size() > maximumEntries)
        mergeClosest();
    return m_lastMark;
}

void HeadroomHistory::mergeClosest()
{
    size_t closest = 0;
    for (size_t index = 0; index + 1 < m_entries.size(); ++index) {
        const int64_t step = m_entries[index + 1].headroom - m_entries[index].headroom;
        if (step < m_entries[closest + 1].headroom - m_entries[closest].headroom)
            closest = index;
    }
    m_entries[closest + 1].headroom = m_entries[closest].headroom;
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(closest));
}

int64_t HeadroomHistory::minimumSince(Mark mark, int64_t current) const
{
    const auto first = std::upper_bound(m_entries.begin(), m_entries.end(), mark,
        [](Mark value, const Entry& entry) { return value < entry.mark; });
    return first == m_entries.end() ? current : std::min(first->headroom, current);
}

void HeadroomHistory::lower(Mark mark, int64_t amount)
{
    for (Entry& entry : m_entries) {
        if (entry.mark > mark)
            entry.headroom -= amount;
    }
    keepSuffixMinima();
}

void HeadroomHistory::keepSuffixMinima()
{
    std::vector<Entry> kept;
    for (const Entry& entry : m_entries) {
        while (!kept.empty() && kept.back().headroom >= entry.headroom)
            kept.pop_back();
        kept.push_back(entry);
    }
    m_entries = std::move(kept);
}

} // namespace lacewing
