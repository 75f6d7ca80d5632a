#include "gateway/prefix_cache_model.h"

#include "affinity/prompt_prefixes.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// Limit on the parts tracked per engine, independent of their length.
constexpr size_t maximumParts = 4096;
/// A prefix is shared once so many requests have used it.
constexpr int sharedUses = 2;

using affinity::PrefixHasher;

PrefixHasher hasherOf(const AdapterRef& adapter)
{
    return { adapter.model, adapter.adapter };
}

} // namespace

void PrefixCacheModel::setCapacity(Tokens capacity)
{
    m_capacity = capacity;
    evict();
}

Tokens PrefixCacheModel::cachedTokens(const AdapterRef& adapter, const std::vector<PromptPart>& parts) const
{
    Tokens cachedTokens;
    PrefixHasher key = hasherOf(adapter);
    for (const PromptPart& part : parts) {
        key.append(part.id);
        if (m_byKey.count(key.hash()) == 0)
            break;
        cachedTokens += part.tokens;
    }
    return cachedTokens;
}

void PrefixCacheModel::promptProcessed(const AdapterRef& adapter, const std::vector<PromptPart>& parts)
{
    PrefixHasher key = hasherOf(adapter);
    const uint64_t owner = key.hash();
    std::vector<uint64_t> keys;
    for (const PromptPart& part : parts) {
        key.append(part.id);
        keys.push_back(key.hash());
    }
    // Inserted from last to first: later parts depend on the first one, so it must be evicted last.
    for (size_t index = parts.size(); index-- > 0;) {
        const auto known = m_byKey.find(keys[index]);
        if (known != m_byKey.end()) {
            m_entries.splice(m_entries.begin(), m_entries, known->second);
            known->second->uses = std::min(known->second->uses + 1, sharedUses);
            continue;
        }
        m_entries.push_front({ keys[index], owner, parts[index].tokens, 1 });
        m_byKey[keys[index]] = m_entries.begin();
        m_used += parts[index].tokens;
    }
    evict();
}

std::vector<affinity::PrefixFingerprint> PrefixCacheModel::sharedPrefixes(Tokens room, size_t limit) const
{
    std::vector<affinity::PrefixFingerprint> shared;
    Tokens listed;
    for (const Entry& entry : m_entries) {
        listed += entry.tokens;
        if (listed > room || shared.size() == limit)
            break;
        if (entry.uses >= sharedUses)
            shared.push_back(PrefixHasher::fingerprintOf(entry.key));
    }
    return shared;
}

void PrefixCacheModel::forget(const AdapterRef& adapter)
{
    const uint64_t owner = hasherOf(adapter).hash();
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto current = entry++;
        if (current->adapter == owner)
            erase(current);
    }
}

void PrefixCacheModel::evict()
{
    while (!m_entries.empty() && (m_used > m_capacity || m_entries.size() > maximumParts))
        erase(std::prev(m_entries.end()));
}

void PrefixCacheModel::erase(Entries::iterator entry)
{
    m_used -= entry->tokens;
    m_byKey.erase(entry->key);
    m_entries.erase(entry);
}

} // namespace lacewing::gateway
