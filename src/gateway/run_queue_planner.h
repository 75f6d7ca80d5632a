#pragma once

#include "gateway/run_request.h"
#include "overload/overload_queue.h"

#include <functional>
#include <vector>

namespace lacewing::gateway {

/// Applies overload::OverloadQueue and overload::ReturnSchedule to an engine's waiting requests.
///
/// Has no clock and does no I/O.
class RunQueuePlanner {
public:
    /// The engine whose queue is planned.
    struct Engine {
        overload::EngineState state;
        /// @return the prompt tokens of a request that the engine has to read.
        std::function<Tokens(const RunRequest& request)> promptTokens;
        /// @return when a request's adapter can be used.
        std::function<MonotonicTime(const RunRequest& request)> readyAt;
    };

    /// Prepares a request that has just arrived for plan().
    void arrived(RunRequest& request, MonotonicTime now);
    /// Records the end of a run, which shows how soon another place becomes free.
    void runEnded(Duration runTime);
    /// @return mean time from a grant to the end of the run; zero if it is not known yet.
    Duration runTime() const { return m_runTime; }

    /// Orders the waiting requests and moves those that can't start in time to the denials.
    ///
    /// @param newcomer whether the last request has just arrived.
    void plan(std::vector<RunRequest>& waiting, bool newcomer, const Engine& engine, MonotonicTime now,
        std::vector<RunDenial>& denials);

    /// Orders waiting requests by their on-time start, each priority as if it were a fixed step later.
    static void sortByStart(std::vector<RunRequest>& waiting, MonotonicTime now);

    /// @return the level of a request's run at the engine.
    static int level(const RunRequest& request, MonotonicTime now);
    /// @return the same regardless of how long the request has waited.
    static int plainLevel(const RunRequest& request, MonotonicTime now);
    /// @return the engine's scheduling urgency for a run of a level, from 0 (first) to 9 (last).
    static int urgency(int level);
    /// @return the level at which a request's adapter is loaded: the priority, and 0 after a long wait, so
    /// that a rare adapter is not passed over because others have more requests.
    static int loadLevel(const RunRequest& request, MonotonicTime now);

private:
    RunDenial deny(const RunRequest& request, Duration expectedWait, Tokens prompt, Tokens workAhead,
        double tokensPerMillisecond, MonotonicTime now);

    overload::OverloadQueue m_queue;
    overload::ReturnSchedule m_returns;
    /// Moving average of the time from a grant to the end of the run.
    Duration m_runTime {};
};

} // namespace lacewing::gateway
