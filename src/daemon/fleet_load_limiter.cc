#include "daemon/fleet_load_limiter.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

/// Longest time that one permit request waits.
constexpr Duration acquireTimeout = std::chrono::milliseconds(500);
/// Upper bound of a load's duration. Must exceed the deadline of load orders in engine_owner.cc.
constexpr Duration maximumLoadDuration = std::chrono::seconds(30);
constexpr Duration minimumRetryDelay = std::chrono::milliseconds(50);

} // namespace

FleetLoadLimiter::FleetLoadLimiter(Scheduler& scheduler, QuotaClient& quotaClient)
    : m_scheduler(scheduler)
    , m_permits(quotaClient)
{
}

FleetLoadLimiter::~FleetLoadLimiter()
{
    m_scheduler.cancel(m_timer);
}

bool FleetLoadLimiter::isPermitAvailable()
{
    if (m_availablePermit)
        return true;
    requestPermit();
    return false;
}

void FleetLoadLimiter::usePermit()
{
    m_permitsInUse.push_back({ *std::exchange(m_availablePermit, std::nullopt), m_scheduler.now() });
}

void FleetLoadLimiter::finished()
{
    // A permit taken for an eviction stays unused if the load that was to follow it is no longer wanted.
    // Such permits are returned once they are older than any load.
    while (
        m_permitsInUse.size() > 1 && m_permitsInUse.front().since + maximumLoadDuration < m_scheduler.now())
        finishOldestLoad();
    // Permits are interchangeable, so the oldest one is returned.
    if (!m_permitsInUse.empty())
        finishOldestLoad();
}

void FleetLoadLimiter::finishOldestLoad()
{
    m_permits.finish(m_permitsInUse.front().permit, true);
    m_permitsInUse.pop_front();
}

void FleetLoadLimiter::requestPermit()
{
    if (m_isRequestPending || m_timer != 0)
        return;
    m_isRequestPending = true;
    // Deferred, because the permit may be granted at once and the callbacks must not run inside
    // isPermitAvailable().
    m_timer = m_scheduler.runAfter(Duration::zero(), [this] {
        m_timer = 0;
        m_permits.acquire(m_scheduler.now() + acquireTimeout,
            [this](std::optional<LoadPermits::Permit> permit, Duration retryAfter) {
                permitRequestEnded(std::move(permit), retryAfter);
            });
    });
}

void FleetLoadLimiter::permitRequestEnded(std::optional<LoadPermits::Permit> permit, Duration retryAfter)
{
    m_isRequestPending = false;
    m_availablePermit = std::move(permit);
    if (!m_availablePermit) {
        m_timer = m_scheduler.runAfter(std::max(retryAfter, minimumRetryDelay), [this] {
            m_timer = 0;
            notifyCallbacks();
        });
        return;
    }
    notifyCallbacks();
    if (m_availablePermit)
        m_permits.finish(*std::exchange(m_availablePermit, std::nullopt), false);
}

void FleetLoadLimiter::notifyCallbacks()
{
    for (const std::function<void()>& callback : m_callbacks)
        callback();
}

} // namespace lacewing
