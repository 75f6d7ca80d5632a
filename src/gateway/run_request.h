#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// Identifies a request for a run on an engine; unique within the requesting host.
using RunId = StrongNumber<struct RunIdTag>;

/// An adapter of a base model; the adapter is empty for the base model itself.
struct AdapterRef {
    ModelId model;
    AdapterId adapter;

    friend bool operator==(const AdapterRef& a, const AdapterRef& b)
    {
        return a.model == b.model && a.adapter == b.adapter;
    }
    friend bool operator!=(const AdapterRef& a, const AdapterRef& b) { return !(a == b); }
    friend bool operator<(const AdapterRef& a, const AdapterRef& b)
    {
        return a.adapter != b.adapter ? a.adapter < b.adapter : a.model < b.model;
    }
};

/// A segment of a prompt that other prompts may share.
struct PromptPart {
    /// Hash of the part's name.
    uint64_t id = 0;
    Tokens tokens;
};

/// Identifies a run across hosts.
struct RunKey {
    HostId host;
    RunId run;

    friend bool operator==(const RunKey& a, const RunKey& b) { return a.run == b.run && a.host == b.host; }
    friend bool operator<(const RunKey& a, const RunKey& b)
    {
        return a.run != b.run ? a.run < b.run : a.host < b.host;
    }
};

/// A request to be admitted to an engine.
struct RunRequest {
    RunKey key;
    AdapterRef adapter;
    Tokens prompt;
    /// The parts of the prompt in order, if they are known.
    std::vector<PromptPart> parts;
    /// Maximum number of tokens to generate.
    Tokens output;
    /// Priority; 0 is the most urgent.
    int priority = 0;
    /// Longest pause between two events for which the answer is on time; zero if there is no such limit.
    Duration targetPause {};
    /// Latest start for an answer that is on time.
    MonotonicTime onTimeStart;
    /// Latest start that is useful to the caller.
    MonotonicTime latestStart;
    /// Empty if the route has no workspaces, or if the requesting host does not state it.
    WorkspaceId workspace;
    /// Longest time after which the caller comes back if the request is denied.
    Duration returnsWithin {};
    /// Set by the owner: when it got the request.
    MonotonicTime arrival;
    /// Set by the owner: its caller was told to come back at this time.
    bool isReturn = false;
};

/// Why an engine's owner denies a run.
enum class RunRefusal {
    /// No start is expected in time.
    Overloaded,
    /// The host does not own the engine.
    NotOwner,
    /// The engine is draining or gone.
    EngineLeaving,
    /// The engine does not answer its owner, or holds no model yet.
    EngineUnusable,
    /// The limit that the engine states permits no start in time.
    UpstreamLimit,
};

/// @return the reason's name in snake_case, for logs and metrics.
const char* toString(RunRefusal reason);

/// Permission to send a request to an engine.
struct RunGrant {
    RunKey key;
    /// Scheduling urgency at the engine, from 0 (first) to 9 (last).
    int urgency = 5;
    /// Required version of the adapter, if operators have released one.
    std::optional<int64_t> version = {};
    /// Only within the owner's host: see RunRequest::isReturn.
    bool isReturn = false;
    /// Length of the prompt, and how much of it the engine keeps. Only the owner knows them.
    Tokens promptTokens {};
    Tokens savedTokens {};
};

struct RunDenial {
    RunKey key;
    RunRefusal reason = RunRefusal::Overloaded;
    /// Suggested delay before a retry.
    Duration retryAfter {};
    /// Wait that the owner estimated.
    Duration expectedWait {};
    /// The owner expects the caller after retryAfter.
    bool isPromised = false;
    /// Only within the owner's host: priority of the request.
    std::optional<int> priority = {};
    /// Only within the owner's host: a newcomer has taken the place of the request, which had been admitted.
    bool isDisplaced = false;
    /// Only within the owner's host: see RunRequest::isReturn.
    bool isReturn = false;
};

/// @return a denial with what the owner knows of the request.
inline RunDenial denialOf(
    const RunRequest& request, RunRefusal reason, Duration retryAfter, Duration expectedWait)
{
    RunDenial denial { request.key, reason, retryAfter, expectedWait };
    denial.priority = request.priority;
    // A request that may only start on time is placed again at another engine.
    denial.isReturn = request.isReturn && request.latestStart > request.onTimeStart;
    return denial;
}

enum class RunOutcome {
    /// The engine answered, or the caller disconnected.
    Finished,
    /// The engine does not hold the adapter, or is still loading it.
    AdapterMissing,
    /// The engine was unreachable or aborted the answer.
    EngineFailed,
};

/// How a run that was granted ended.
struct RunEnding {
    RunOutcome outcome = RunOutcome::Finished;
    /// Longest pause between two events of the answer.
    Duration longestPause {};
    /// Slowdown that the engine stated in its response, unless it was reported with the first event.
    std::optional<double> slowdown = std::nullopt;
};

} // namespace lacewing::gateway
