#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "gateway/engine_summary.h"

#include <vector>

namespace lacewing::gateway {

/// What a host knows of an engine when it routes a request.
struct EngineCandidate {
    UpstreamId engine;
    bool isInCallersDataCentre = false;
    /// The engine's owner is reachable, so adapters can be loaded there.
    bool hasOwner = false;
    bool holdsAdapter = false;
    bool isLoadingAdapter = false;
    /// It keeps a cached copy of the adapter that it unloaded, so no fetch is needed.
    bool hasCopy = false;
    /// Recent requests to it failed without an answer.
    bool isSuspect = false;
    Duration prefillBacklog {};
    /// Interval between two updates of the engine's state.
    Duration updateInterval {};
    /// Expected wait until the fetch of an adapter that is not loaded could start.
    Duration fetchWait {};
    /// Expected wait for a start within the limit that the engine states.
    Duration limitWait {};
    /// Time between two starts or orders within that limit; zero without a limit.
    Duration startInterval {};
    int openSlots = 0;
    int waiting = 0;
    /// The engine states how much it is slowed.
    bool statesSlowdown = false;
    /// Expected time to prefill the request's own prompt from now on, and at the mean slowdown.
    Duration promptTime {};
    Duration promptTimeAtMean {};
    /// Time that the engine saves because it keeps the beginning of the prompt, net of what a further copy
    /// evicts; see affinity::PrefixAffinity.
    Duration prefixSaving {};
    /// Prefill rate as the owner estimates it; 0 if it is not known.
    double promptTokensPerMillisecond = 0;

    /// Sets the time that the request's own prompt takes.
    ///
    /// @param summary last state of the engine that its owner published.
    /// @param age of the summary.
    void setPromptTime(Tokens prompt, const EngineSummary& summary, Duration age);
    /// Copies the owner's summary of the engine and the state of the adapter.
    void applySummary(const EngineSummary& summary, const AdapterRef& adapter);
};

/// Ranks engines for a request by the expected time to its first event.
///
/// Load pattern: few adapters get most requests and many get few. Each adapter has a home engine by
/// rendezvous hashing, so that rarely requested adapters are loaded where a cached copy is likely to remain
/// and popular ones fill large batches. When the prefill backlog at a popular adapter's engines would make a
/// request late, a further replica becomes cheaper than waiting and is placed on the next engine of the
/// adapter's ranking. An engine that unloaded the adapter recently ranks before those that would have to
/// fetch it.
///
/// An engine in need may state how many requests a second it takes. It then costs the wait for the next
/// start, and the starts that the orders for a load take, so that other engines get what it can't take.
///
/// Engines that state how much they are slowed may differ in speed. In a service with such engines the time
/// that the request's own prompt takes at each engine is added, so that fast engines get more work and a slow
/// one gets no long prompts. An engine that has to load the adapter first counts at its mean slowdown, since
/// the present one is over by then.
///
/// In a large fleet all hosts see the same engine as the least loaded one until its owner publishes its
/// backlog again, and would all send to it meanwhile (herding). Each request therefore adds a random error to
/// the cost of the engines that hold its adapter, as large as the prompts that an engine can prefill between
/// two updates.
class EngineChooser {
public:
    /// @param random breaks ties between engines whose backlogs differ by less than one update interval.
    /// @return the engines that can serve the request, best first.
    static std::vector<UpstreamId> rank(
        const AdapterRef& adapter, const std::vector<EngineCandidate>& candidates, Random& random);

private:
    static Duration cost(
        const EngineCandidate& candidate, bool needsAdapter, size_t homeRank, Random& random);
    static Duration promptCost(const EngineCandidate& candidate, bool needsAdapter);
};

} // namespace lacewing::gateway
