#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <limits>
#include <map>

namespace lacewing::overload {

/// A request that waits for its start on an engine, or that has just asked for one.
struct QueuedRequest {
    /// 0 is the most urgent.
    int priority = 0;
    /// Prompt tokens that the engine has to read.
    Tokens prompt;
    /// Empty if the workspace is unknown.
    WorkspaceId workspace;
    MonotonicTime arrival;
    /// Latest start for an answer that is on time.
    MonotonicTime onTimeStart;
    /// Latest start that is useful to the caller.
    MonotonicTime latestStart;
    /// When the request's adapter can be used.
    MonotonicTime readyAt;
    /// The request has not been admitted yet.
    bool isNew = false;
};

/// What the start of a queued request depends on besides the queue.
struct EngineState {
    /// Prompt tokens of granted runs that the engine has not read, by the run's level. See
    /// OverloadQueue::lateLevel for runs that were granted late.
    std::map<int, Tokens> backlog;
    double tokensPerMillisecond = 1;
    /// Runs that the engine can take at once.
    int freePlaces = std::numeric_limits<int>::max();
    /// Mean time between the ends of two runs.
    Duration placeInterval {};
    /// Prompt tokens of the granted runs that have not ended.
    std::map<WorkspaceId, Tokens> running;
};

} // namespace lacewing::overload
