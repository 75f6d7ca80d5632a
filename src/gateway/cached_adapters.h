#pragma once

#include "gateway/engine_summary.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace lacewing::gateway {

/// Adapters that an engine has dropped and of which it still keeps copies, so that it loads them again
/// without the weight store.
///
/// Load pattern: many adapters are asked for now and then. The engine that held one before loads it in a
/// tenth of the time, and the store is spared.
class CachedAdapters {
public:
    /// The engine has dropped an adapter.
    void unloaded(const AdapterRef& adapter)
    {
        m_adapters.erase(std::remove(m_adapters.begin(), m_adapters.end(), adapter), m_adapters.end());
        m_adapters.push_back(adapter);
        if (m_adapters.size() > capacity)
            m_adapters.pop_front();
    }

    /// Learns from two descriptions of the engine, one after the other, what it has dropped between them.
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
    /// Copies that engines keep; a few less than they do, since some drops are learned late.
    static constexpr size_t capacity = 30;

    /// The latest last.
    std::deque<AdapterRef> m_adapters;
};

} // namespace lacewing::gateway
