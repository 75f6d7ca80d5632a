#include "coordination/allotment_bucket.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr int64_t unitsPerToken = allotmentPartitions * int64_t { 1'000'000'000 };
constexpr int64_t unitsPerTokenAndPartition = unitsPerToken / allotmentPartitions;

int64_t bounded(Tokens amount)
{
    return std::clamp<int64_t>(amount.value(), 0, maximumAllotment);
}

AllotmentLimit bounded(AllotmentLimit limit)
{
    limit.rate = Tokens(bounded(limit.rate));
    limit.burst = Tokens(bounded(limit.burst));
    return limit;
}

} // namespace

AllotmentBucket::AllotmentBucket(AllotmentLimit limit, MonotonicTime now)
    : m_limit(bounded(limit))
    , m_refilledAt(now)
{
}

void AllotmentBucket::setLimit(AllotmentLimit limit, MonotonicTime now)
{
    refill(now);
    m_history.recordHeadroom(headroom());
    m_limit = bounded(limit);
    trim();
}

void AllotmentBucket::setPartitions(int count, MonotonicTime now)
{
    if (count == m_partitions)
        return;
    refill(now);
    m_history.recordHeadroom(headroom());
    m_partitions = count;
    trim();
}

Tokens AllotmentBucket::take(Tokens wanted, MonotonicTime now)
{
    refill(now);
    const int64_t amount = std::min(bounded(wanted), m_level / unitsPerToken);
    m_level -= amount * unitsPerToken;
    m_outstanding += amount * unitsPerToken;
    return Tokens(amount);
}

HeadroomHistory::Mark AllotmentBucket::spend(Tokens amount, MonotonicTime now)
{
    refill(now);
    const HeadroomHistory::Mark mark = m_history.recordHeadroom(headroom());
    m_outstanding -= amount.value() * unitsPerToken;
    return mark;
}

void AllotmentBucket::giveBack(Tokens amount, MonotonicTime now)
{
    refill(now);
    m_outstanding -= amount.value() * unitsPerToken;
    m_level += amount.value() * unitsPerToken;
    trim();
}

void AllotmentBucket::refund(Tokens amount, HeadroomHistory::Mark spent, MonotonicTime now)
{
    refill(now);
    const int64_t room = m_history.minimumSince(spent, headroom());
    const int64_t credit = std::clamp<int64_t>(room, 0, bounded(amount) * unitsPerToken);
    m_level += credit;
    m_history.lower(spent, credit);
}

Tokens AllotmentBucket::level(MonotonicTime now)
{
    return Tokens(levelUnits(now) / unitsPerToken);
}

int64_t AllotmentBucket::levelUnits(MonotonicTime now)
{
    refill(now);
    return m_level;
}

Tokens AllotmentBucket::outstanding() const
{
    return Tokens(m_outstanding / unitsPerToken);
}

int64_t AllotmentBucket::capacity() const
{
    return m_limit.burst.value() * unitsPerTokenAndPartition * m_partitions;
}

void AllotmentBucket::refill(MonotonicTime now)
{
    const int64_t elapsed = std::max<int64_t>((now - m_refilledAt).count(), 0);
    m_refilledAt = std::max(m_refilledAt, now);
    const int64_t room = headroom();
    if (room <= 0)
        return;
    const int64_t unitsPerNanosecond = m_limit.rate.value() * m_partitions;
    const bool full = m_limit.kind == AllotmentKind::Slots
        || (unitsPerNanosecond > 0 && elapsed > room / unitsPerNanosecond);
    m_level += full ? room : elapsed * unitsPerNanosecond;
}

void AllotmentBucket::trim()
{
    m_level = std::clamp<int64_t>(capacity() - m_outstanding, 0, m_level);
}

} // namespace lacewing
