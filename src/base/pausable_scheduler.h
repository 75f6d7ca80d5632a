#pragma once

#include "base/scheduler.h"

#include <map>
#include <unordered_map>

namespace lacewing {

/// The scheduler of one simulated daemon. While the daemon is paused its timers don't run, but its clock goes
/// on; those that fell due run in order after it resumes. Destroying the scheduler drops all timers, as when
/// a process is killed.
class PausableScheduler : public Scheduler {
public:
    /// @param scheduler must outlive the object.
    explicit PausableScheduler(Scheduler& scheduler)
        : m_scheduler(scheduler)
    {
    }
    ~PausableScheduler() override;
    PausableScheduler(const PausableScheduler&) = delete;
    PausableScheduler& operator=(const PausableScheduler&) = delete;

    MonotonicTime now() const override { return m_scheduler.now(); }
    TimerId runAfter(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    void setPaused(bool paused);
    bool isPaused() const { return m_paused; }

private:
    struct Timer {
        TimerId inner = 0;
        std::function<void()> callback;
    };

    void onTimerDue(TimerId timer);

    Scheduler& m_scheduler;
    bool m_paused = false;
    TimerId m_nextTimer = 1;
    std::unordered_map<TimerId, Timer> m_timers;
    /// Timers that fell due during the pause, in order.
    std::map<uint64_t, TimerId> m_overdue;
    uint64_t m_overdueCount = 0;
};

} // namespace lacewing
