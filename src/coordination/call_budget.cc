#include "coordination/call_budget.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr double maximumCallsPerSecond = 10;
constexpr double fleetCallsPerSecond = 1000;
constexpr double burstSeconds = 3;
/// Part of the burst that is reserved for urgent calls.
constexpr double urgentShare = 0.3;

} // namespace

CallBudget::CallBudget(const Clock& clock)
    : m_clock(clock)
    , m_rate(maximumCallsPerSecond)
    , m_level(maximumCallsPerSecond * burstSeconds)
    , m_refilledAt(clock.now())
{
}

void CallBudget::setFleetSize(size_t daemons)
{
    m_rate = std::min(
        maximumCallsPerSecond, fleetCallsPerSecond / static_cast<double>(std::max<size_t>(daemons, 1)));
}

bool CallBudget::take(CallPriority priority)
{
    const MonotonicTime now = m_clock.now();
    const double capacity = m_rate * burstSeconds;
    m_level = std::min(capacity, m_level + toSeconds(now - m_refilledAt) * m_rate);
    m_refilledAt = now;
    const double reserved = priority == CallPriority::Urgent ? 0 : capacity * urgentShare;
    if (m_level < reserved + 1) {
        ++m_throttledCount;
        return false;
    }
    m_level -= 1;
    ++m_callCount;
    return true;
}

void CallBudget::recordAnswer(bool reached)
{
    m_tableUp = reached;
}

} // namespace lacewing
