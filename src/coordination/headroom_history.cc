#include "coordination/headroom_history.h"

#include <algorithm>

namespace lacewing {

namespace {

// Older minima are merged beyond this, which can only make a refund smaller.
constexpr size_t maximumEntries = 24;

} // namespace

HeadroomHistory::Mark HeadroomHistory::note(int64_t headroom)
{
    while (!m_entries.empty() && m_entries.back().headroom >= headroom)
        m_entries.pop_back();
    m_entries.push_back({ ++m_lastMark, headroom });
    if (m_entries.size() > maximumEntries) {
        m_entries[1].headroom = m_entries[0].headroom;
        m_entries.erase(m_entries.begin());
    }
    return m_lastMark;
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
