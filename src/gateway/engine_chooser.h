#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "gateway/engine_summary.h"

#include <vector>

namespace lacewing::gateway {

/// What an entry knows of an engine when it chooses one for a request.
struct EngineCandidate {
    UpstreamId engine;
    bool isInCallersDataCentre = false;
    /// The engine's owner can be asked, so that adapters can be loaded there.
    bool hasOwner = false;
    bool holdsAdapter = false;
    bool isLoadingAdapter = false;
    /// It has dropped the adapter and keeps a copy, so that no fetch is needed.
    bool hasCopy = false;
    /// Requests failed there lately without an answer.
    bool isSuspect = false;
    Duration prefillBacklog {};
    /// How long what is known of the engine stays without an update.
    Duration updateInterval {};
    /// How long an adapter that is not present would wait before it is fetched.
    Duration fetchWait {};
    int openSlots = 0;
    int waiting = 0;

    /// Takes over what the engine's owner tells about the engine and the adapter.
    void applySummary(const EngineSummary& summary, const AdapterRef& adapter);
};

/// Orders engines for a request by the expected time to its first event.
///
/// Load pattern: few adapters get most requests and many get few. Each adapter has a home engine by
/// rendezvous hashing, so that rarely asked ones are loaded where a copy was left before and popular ones
/// fill large batches. When the prompts queued at a popular adapter's engines would make a request late, a
/// further copy becomes cheaper than waiting and the next engine of its ranking gets one. An engine that
/// dropped the adapter a short time ago comes before those that would have to fetch it.
///
/// In a large fleet all entries see the same engine as the least busy one until its owner tells of its
/// backlog again, and would send it everything that comes meanwhile. Each request therefore judges the
/// engines that hold its adapter with an error of its own, as large as what an engine can read between two
/// updates.
class EngineChooser {
public:
    /// @param random decides between engines whose backlogs differ by less than an update may change.
    /// @return the engines that can serve the request, best first.
    static std::vector<UpstreamId> rank(
        const AdapterRef& adapter, const std::vector<EngineCandidate>& candidates, Random& random);

private:
    static Duration cost(
        const EngineCandidate& candidate, bool needsAdapter, size_t homeRank, Random& random);
};

} // namespace lacewing::gateway
