#include "coordination/load_permits.h"

#include <cmath>
#include <utility>

namespace lacewing {

namespace {

constexpr int64_t amountPerLoad = 1000;
// A load takes about 0.25 s.
constexpr int64_t expectedLoadsPerSlotAndSecond = 4;

// Reserved ids contain '/', which can't occur in the name of a configured workspace.
const WorkspaceId& slotWorkspace()
{
    static const WorkspaceId id("loads/slots");
    return id;
}

const WorkspaceId& startWorkspace()
{
    static const WorkspaceId id("loads/starts");
    return id;
}

} // namespace

QuotaLimits LoadPermits::limits(const LoadLimits& loadLimits)
{
    const int64_t slots = loadLimits.maximumInFlight * amountPerLoad;
    const auto rate = static_cast<int64_t>(loadLimits.loadsPerSecond * static_cast<double>(amountPerLoad));
    // The burst is one second's worth of loads, but at least one load.
    const int64_t burst = std::max(amountPerLoad, rate);
    return {
        { slotWorkspace(),
            { QuotaKind::Slots, Tokens(slots * expectedLoadsPerSlotAndSecond), Tokens(slots) } },
        { startWorkspace(), { QuotaKind::Rate, Tokens(rate), Tokens(burst) } },
    };
}

void LoadPermits::acquire(MonotonicTime deadline, AcquireCallback callback)
{
    // Reserves the start first, so that no slot is occupied while its load waits for the rate limit.
    m_quotaClient.reserve(startWorkspace(), Tokens(amountPerLoad), deadline,
        [this, deadline, callback = std::move(callback)](const ReserveResult& start) {
            if (!start.reservation)
                return callback(std::nullopt, start.retryAfter);
            m_quotaClient.reserve(slotWorkspace(), Tokens(amountPerLoad), deadline,
                [this, callback, start = *start.reservation](const ReserveResult& slot) {
                    if (slot.reservation)
                        return callback(Permit { *slot.reservation, start }, Duration::zero());
                    m_quotaClient.settle(start, Tokens());
                    callback(std::nullopt, slot.retryAfter);
                });
        });
}

void LoadPermits::finish(const Permit& permit, bool wasStarted)
{
    m_quotaClient.settle(permit.slot, Tokens());
    m_quotaClient.settle(permit.start, wasStarted ? permit.start.tokens : Tokens());
}

} // namespace lacewing
