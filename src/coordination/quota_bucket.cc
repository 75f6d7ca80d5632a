#include "coordination/quota_bucket.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr int64_t unitsPerToken = quotaPartitions * int64_t { 1'000'000'000 };
constexpr int64_t unitsPerTokenAndPartition = unitsPerToken / quotaPartitions;

int64_t bounded(Tokens amount)
{
    return std::clamp<int64_t>(amount.value(), 0, maximumQuota);
}

QuotaLimit bounded(QuotaLimit limit)
{
    limit.rate = Tokens(bounded(limit.rate));
    limit.burst = Tokens(bounded(limit.burst));
    return limit;
}

} // namespace

QuotaBucket::QuotaBucket(QuotaLimit limit, MonotonicTime now)
    : m_limit(bounded(limit))
    , m_refilledAt(now)
{
}

void QuotaBucket::setLimit(QuotaLimit limit, MonotonicTime now)
{
    refill(now);
    m_history.recordHeadroom(headroom());
    m_limit = bounded(limit);
    trim();
}

void QuotaBucket::setPartitions(int count, MonotonicTime now)
{
    if (count == m_partitions)
        return;
    refill(now);
    m_history.recordHeadroom(headroom());
    m_partitions = count;
    trim();
}

Tokens QuotaBucket::take(Tokens wanted, MonotonicTime now)
{
    refill(now);
    const int64_t amount = std::min(bounded(wanted), m_level / unitsPerToken);
    m_level -= amount * unitsPerToken;
    m_outstanding += amount * unitsPerToken;
    return Tokens(amount);
}

HeadroomHistory::Mark QuotaBucket::spend(Tokens amount, MonotonicTime now)
{
    refill(now);
    const HeadroomHistory::Mark mark = m_history.recordHeadroom(headroom());
    m_outstanding -= amount.value() * unitsPerToken;
    return mark;
}

void QuotaBucket::giveBack(Tokens amount, MonotonicTime now)
{
    refill(now);
    m_outstanding -= amount.value() * unitsPerToken;
    m_level += amount.value() * unitsPerToken;
    trim();
}

void QuotaBucket::refund(Tokens amount, HeadroomHistory::Mark spent, MonotonicTime now)
{
    refill(now);
    const int64_t room = m_history.minimumSince(spent, headroom());
    const int64_t credit = std::clamp<int64_t>(room, 0, bounded(amount) * unitsPerToken);
    m_level += credit;
    m_history.lower(spent, credit);
}

Tokens QuotaBucket::level(MonotonicTime now)
{
    return Tokens(levelUnits(now) / unitsPerToken);
}

int64_t QuotaBucket::levelUnits(MonotonicTime now)
{
    refill(now);
    return m_level;
}

Tokens QuotaBucket::outstanding() const
{
    return Tokens(m_outstanding / unitsPerToken);
}

int64_t QuotaBucket::capacity() const
{
    return m_limit.burst.value() * unitsPerTokenAndPartition * m_partitions;
}

void QuotaBucket::refill(MonotonicTime now)
{
    const int64_t elapsed = std::max<int64_t>((now - m_refilledAt).count(), 0);
    m_refilledAt = std::max(m_refilledAt, now);
    const int64_t room = headroom();
    if (room <= 0)
        return;
    const int64_t unitsPerNanosecond = m_limit.rate.value() * m_partitions;
    const bool full
        = m_limit.kind == QuotaKind::Slots || (unitsPerNanosecond > 0 && elapsed > room / unitsPerNanosecond);
    m_level += full ? room : elapsed * unitsPerNanosecond;
}

void QuotaBucket::trim()
{
    m_level = std::clamp<int64_t>(capacity() - m_outstanding, 0, m_level);
}

} // namespace lacewing
