#include "coordination/retry_budget.h"

namespace lacewing {

void RetryBudget::countRequest(MonotonicTime now)
{
    forgetBefore(m_requests, now - m_options.window);
    m_requests.push_back(now);
}

bool RetryBudget::takeRetry(MonotonicTime now)
{
    forgetBefore(m_requests, now - m_options.window);
    forgetBefore(m_retries, now - m_options.window);
    const double allowed = m_options.share * static_cast<double>(m_requests.size())
        + m_options.perSecond * toSeconds(m_options.window);
    if (static_cast<double>(m_retries.size()) + 1 > allowed)
        return false;
    m_retries.push_back(now);
    return true;
}

void RetryBudget::forgetBefore(std::deque<MonotonicTime>& times, MonotonicTime time) const
{
    while (!times.empty() && times.front() < time)
        times.pop_front();
}

} // namespace lacewing
