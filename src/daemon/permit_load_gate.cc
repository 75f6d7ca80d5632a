#include "daemon/permit_load_gate.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

/// Longest wait of one request for a permit.
constexpr Duration acquireWait = std::chrono::milliseconds(500);
/// No load takes longer; see the deadline of orders to load.
constexpr Duration longestLoad = std::chrono::seconds(30);
constexpr Duration shortestRetry = std::chrono::milliseconds(50);

} // namespace

PermitLoadGate::PermitLoadGate(Scheduler& scheduler, AllotmentClient& wallet)
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
    m_inUse.push_back({ *std::exchange(m_ready, std::nullopt), m_scheduler.now() });
}

void PermitLoadGate::finished()
{
    // A permit that was taken for an eviction is not used if the load that should follow is not wanted any
    // more.
    while (m_inUse.size() > 1 && m_inUse.front().since + longestLoad < m_scheduler.now())
        endOldest();
    // Permits are interchangeable; the oldest one ends.
    if (!m_inUse.empty())
        endOldest();
}

void PermitLoadGate::endOldest()
{
    m_permits.finish(m_inUse.front().permit, true);
    m_inUse.pop_front();
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
