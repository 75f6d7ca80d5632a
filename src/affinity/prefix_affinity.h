#pragma once

#include "affinity/prefix_digest.h"
#include "base/clock.h"

namespace lacewing::affinity {

/// Weighs what an engine keeps of a request's prompt against the request's wait there.
///
/// Load pattern: prompts share their beginnings, and a popular adapter has several replicas. A request that
/// goes to the replica that keeps its beginning is read faster, and the other replicas don't spend memory on
/// a further copy. But the replica that keeps the most also has the longest queue.
///
/// The saving is the time for reading the kept tokens, multiplied by the chance that they are still kept when
/// the request is read. It is 0 at an engine that can't start the request on time. From it is subtracted what
/// a copy of the shared beginning evicts where it is not kept.
class PrefixAffinity {
public:
    /// The request to be placed.
    struct Request {
        PromptPrefixes prefixes;
        /// Length of the whole prompt.
        Tokens prompt;
        /// Time until the first event is late.
        Duration timeUntilLate {};
    };

    /// An engine that could run the request.
    struct Engine {
        /// Empty if the engine does not hold the request's adapter.
        PrefixDigest digest;
        /// Time since the owner stated the digest.
        Duration age {};
        /// Share of the engine's memory that running requests take.
        double memoryFill = 0;
        /// Expected wait until the engine could read the request.
        Duration wait {};
        double tokensPerMillisecond = 0;
    };

    explicit PrefixAffinity(Request request)
        : m_request(std::move(request))
    {
    }

    /// Learns from an engine's digest which beginning of the prompt is shared. All engines must be observed
    /// before the first netSaving().
    void observe(const Engine& engine);
    /// @return length of the prompt's beginning that an engine keeps and other requests have used.
    Tokens sharedTokens() const { return m_sharedTokens; }

    /// @return the time that the kept beginning saves, less the cost of what a further copy evicts; negative
    ///     if the cost is higher.
    Duration netSaving(const Engine& engine) const;

private:
    /// @return length of the prompt's beginning that the engine keeps. Callers state the lengths of parts, so
    ///     it is bounded by that of the prompt.
    Tokens keptTokens(const Engine& engine) const;
    Duration saving(const Engine& engine, Tokens kept) const;
    Duration copyCost(const Engine& engine, Tokens kept) const;

    Request m_request;
    Tokens m_sharedTokens;
};

} // namespace lacewing::affinity
