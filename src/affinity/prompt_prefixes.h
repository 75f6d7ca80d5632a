#pragma once

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace lacewing::affinity {

/// Identifies a prefix of a prompt together with the model and the adapter that it was read for. Different
/// prefixes may have the same fingerprint.
enum class PrefixFingerprint : uint32_t {};

/// Hashes the parts of a prompt one after the other. Each hash covers the adapter and all parts so far, since
/// an engine can reuse a part only after the same parts. The same on every host and in every release.
class PrefixHasher {
public:
    PrefixHasher(const ModelId& model, const AdapterId& adapter);

    void append(uint64_t part);
    uint64_t hash() const { return m_hash; }
    static PrefixFingerprint fingerprintOf(uint64_t hash);

private:
    uint64_t m_hash;
};

/// A prefix of a prompt, and its length from the start of the prompt.
struct PromptPrefix {
    PrefixFingerprint fingerprint {};
    Tokens tokens;
};

/// The prefixes of one prompt, the shortest first.
class PromptPrefixes {
public:
    PromptPrefixes(const ModelId& model, const AdapterId& adapter)
        : m_hasher(model, adapter)
    {
    }

    /// Adds the next part of the prompt.
    void append(uint64_t part, Tokens tokens);
    const std::vector<PromptPrefix>& all() const { return m_prefixes; }

private:
    PrefixHasher m_hasher;
    std::vector<PromptPrefix> m_prefixes;
};

} // namespace lacewing::affinity
