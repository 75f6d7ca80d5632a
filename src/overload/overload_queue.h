#pragma once

#include "overload/queued_request.h"
#include "overload/return_schedule.h"

#include <cstddef>
#include <limits>
#include <vector>

namespace lacewing::overload {

/// Which requests of a queue start, in which order, and which cannot start in time.
struct QueuePlan {
    struct Denial {
        /// Index in the planned requests.
        size_t index = 0;
        Duration expectedWait {};
    };

    /// Indices of the requests that go on waiting, first to start first.
    std::vector<size_t> order;
    std::vector<Denial> denials;
};

/// Plans the queue of one engine from the point of view of the whole queue.
///
/// Load pattern: a burst of the least urgent class, a workspace far above its share, and lost engines at the
/// same time. More urgent requests have less time, so they must not be refused because of the less urgent
/// ones before them; less urgent ones that no longer start in time are refused early.
///
/// Has no clock and does no I/O.
class OverloadQueue {
public:
    /// Level of requests that can no longer be on time; after all others.
    static constexpr int lateLevel = std::numeric_limits<int>::max();

    /// Counts an admitted request, which requests of later levels may have to let pass.
    void admitted(int priority, Tokens prompt, MonotonicTime now);

    QueuePlan plan(const std::vector<QueuedRequest>& requests, const EngineState& engine,
        const ReturnSchedule& returns, MonotonicTime now) const;

    /// @return the level in the order: the priority, less what a long wait adds.
    static int level(const QueuedRequest& request, MonotonicTime now);

private:
    struct Simulation;

    /// @return the factor by which requests that arrive later prolong the wait of a level.
    double overtakingFactor(int level, double tokensPerMillisecond, MonotonicTime now) const;

    /// Tokens of the requests that were admitted lately, by priority; decays.
    std::vector<double> m_recentTokens;
    MonotonicTime m_recentAt;
};

} // namespace lacewing::overload
