#include "base/pausable_scheduler.h"

#include <utility>

namespace lacewing {

PausableScheduler::~PausableScheduler()
{
    for (const auto& [id, timer] : m_timers)
        m_scheduler.cancel(timer.inner);
}

TimerId PausableScheduler::runAfter(Duration delay, std::function<void()> callback)
{
    const TimerId id = m_nextTimer++;
    Timer& timer = m_timers[id];
    timer.callback = std::move(callback);
    timer.inner = m_scheduler.runAfter(delay, [this, id] { onTimerDue(id); });
    return id;
}

void PausableScheduler::cancel(TimerId id)
{
    const auto found = m_timers.find(id);
    if (found == m_timers.end())
        return;
    m_scheduler.cancel(found->second.inner);
    m_timers.erase(found);
}

void PausableScheduler::setPaused(bool paused)
{
    m_paused = paused;
    if (paused)
        return;
    for (const auto& [order, id] : std::exchange(m_overdue, {})) {
        const auto found = m_timers.find(id);
        if (found != m_timers.end())
            found->second.inner = m_scheduler.runAfter(Duration::zero(), [this, id = id] { onTimerDue(id); });
    }
}

void PausableScheduler::onTimerDue(TimerId id)
{
    const auto found = m_timers.find(id);
    if (m_paused) {
        m_overdue.emplace(m_overdueCount++, id);
        return;
    }
    const std::function<void()> callback = std::move(found->second.callback);
    m_timers.erase(found);
    callback();
}

} // namespace lacewing
