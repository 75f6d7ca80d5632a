#include "gateway/prefix_cache_model.h"

#include "base/stable_hash.h"

namespace lacewing::gateway {

namespace {

/// Limit on the parts tracked per engine, independent of their length.
constexpr size_t maximumParts = 4096;

uint64_t hashOf(const AdapterRef& adapter)
{
    return stableHash(adapter.model.value() + '/' + adapter.adapter.value());
}

/// Hashes a part together with all parts before it, since it can be reused only after the same prefix.
uint64_t chainedHash(uint64_t before, uint64_t part)
{
    constexpr uint64_t multiplier = 0x9e3779b97f4a7c15ULL;
    const uint64_t mixed = (before ^ (before >> 29)) * multiplier + part;
    return mixed ^ (mixed >> 32);
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
    uint64_t key = hashOf(adapter);
    for (const PromptPart& part : parts) {
        key = chainedHash(key, part.id);
        if (m_byKey.count(key) == 0)
            break;
        cachedTokens += part.tokens;
    }
    return cachedTokens;
}

void PrefixCacheModel::promptProcessed(const AdapterRef& adapter, const std::vector<PromptPart>& parts)
{
    const uint64_t owner = hashOf(adapter);
    std::vector<uint64_t> keys;
    uint64_t key = owner;
    for (const PromptPart& part : parts) {
        key = chainedHash(key, part.id);
        keys.push_back(key);
    }
    // Inserted from last to first: later parts depend on the first one, so it must be evicted last.
    for (size_t index = parts.size(); index-- > 0;) {
        const auto known = m_byKey.find(keys[index]);
        if (known != m_byKey.end()) {
            m_entries.splice(m_entries.begin(), m_entries, known->second);
            continue;
        }
        m_entries.push_front({ keys[index], owner, parts[index].tokens });
        m_byKey[keys[index]] = m_entries.begin();
        m_used += parts[index].tokens;
    }
    evict();
}

void PrefixCacheModel::forget(const AdapterRef& adapter)
{
    const uint64_t owner = hashOf(adapter);
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
