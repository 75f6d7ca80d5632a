#pragma once

#include "base/scheduler.h"

#include <map>
#include <unordered_map>

namespace lacewing {

/// Scheduler of a simulated daemon that can be paused like a stopped process. While it is paused, its clock
/// advances but no timers run; timers that expired during the pause run in order after it resumes. Destroying
/// the scheduler cancels all timers, as when a process is killed.
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
    /// Timers that expired during the pause, in order of expiry.
    std::map<uint64_t, TimerId> m_overdue;
    uint64_t m_overdueCount = 0;
};

} // namespace lacewing
