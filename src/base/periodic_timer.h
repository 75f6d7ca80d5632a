#pragma once

#include "base/scheduler.h"

#include <functional>
#include <utility>

namespace lacewing {

/// Runs a callback periodically until it is stopped or destroyed.
class PeriodicTimer {
public:
    /// @param interval called each time the timer is armed, so that the interval may vary.
    PeriodicTimer(Scheduler& scheduler, std::function<Duration()> interval, std::function<void()> callback)
        : m_scheduler(scheduler)
        , m_interval(std::move(interval))
        , m_callback(std::move(callback))
    {
    }
    ~PeriodicTimer() { stop(); }
    PeriodicTimer(const PeriodicTimer&) = delete;
    PeriodicTimer& operator=(const PeriodicTimer&) = delete;

    /// Starts or restarts the timer. The callback runs first after one interval.
    void start()
    {
        stop();
        m_timer = m_scheduler.runAfter(m_interval(), [this] {
            m_timer = 0;
            start();
            m_callback();
        });
    }
    void stop()
    {
        if (m_timer)
            m_scheduler.cancel(std::exchange(m_timer, 0));
    }

private:
    Scheduler& m_scheduler;
    std::function<Duration()> m_interval;
    std::function<void()> m_callback;
    TimerId m_timer = 0;
};

} // namespace lacewing
