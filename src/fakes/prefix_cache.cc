#include "fakes/prefix_cache.h"

#include "fakes/content_hash.h"

#include <algorithm>
#include <string_view>

namespace lacewing {

PrefixCache::PrefixCache(int64_t capacityTokens)
    : m_capacityBlocks(static_cast<size_t>(std::max<int64_t>(0, capacityTokens) / blockTokens))
{
}

std::vector<uint64_t> PrefixCache::blocksOf(const std::string& identity, const std::string& text)
{
    std::vector<uint64_t> blocks;
    const std::string_view bytes = text;
    uint64_t state = hashBytes(identity + "\n");
    for (size_t begin = 0; begin + blockBytes <= bytes.size(); begin += blockBytes) {
        state = hashBytes(bytes.substr(begin, blockBytes), state);
        blocks.push_back(state);
    }
    return blocks;
}

int64_t PrefixCache::use(const std::vector<uint64_t>& blocks)
{
    int64_t tokens = 0;
    for (const uint64_t block : blocks) {
        const auto found = m_blocks.find(block);
        if (found == m_blocks.end())
            break;
        m_order.splice(m_order.end(), m_order, found->second);
        tokens += blockTokens;
    }
    return tokens;
}

void PrefixCache::store(
    const std::vector<uint64_t>& blocks, std::vector<uint64_t>& stored, std::vector<uint64_t>& evicted)
{
    // A chain longer than the cache keeps its beginning, because a later block is of no use without it.
    const size_t count = std::min(blocks.size(), m_capacityBlocks);
    for (size_t i = 0; i < count; ++i) {
        const auto found = m_blocks.find(blocks[i]);
        if (found != m_blocks.end()) {
            m_order.splice(m_order.end(), m_order, found->second);
            continue;
        }
        m_blocks[blocks[i]] = m_order.insert(m_order.end(), blocks[i]);
        stored.push_back(blocks[i]);
    }
    while (m_order.size() > m_capacityBlocks) {
        evicted.push_back(m_order.front());
        m_blocks.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace lacewing
