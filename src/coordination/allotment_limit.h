#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/configuration.h"

#include <map>

namespace lacewing {

/// Number of equal parts into which every fleet-wide limit is split.
constexpr int allotmentPartitions = 64;

/// Time from sending an ask until what it obtained may no longer be charged.
constexpr Duration grantTtl = std::chrono::seconds(2);

/// As grantTtl, for slots: longer than any load that should count, short enough for a cold start, because a
/// partition that changes hands has no slots for this time.
constexpr Duration slotTtl = std::chrono::seconds(5);

/// Bound on rate and burst. It keeps a level, counted in 1/64 of 10^-9 tokens, within 63 bits.
constexpr int64_t maximumAllotment = 100'000'000;

/// What an amount stands for.
enum class AllotmentKind {
    /// Used up when charged; the bucket refills at a rate.
    Rate,
    /// Occupied while in use and given back afterwards. The rate is the rate at which slots are expected to
    /// become free; it only times asks.
    Slots,
};

/// A fleet-wide limit.
struct AllotmentLimit {
    AllotmentKind kind = AllotmentKind::Rate;
    /// Amount a second.
    Tokens rate;
    /// Amount that may be charged at once, or the number of slots.
    Tokens burst;

    Duration ttl() const { return kind == AllotmentKind::Slots ? slotTtl : grantTtl; }
};

/// All limits by workspace. The limits on adapter loads are under two reserved names.
using AllotmentLimits = std::map<WorkspaceId, AllotmentLimit>;

/// @return the limits that a configuration sets, including those on adapter loads (see LoadPermits).
AllotmentLimits allotmentLimits(const Configuration& configuration);

} // namespace lacewing
