#include "rejection/rejection_pacing.h"

#include <algorithm>
#include <cmath>

namespace lacewing::rejection {

namespace {

/// Time in which the weight of a request falls by the factor e.
constexpr double countedSeconds = 2;
/// Weight below which requests are forgotten.
constexpr double forgottenWeight = 0.01;
/// Factor by which a rejection lowers the rate.
constexpr double rejectionFactor = 0.8;
/// Part of the bearable rejections at which the rates settle. Rejections come in clumps.
constexpr double settlingShare = 0.1;
constexpr double slowestGrowthPerSecond = 0.02;
/// In requests a second.
constexpr double lowestRate = 0.2;
/// A pace that has grown beyond this holds nothing back.
constexpr double highestRate = 1000;

/// Intervals between requests are drawn from this part of the even one on, evenly over this multiple of it,
/// so that the hosts of a fleet don't send at the same time.
constexpr double shortestSpread = 0.25;
constexpr double spreadWidth = 1.5;

} // namespace

double RejectionPacing::weightAt(const RecentSends& sends, MonotonicTime now)
{
    return sends.weight * std::exp(-toSeconds(now - sends.last) / countedSeconds);
}

double RejectionPacing::recentRate(const UpstreamId& upstream, MonotonicTime now) const
{
    const auto found = m_sends.find(upstream);
    return found == m_sends.end() ? 0 : weightAt(found->second, now) / countedSeconds;
}

void RejectionPacing::sent(const UpstreamId& upstream, MonotonicTime now)
{
    RecentSends& sends = m_sends[upstream];
    sends.weight = weightAt(sends, now) + 1;
    sends.last = now;
    const auto pace = m_paces.find(upstream);
    if (pace == m_paces.end())
        return;
    pace->second.next = std::max(pace->second.next, now) + spread(rateAt(pace->second, now).interval());
}

Duration RejectionPacing::spread(Duration interval)
{
    return std::chrono::duration_cast<Duration>(
        (shortestSpread + spreadWidth * m_random.uniform()) * interval);
}

// In balance the growth between two rejections makes up for the factor of one.
RequestRate RejectionPacing::rateAt(const Pace& pace, MonotonicTime now)
{
    const double settled = settlingShare * pace.bearable.perSecond();
    const double growth = std::max(-std::log(rejectionFactor) * settled, slowestGrowthPerSecond);
    const double exponent
        = std::min(growth * toSeconds(now - pace.lastRejection), std::log(highestRate / lowestRate));
    return RequestRate(std::min(pace.rate.perSecond() * std::exp(exponent), highestRate));
}

void RejectionPacing::rejected(const BrittleRejection& rejection, MonotonicTime now)
{
    const auto [found, isNew] = m_paces.try_emplace(rejection.upstream);
    Pace& pace = found->second;
    if (!isNew && rejection.startedAt < pace.startedAt)
        return;
    const bool isOtherProcess = isNew || rejection.startedAt > pace.startedAt;
    const double before
        = isOtherProcess ? recentRate(rejection.upstream, now) : rateAt(pace, now).perSecond();
    pace.startedAt = rejection.startedAt;
    pace.bearable = rejection.bearable;
    pace.rate = RequestRate(std::max(rejectionFactor * before, lowestRate));
    pace.lastRejection = now;
    if (isOtherProcess)
        pace.next = now + spread(pace.rate.interval()) / 2;
}

Duration RejectionPacing::waitFor(const UpstreamId& upstream, int64_t startedAt, MonotonicTime now) const
{
    const auto found = m_paces.find(upstream);
    if (found == m_paces.end() || startedAt > found->second.startedAt)
        return Duration::zero();
    return std::max<Duration>(found->second.next - now, Duration::zero());
}

void RejectionPacing::retain(MonotonicTime now)
{
    for (auto pace = m_paces.begin(); pace != m_paces.end();) {
        const bool isOver = rateAt(pace->second, now).perSecond() >= highestRate;
        pace = isOver ? m_paces.erase(pace) : std::next(pace);
    }
    for (auto sends = m_sends.begin(); sends != m_sends.end();) {
        const bool isOld = weightAt(sends->second, now) < forgottenWeight;
        sends = isOld ? m_sends.erase(sends) : std::next(sends);
    }
}

} // namespace lacewing::rejection
