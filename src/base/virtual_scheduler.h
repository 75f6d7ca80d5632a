#pragma once

#include "base/scheduler.h"

#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewing {

/// A scheduler on virtual time, for tests and simulations. Timers that are due at the same time run in the
/// order in which they were set, so a run with the same seed repeats exactly.
class VirtualScheduler : public Scheduler {
public:
    MonotonicTime now() const override { return m_now; }
    TimerId runAfter(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    /// Runs all timers that fall due within the given time, then sets the clock to its end.
    void advance(Duration duration);

    /// Jumps to the next timer and runs it.
    ///
    /// @return false if there is none.
    bool runNext();

    /// @return the number of pending timers.
    size_t pendingCount() const { return m_callbacks.size(); }

private:
    using Due = std::pair<MonotonicTime, TimerId>;

    void dropCancelled();

    MonotonicTime m_now {};
    TimerId m_nextTimer = 1;
    /// May hold cancelled timers, which have no callback any more.
    std::priority_queue<Due, std::vector<Due>, std::greater<Due>> m_due;
    std::unordered_map<TimerId, std::function<void()>> m_callbacks;
};

} // namespace lacewing
