#include "daemon/permit_load_gate.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

/// Longest wait of one request for a permit.
constexpr Duration acquireWait = std::chrono::milliseconds(500);
constexpr Duration shortestRetry = std::chrono::milliseconds(50);

} // namespace

PermitLoadGate::PermitLoadGate(Scheduler& scheduler, TokenWallet& wallet)
    : m_scheduler(scheduler)
    , m_permits(wallet)
{
}

PermitLoadGate::~PermitLoadGate()
{
    m_scheduler.cancel(m_timer);
}

bool PermitLoadGate::isOpen()
{
    if (m_ready)
        return true;
    seek();
    return false;
}

void PermitLoadGate::take()
{
    m_inUse.push_back(*std::exchange(m_ready, std::nullopt));
}

void PermitLoadGate::finished()
{
    // Permits are interchangeable; the oldest one ends.
    m_permits.finish(m_inUse.front(), true);
    m_inUse.erase(m_inUse.begin());
}

void PermitLoadGate::seek()
{
    if (m_isSeeking || m_timer != 0)
        return;
    m_isSeeking = true;
    // Not inside isOpen(), because the permit may be granted at once.
    m_timer = m_scheduler.runAfter(Duration::zero(), [this] {
        m_timer = 0;
        m_permits.acquire(m_scheduler.now() + acquireWait,
            [this](std::optional<LoadPermits::Permit> permit, Duration retryAfter) {
                acquired(std::move(permit), retryAfter);
            });
    });
}

void PermitLoadGate::acquired(std::optional<LoadPermits::Permit> permit, Duration retryAfter)
{
    m_isSeeking = false;
    m_ready = std::move(permit);
    if (!m_ready) {
        m_timer = m_scheduler.runAfter(std::max(retryAfter, shortestRetry), [this] {
            m_timer = 0;
            announce();
        });
        return;
    }
    announce();
    if (m_ready)
        m_permits.finish(*std::exchange(m_ready, std::nullopt), false);
}

void PermitLoadGate::announce()
{
    for (const std::function<void()>& callback : m_callbacks)
        callback();
}

} // namespace lacewing
