#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/run_request.h"

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
    /// Requests failed there lately without an answer.
    bool isSuspect = false;
    Duration prefillBacklog {};
    /// How long an adapter that is not present would wait before it is fetched.
    Duration fetchWait {};
    int openPlaces = 0;
    int waiting = 0;
};

/// Orders engines for a request by the expected time to its first event.
///
/// Load pattern: few adapters get most requests and many get few. Each adapter has a home engine by
/// rendezvous hashing, so that rarely asked ones are loaded where a copy was left before and popular ones
/// fill large batches. When the prompts queued at a popular adapter's engines would make a request late, a
/// further copy becomes cheaper than waiting and the next engine of its ranking gets one.
class EngineChooser {
public:
    /// @return the engines that can serve the request, best first.
    static std::vector<UpstreamId> rank(
        const AdapterRef& adapter, const std::vector<EngineCandidate>& candidates);

private:
    static Duration cost(const EngineCandidate& candidate, bool needsAdapter, size_t homeRank);
};

} // namespace lacewing::gateway
