#pragma once

#include "affinity/prompt_prefixes.h"

#include <optional>

namespace lacewing::affinity {

/// The prefixes that an engine keeps and that more than one request has used, as its owner publishes them.
/// Bounded, since heartbeats carry it to all hosts.
class PrefixDigest {
public:
    static constexpr size_t maximumSize = 32;

    PrefixDigest() = default;
    /// @param fingerprints the most recently used first; those beyond maximumSize are dropped.
    explicit PrefixDigest(std::vector<PrefixFingerprint> fingerprints);

    /// @param bytes four for each fingerprint, the most significant first.
    /// @return nothing if the bytes are no whole number of fingerprints, or too many.
    static std::optional<PrefixDigest> fromBytes(const std::vector<uint8_t>& bytes);
    std::vector<uint8_t> toBytes() const;

    bool empty() const { return m_fingerprints.empty(); }
    size_t size() const { return m_fingerprints.size(); }
    bool contains(PrefixFingerprint fingerprint) const;
    /// @return whether the other digest has the same fingerprints, in any order.
    bool hasSamePrefixes(const PrefixDigest& other) const;
    /// @return length of the longest prefix that the digest names. The engine keeps the shorter ones as well.
    Tokens longestMatch(const PromptPrefixes& prompt) const;

private:
    std::vector<PrefixFingerprint> m_fingerprints;
};

/// What an engine's owner states about the prompts that the engine keeps.
struct PrefixStatement {
    /// Share of the engine's memory that running requests take, from 0 to 1.
    double memoryFill = 0;
    /// Nothing if it is as in the statement before.
    std::optional<PrefixDigest> digest;
};

} // namespace lacewing::affinity
