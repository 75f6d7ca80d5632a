#pragma once

#include "gateway/run_request.h"

#include <vector>

namespace lacewing::gateway {

/// An adapter of an engine as its owner tells the other hosts.
struct AdapterSummary {
    AdapterRef adapter;
    bool isLoading = false;
};

/// What an owner tells the other hosts about an engine.
struct EngineSummary {
    UpstreamId engine;
    /// It answers its owner and holds a model.
    bool isUsable = false;
    std::vector<ModelId> models;
    /// Time to read the prompts that wait or are being read.
    Duration prefillBacklog {};
    /// How fast it reads prompts.
    double promptTokensPerMillisecond = 0;
    int running = 0;
    int waiting = 0;
    /// Places that are free or hold an adapter without a request.
    int openSlots = 0;
    /// How long a further adapter would wait before it is fetched.
    Duration fetchWait {};
    std::vector<AdapterSummary> adapters;
};

} // namespace lacewing::gateway
