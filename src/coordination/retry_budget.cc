#include "coordination/retry_budget.h"

namespace lacewing {

namespace {

constexpr int64_t retriesPerHundredRequests = 20;
constexpr int64_t retriesPerSecond = 3;

} // namespace

RetryBudget::RetryBudget(const Clock& clock)
    : m_clock(clock)
    , m_start(clock.now())
{
}

void RetryBudget::countRequest()
{
    ++currentSlot().requests;
}

bool RetryBudget::tryRetry()
{
    Slot& current = currentSlot();
    int64_t requests = 0;
    int64_t retries = 0;
    for (const Slot& slot : m_slots) {
        if (slot.second <= current.second - windowSeconds)
            continue;
        requests += slot.requests;
        retries += slot.retries;
    }
    if (retries * 100 >= requests * retriesPerHundredRequests + 100 * retriesPerSecond * windowSeconds)
        return false;
    ++current.retries;
    return true;
}

int64_t RetryBudget::currentSecond() const
{
    return std::chrono::duration_cast<std::chrono::seconds>(m_clock.now() - m_start).count();
}

RetryBudget::Slot& RetryBudget::currentSlot()
{
    const int64_t second = currentSecond();
    Slot& slot = m_slots[static_cast<size_t>(second % windowSeconds)];
    if (slot.second != second)
        slot = { second, 0, 0 };
    return slot;
}

} // namespace lacewing
