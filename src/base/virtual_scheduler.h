#pragma once

#include "base/scheduler.h"

#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewing {

/// Scheduler on virtual time for tests and simulations. Timers that expire at the same time run in the order
/// of their creation, so that runs with the same seed are identical.
class VirtualScheduler : public Scheduler {
public:
    MonotonicTime now() const override { return m_now; }
    TimerId runAfter(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    /// Advances the clock by the given duration and runs all timers that expire on the way.
    void advance(Duration duration);

    /// Advances the clock to the next timer and runs it.
    ///
    /// @return false if no timer is pending.
    bool runNext();

    /// @return the number of pending timers.
    size_t pendingCount() const { return m_callbacks.size(); }

private:
    using Due = std::pair<MonotonicTime, TimerId>;

    void dropCancelled();

    MonotonicTime m_now {};
    TimerId m_nextTimer = 1;
    /// May contain cancelled timers, which no longer have a callback.
    std::priority_queue<Due, std::vector<Due>, std::greater<Due>> m_due;
    std::unordered_map<TimerId, std::function<void()>> m_callbacks;
};

} // namespace lacewing
