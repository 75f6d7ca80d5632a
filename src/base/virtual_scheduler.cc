#include "base/virtual_scheduler.h"

#include <algorithm>

namespace lacewing {

TimerId VirtualScheduler::runAfter(Duration delay, std::function<void()> callback)
{
    const TimerId timer = m_nextTimer++;
    const MonotonicTime due = m_now + std::max(delay, Duration::zero());
    m_due.emplace(due, timer);
    m_callbacks.emplace(timer, std::move(callback));
    return timer;
}

void VirtualScheduler::cancel(TimerId timer)
{
    m_callbacks.erase(timer);
}

void VirtualScheduler::advance(Duration duration)
{
    const MonotonicTime end = m_now + duration;
    for (dropCancelled(); !m_due.empty() && m_due.top().first <= end; dropCancelled())
        runNext();
    m_now = end;
}

bool VirtualScheduler::runNext()
{
    dropCancelled();
    if (m_due.empty())
        return false;
    const auto [due, timer] = m_due.top();
    m_due.pop();
    m_now = due;
    const auto found = m_callbacks.find(timer);
    const std::function<void()> callback = std::move(found->second);
    m_callbacks.erase(found);
    callback();
    return true;
}

void VirtualScheduler::dropCancelled()
{
    while (!m_due.empty() && m_callbacks.count(m_due.top().second) == 0)
        m_due.pop();
}

} // namespace lacewing
