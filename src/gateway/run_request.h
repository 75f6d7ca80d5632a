#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// Number of one request for a place on an engine, unique for the host that asks.
using RunId = StrongNumber<struct RunIdTag>;

/// An adapter of a model; the adapter is empty for the model's own weights.
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

/// A part of a prompt that other prompts may share.
struct PromptPart {
    /// Hash of the part's name.
    uint64_t id = 0;
    Tokens tokens;
};

/// Which run of which host.
struct RunKey {
    HostId host;
    RunId run;

    friend bool operator==(const RunKey& a, const RunKey& b) { return a.run == b.run && a.host == b.host; }
    friend bool operator<(const RunKey& a, const RunKey& b)
    {
        return a.run != b.run ? a.run < b.run : a.host < b.host;
    }
};

/// A request that wants to run on an engine.
struct RunRequest {
    RunKey key;
    AdapterRef adapter;
    Tokens prompt;
    /// The parts of the prompt in order, if they are known.
    std::vector<PromptPart> parts;
    /// Most tokens that it may generate.
    Tokens output;
    /// Rank; 0 is the most urgent.
    int priority = 0;
    /// Longest pause between two events of an answer on time; zero if there is no such limit.
    Duration targetPause {};
    /// A start after this time gives a late answer.
    MonotonicTime onTimeStart;
    /// A start after this time is of no use to the caller.
    MonotonicTime latestStart;
};

/// Why an engine's owner does not let a request run.
enum class RunRefusal {
    /// No start is expected in time.
    Overloaded,
    /// The host does not own the engine.
    NotOwner,
    /// The engine is leaving or gone.
    EngineLeaving,
    /// The engine does not answer its owner, or holds no model yet.
    EngineUnusable,
};

/// @return the reason's name in snake_case, for logs and metrics.
const char* toString(RunRefusal reason);

/// Permission to send a request to an engine.
struct RunGrant {
    RunKey key;
    /// Order of admission at the engine, from 0 for first to 9 for last.
    int urgency = 5;
    /// Version of the adapter that must serve the request, if one was named.
    std::optional<int64_t> version;
};

struct RunDenial {
    RunKey key;
    RunRefusal reason = RunRefusal::Overloaded;
    /// When a start is expected to be possible.
    Duration retryAfter {};
    /// What the owner expected the wait to be.
    Duration expectedWait {};
};

enum class RunOutcome {
    /// The engine answered, or the caller left.
    Finished,
    /// The engine does not hold the adapter, or is still loading it.
    AdapterMissing,
    /// The engine could not be reached or broke off.
    EngineFailed,
};

/// How a run that was granted ended.
struct RunEnding {
    RunOutcome outcome = RunOutcome::Finished;
    /// Longest pause between two events of its answer.
    Duration longestPause {};
};

} // namespace lacewing::gateway
