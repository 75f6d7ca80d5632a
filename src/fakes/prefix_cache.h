#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// An engine's cache of processed prompt prefixes, in blocks of 16 tokens (64 bytes). The id of a block is
/// the FNV-1a hash of "<identity>\n" and the text from its beginning to the end of the block, so a block is
/// only shared by prompts of the same adapter and version with the same beginning.
class PrefixCache {
public:
    static constexpr int64_t blockTokens = 16;
    static constexpr size_t blockBytes = 64;

    explicit PrefixCache(int64_t capacityTokens);

    /// @return the ids of the whole blocks of a text.
    static std::vector<uint64_t> blocksOf(const std::string& identity, const std::string& text);

    /// Marks the cached blocks at the beginning of the list as used.
    ///
    /// @return how many tokens they hold.
    int64_t use(const std::vector<uint64_t>& blocks);

    /// Stores blocks and evicts those that were not used for longest.
    ///
    /// @param stored, evicted receive the ids of the blocks that are new and gone.
    void store(
        const std::vector<uint64_t>& blocks, std::vector<uint64_t>& stored, std::vector<uint64_t>& evicted);

    int64_t cachedTokens() const { return static_cast<int64_t>(m_blocks.size()) * blockTokens; }

private:
    using Order = std::list<uint64_t>;

    size_t m_capacityBlocks;
    /// Least recently used first.
    Order m_order;
    std::unordered_map<uint64_t, Order::iterator> m_blocks;
};

} // namespace lacewing
