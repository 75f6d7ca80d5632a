#pragma once

#include "gateway/engine_summary.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace lacewing::gateway {

/// Tracks the adapters that an engine has unloaded but still keeps as cached copies, which it can load again
/// without the weight store.
///
/// Load pattern: many adapters are requested occasionally. The engine that held one before loads it in a
/// tenth of the time, without load on the store.
class CachedAdapters {
public:
    /// Records that the engine has unloaded an adapter.
    void unloaded(const AdapterRef& adapter)
    {
        m_adapters.erase(std::remove(m_adapters.begin(), m_adapters.end(), adapter), m_adapters.end());
        m_adapters.push_back(adapter);
        if (m_adapters.size() > capacity)
            m_adapters.pop_front();
    }

    /// Derives what the engine has unloaded from two consecutive lists of its adapters.
    void observe(const std::vector<AdapterSummary>& before, const std::vector<AdapterSummary>& after)
    {
        for (const AdapterSummary& held : before) {
            const bool isStillHeld = std::any_of(after.begin(), after.end(),
                [&held](const AdapterSummary& other) { return other.adapter == held.adapter; });
            if (!isStillHeld && !held.isLoading)
                unloaded(held.adapter);
        }
    }

    bool has(const AdapterRef& adapter) const
    {
        return std::find(m_adapters.begin(), m_adapters.end(), adapter) != m_adapters.end();
    }

private:
    /// Slightly fewer than the copies that engines keep, since some unloads are learned late.
    static constexpr size_t capacity = 30;

    /// Ordered from the least to the most recently unloaded.
    std::deque<AdapterRef> m_adapters;
};

} // namespace lacewing::gateway
