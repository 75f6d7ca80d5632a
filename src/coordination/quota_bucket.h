#pragma once

#include "coordination/headroom_history.h"
#include "coordination/quota_limit.h"

namespace lacewing {

/// Token bucket of one workspace at one partition holder.
///
/// Load pattern: bursts of one workspace, and grants whose use is reported late or never. An amount is in the
/// level, outstanding (granted, use not yet reported) or spent. Level plus outstanding never exceeds the
/// capacity, so that amounts granted and not yet reported still count against the burst.
/// After a decrease of the capacity, outstanding alone may exceed it until the grants end; the level is 0
/// then.
///
/// Levels are exact integers in units of 1/64 of 10^-9 tokens: p partitions refill by rate x p units a
/// nanosecond.
class QuotaBucket {
public:
    /// Creates an empty bucket without partitions.
    QuotaBucket(QuotaLimit limit, MonotonicTime now);

    const QuotaLimit& limit() const { return m_limit; }

    /// Changes rate and burst. A level above the new capacity is cut, and an increase adds no level.
    void setLimit(QuotaLimit limit, MonotonicTime now);

    /// Changes the number of partitions that count for rate and capacity.
    void setPartitions(int count, MonotonicTime now);
    int partitions() const { return m_partitions; }

    /// Moves up to the wanted amount from the level to outstanding.
    ///
    /// @return the amount moved.
    Tokens take(Tokens wanted, MonotonicTime now);

    /// Moves an outstanding amount to spent.
    ///
    /// @return a mark for refund().
    HeadroomHistory::Mark spend(Tokens amount, MonotonicTime now);

    /// Moves an outstanding amount back into the level, up to the capacity.
    void giveBack(Tokens amount, MonotonicTime now);

    /// Returns a spent amount to the level, as far as the bucket would still hold it had it not been spent.
    ///
    /// @param spent mark of the operation that spent it, or of an earlier one.
    void refund(Tokens amount, HeadroomHistory::Mark spent, MonotonicTime now);

    Tokens level(MonotonicTime now);
    /// @return the level in units of 1/64 of 10^-9 tokens.
    int64_t levelUnits(MonotonicTime now);
    Tokens outstanding() const;

private:
    int64_t capacity() const;
    int64_t headroom() const { return capacity() - m_level - m_outstanding; }
    void refill(MonotonicTime now);
    void trim();

    QuotaLimit m_limit;
    int m_partitions = 0;
    int64_t m_level = 0;
    int64_t m_outstanding = 0;
    MonotonicTime m_refilledAt;
    HeadroomHistory m_history;
};

} // namespace lacewing
