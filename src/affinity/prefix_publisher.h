#pragma once

#include "affinity/prefix_digest.h"
#include "base/clock.h"

namespace lacewing::affinity {

/// What an engine keeps of prompts that more than one request has used.
struct SharedPrefixes {
    /// The most recently used first.
    std::vector<PrefixFingerprint> recent;
    /// Share of the engine's memory that running requests take, from 0 to 1.
    double memoryFill = 0;
};

/// Decides when the owner of an engine publishes another digest.
///
/// Load pattern: each request changes the order in which an engine's prefixes were used, and an engine may
/// keep more prefixes than a digest can name. Heartbeats go to all hosts, and bytes between data centres are
/// priced, so a digest is sent only if its prefixes have changed, and only after minimumInterval. A published
/// prefix stays until it is evicted or twice as many prefixes as fit have been used more recently; otherwise
/// the prefixes around the bound would alternate.
class PrefixPublisher {
public:
    static constexpr Duration minimumInterval = std::chrono::seconds(2);
    /// An unchanged digest is sent again after this time, for peers that have lost it: a host that owned the
    /// engine in between replaces it.
    static constexpr Duration refreshInterval = std::chrono::seconds(30);
    /// Number of the most recently used prefixes among which a published one stays.
    static constexpr size_t consideredSize = 2 * PrefixDigest::maximumSize;

    /// @return the statement for a heartbeat to all peers, without the digest if they have it.
    PrefixStatement stateToAll(const SharedPrefixes& shared, MonotonicTime now);
    /// @return the statement for a peer that has no earlier one. Later statements to all continue it.
    PrefixStatement stateToNewPeer(const SharedPrefixes& shared) const;

private:
    /// @return the digest to publish instead of the current one.
    PrefixDigest choose(const std::vector<PrefixFingerprint>& recent) const;

    PrefixDigest m_digest;
    /// Time when the digest was last sent to all; nothing before the first one.
    std::optional<MonotonicTime> m_sent;
};

} // namespace lacewing::affinity
