#pragma once

#include "affinity/prompt_prefixes.h"
#include "base/ids.h"
#include "gateway/run_request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway {

/// Models an engine's prefix cache from the runs that its owner granted.
///
/// Load pattern: prompts are long and share prefixes. A part that is cached for the same adapter, together
/// with all parts before it, is not prefilled again, so a run costs only its uncached tokens. The least
/// recently used parts are evicted when the cache is full.
class PrefixCacheModel {
public:
    /// @param capacity size of the engine's prefix cache in tokens.
    void setCapacity(Tokens capacity);
    /// @return tokens of the prompt's longest cached prefix.
    Tokens cachedTokens(const AdapterRef& adapter, const std::vector<PromptPart>& parts) const;
    /// Records that the engine has prefilled a prompt and caches its parts.
    void promptProcessed(const AdapterRef& adapter, const std::vector<PromptPart>& parts);
    /// Removes the entries of an adapter that the engine has unloaded.
    void forget(const AdapterRef& adapter);
    Tokens used() const { return m_used; }
    /// @param room tokens that running requests leave for kept parts.
    /// @return at most `limit` prefixes that more than one request has used and that fit into the room, the
    ///     most recently used first.
    std::vector<affinity::PrefixFingerprint> sharedPrefixes(Tokens room, size_t limit) const;

private:
    struct Entry {
        uint64_t key = 0;
        uint64_t adapter = 0;
        Tokens tokens;
        /// Requests that have used the part, counted up to the number that makes it a shared one.
        int uses = 0;
    };
    /// Ordered from the most to the least recently used.
    using Entries = std::list<Entry>;

    void evict();
    void erase(Entries::iterator entry);

    Tokens m_capacity;
    Tokens m_used;
    Entries m_entries;
    std::unordered_map<uint64_t, Entries::iterator> m_byKey;
};

} // namespace lacewing::gateway
