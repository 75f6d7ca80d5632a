#include "gateway/retry_allowance.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// Fraction of the fleet's budget that is used; the rest covers requests that end during a window.
constexpr double usedFraction = 0.7;

void dropBefore(std::deque<MonotonicTime>& times, MonotonicTime oldest)
{
    while (!times.empty() && times.front() < oldest)
        times.pop_front();
}

} // namespace

RetryAllowance::History& RetryAllowance::current(const ServiceId& service, MonotonicTime now)
{
    History& history = m_histories[service];
    dropBefore(history.requests, now - m_limits.window);
    dropBefore(history.retries, now - m_limits.window);
    return history;
}

void RetryAllowance::countRequest(const ServiceId& service, MonotonicTime now)
{
    current(service, now).requests.push_back(now);
}

bool RetryAllowance::tryRetry(const ServiceId& service, MonotonicTime now)
{
    History& history = current(service, now);
    const double fixedAllowance = m_limits.fixedAllowance / static_cast<double>(std::max<size_t>(1, m_hosts));
    const double allowed
        = usedFraction * (m_limits.ratio * static_cast<double>(history.requests.size()) + fixedAllowance);
    if (static_cast<double>(history.retries.size()) + 1 > allowed)
        return false;
    history.retries.push_back(now);
    return true;
}

} // namespace lacewing::gateway
