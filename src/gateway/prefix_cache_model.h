#pragma once

#include "base/ids.h"
#include "gateway/run_request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway {

/// The parts of prompts that an engine keeps, as far as its owner can tell from the runs that it granted.
///
/// Load pattern: prompts are long and share their first parts. A part that is kept for the same adapter, with
/// all parts before it, is not read again, so a run costs only what is not kept. The least recently used
/// parts yield when the memory is full.
class PrefixCacheModel {
public:
    /// @param capacity tokens that the engine keeps.
    void setCapacity(Tokens capacity);
    /// @return tokens of the prompt's leading parts that are kept.
    Tokens cachedTokens(const AdapterRef& adapter, const std::vector<PromptPart>& parts) const;
    /// The engine has read a prompt.
    void promptProcessed(const AdapterRef& adapter, const std::vector<PromptPart>& parts);
    /// The engine has dropped an adapter, and with it what it kept for it.
    void forget(const AdapterRef& adapter);
    Tokens used() const { return m_used; }

private:
    struct Entry {
        uint64_t key = 0;
        uint64_t adapter = 0;
        Tokens tokens;
    };
    /// The most recently used first.
    using Entries = std::list<Entry>;

    void evict();
    void erase(Entries::iterator entry);

    Tokens m_capacity;
    Tokens m_used;
    Entries m_entries;
    std::unordered_map<uint64_t, Entries::iterator> m_byKey;
};

} // namespace lacewing::gateway
