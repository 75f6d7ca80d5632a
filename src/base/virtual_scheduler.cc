#include "base/virtual_scheduler.h"

#include <algorithm>

namespace lacewing {

TimerId VirtualScheduler::runAfter(Duration delay, std::function<void()> callback)
{
    const TimerId timer = m_nextTimer++;
    const MonotonicTime due = m_now + std::max(delay, Duration::zero());
    m_timers.emplace(Due { due, timer }, std::move(callback));
    m_dueTimes.emplace(timer, due);
    return timer;
}

void VirtualScheduler::cancel(TimerId timer)
{
    const auto found = m_dueTimes.find(timer);
    if (found == m_dueTimes.end())
        return;
    m_timers.erase(Due { found->second, timer });
    m_dueTimes.erase(found);
}

void VirtualScheduler::advance(Duration duration)
{
    const MonotonicTime end = m_now + duration;
    while (!m_timers.empty() && m_timers.begin()->first.first <= end)
        runNext();
    m_now = end;
}

bool VirtualScheduler::runNext()
{
    if (m_timers.empty())
        return false;
    auto first = m_timers.begin();
    m_now = first->first.first;
    m_dueTimes.erase(first->first.second);
    const std::function<void()> callback = std::move(first->second);
    m_timers.erase(first);
    callback();
    return true;
}

} // namespace lacewing
