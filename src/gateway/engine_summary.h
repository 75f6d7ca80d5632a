#pragma once

#include "affinity/prefix_digest.h"
#include "gateway/run_request.h"

#include <vector>

namespace lacewing::gateway {

/// Orders until an adapter can be used: to unload another one, to load it, and to learn that it is loaded.
/// They count against the limit of requests that an engine states.
constexpr int ordersForLoad = 3;

/// State of an adapter as the engine's owner publishes it to the other hosts.
struct AdapterSummary {
    AdapterRef adapter;
    bool isLoading = false;
};

/// State of an engine as its owner publishes it to the other hosts.
struct EngineSummary {
    UpstreamId engine;
    /// The engine answers its owner and holds a model.
    bool isUsable = false;
    std::vector<ModelId> models;
    /// Expected time to prefill the prompts that are queued or in progress.
    Duration prefillBacklog {};
    /// Estimated prefill rate, at the mean slowdown.
    double promptTokensPerMillisecond = 0;
    /// The engine states how much it is slowed.
    bool statesSlowdown = false;
    /// Present slowdown in multiples of the mean slowdown.
    double slowdown = 1;
    double meanSlowdown = 1;
    int running = 0;
    int waiting = 0;
    /// Adapter slots that are free or hold an idle adapter.
    int openSlots = 0;
    /// Expected wait before a further fetch starts.
    Duration fetchWait {};
    /// Time until a further request can start within the limit that the engine states.
    Duration limitWait {};
    /// Time between two starts within that limit; zero without a limit.
    Duration startInterval {};
    std::vector<AdapterSummary> adapters;
    /// What the engine keeps of prompts; nothing if the owner doesn't state it.
    std::optional<affinity::PrefixStatement> prefixes;
};

} // namespace lacewing::gateway
