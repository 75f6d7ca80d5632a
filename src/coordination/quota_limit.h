#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/configuration.h"

#include <map>

namespace lacewing {

/// Number of equal parts into which every fleet-wide limit is split.
constexpr int quotaPartitions = 64;

/// Lifetime of a grant, from sending the ask. Expired amounts may no longer be charged.
constexpr Duration grantTtl = std::chrono::seconds(2);

/// Lifetime of a grant of slots. It is longer than any adapter load that should count, yet short enough for a
/// cold start, because a partition has no slots for this time after a change of holder.
constexpr Duration slotTtl = std::chrono::seconds(5);

/// Maximum of rate and burst, so that a level in units of 1/64 of 10^-9 tokens fits into 63 bits.
constexpr int64_t maximumQuota = 100'000'000;

/// How a limited amount is consumed.
enum class QuotaKind {
    /// Used up when charged; the bucket refills at a rate.
    Rate,
    /// Occupied while in use and returned afterwards. The rate is the expected rate at which slots become
    /// free; it only affects the timing of asks.
    Slots,
};

/// A fleet-wide limit.
struct QuotaLimit {
    QuotaKind kind = QuotaKind::Rate;
    /// Amount a second.
    Tokens rate;
    /// Amount that may be charged at once, or the number of slots.
    Tokens burst;

    Duration ttl() const { return kind == QuotaKind::Slots ? slotTtl : grantTtl; }
};

/// All limits by workspace. The limits on adapter loads are under two reserved names.
using QuotaLimits = std::map<WorkspaceId, QuotaLimit>;

/// @return the limits that a configuration sets, including those on adapter loads (see LoadPermits).
QuotaLimits quotaLimits(const Configuration& configuration);

} // namespace lacewing
