#include "coordination/partition_holder.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Grants are kept this long for refunds, which arrive when requests end. A later refund is lost.
constexpr Duration refundMemory = std::chrono::minutes(5);

// About 20 MB. Above this number the oldest expired grants are dropped.
constexpr size_t maximumGrants = 100'000;

Tokens amountOf(const std::vector<TokenAmount>& amounts, const WorkspaceId& workspace)
{
    for (const TokenAmount& amount : amounts) {
        if (amount.workspace == workspace)
            return amount.tokens;
    }
    return Tokens();
}

} // namespace

PartitionHolder::PartitionHolder(const Clock& clock, ValidityCheck isSessionValid)
    : m_clock(clock)
    , m_isSessionValid(std::move(isSessionValid))
{
}

void PartitionHolder::setPartitions(const std::set<int>& partitions, MonotonicTime fillFrom)
{
    const MonotonicTime now = m_clock.now();
    expireGrants(now);
    for (auto& [workspace, holding] : m_workspaceBuckets)
        startPartitions(holding, now);
    for (auto held = m_partitions.begin(); held != m_partitions.end();)
        held = partitions.count(held->first) == 0 ? m_partitions.erase(held) : std::next(held);
    for (int partition : partitions)
        m_partitions.emplace(partition, fillFrom);
    for (auto& [workspace, holding] : m_workspaceBuckets) {
        holding.nextStart = MonotonicTime::min();
        startPartitions(holding, now);
    }
}

void PartitionHolder::setLimits(const QuotaLimits& limits)
{
    const MonotonicTime now = m_clock.now();
    expireGrants(now);
    // The bucket of a removed workspace is kept, because the workspace may be added again while grants are
    // outstanding.
    for (auto& [workspace, holding] : m_workspaceBuckets) {
        if (limits.count(workspace) == 0)
            holding.bucket.setLimit({ holding.bucket.limit().kind, {}, {} }, now);
    }
    for (const auto& [workspace, limit] : limits) {
        if (WorkspaceBucket* held = current(workspace)) {
            held->bucket.setLimit(limit, now);
            continue;
        }
        const auto added
            = m_workspaceBuckets.emplace(workspace, WorkspaceBucket { QuotaBucket(limit, now), now });
        added.first->second.nextStart = MonotonicTime::min();
        startPartitions(added.first->second, now);
    }
}

std::optional<QuotaGrant> PartitionHolder::answer(const HostId& asker, const QuotaRequest& ask)
{
    const MonotonicTime now = m_clock.now();
    expireGrants(now);
    const GrantId id { asker, ask.seq };
    if (m_grants.count(id) != 0)
        return std::nullopt;
    QuotaGrant message;
    message.seq = ask.seq;
    Grant grant { now, {} };
    const bool isValid = m_isSessionValid();
    for (const TokenAmount& wanted : ask.wanted)
        grantOne(wanted, isValid, grant, message);
    m_grants.emplace(id, std::move(grant));
    m_rateGrants.emplace_back(now + 2 * grantTtl, id);
    m_slotGrants.emplace_back(now + 2 * slotTtl, id);
    m_expiredGrants.emplace_back(now + refundMemory, id);
    return message;
}

void PartitionHolder::grantOne(const TokenAmount& wanted, bool isValid, Grant& grant, QuotaGrant& message)
{
    WorkspaceBucket* holding = current(wanted.workspace);
    if (holding == nullptr || !isValid) {
        message.levels.push_back({ wanted.workspace, Tokens() });
        return;
    }
    const MonotonicTime now = m_clock.now();
    const Tokens tokens = holding->bucket.take(wanted.tokens, now);
    message.levels.push_back({ wanted.workspace, holding->bucket.level(now) });
    if (tokens == Tokens())
        return;
    message.granted.push_back({ wanted.workspace, tokens });
    grant.amounts.push_back({ wanted.workspace, tokens, tokens, {}, {}, {} });
}

void PartitionHolder::report(const HostId& asker, const QuotaReturn& report)
{
    expireGrants(m_clock.now());
    const auto found = m_grants.find({ asker, report.seq });
    if (found == m_grants.end())
        return;
    for (Granted& granted : found->second.amounts) {
        const Tokens spent = amountOf(report.spent, granted.workspace);
        const Tokens unused = amountOf(report.unused, granted.workspace);
        applyReport(granted, std::min(spent, granted.tokens), std::min(unused, granted.tokens));
    }
}

void PartitionHolder::applyReport(Granted& granted, Tokens spent, Tokens unused)
{
    WorkspaceBucket* holding = current(granted.workspace);
    if (holding == nullptr)
        return;
    const MonotonicTime now = m_clock.now();
    spent = std::max(spent, granted.spent);
    unused = std::max(unused, granted.unused);
    const Tokens stillOut = std::clamp(granted.tokens - spent - unused, Tokens(), granted.outstanding);
    const Tokens ended = granted.outstanding - stillOut;
    const Tokens newlySpent = std::min(spent - granted.spent, ended);
    const Tokens givenBack = std::min(ended - newlySpent, unused - granted.unused);
    const Tokens refunded = unused - granted.unused - givenBack;
    spend(granted, ended - givenBack, holding->bucket, now);
    if (givenBack > Tokens())
        holding->bucket.giveBack(givenBack, now);
    granted.outstanding -= givenBack;
    if (refunded > Tokens() && granted.spentMark)
        holding->bucket.refund(refunded, *granted.spentMark, now);
    granted.spent = spent;
    granted.unused = unused;
}

void PartitionHolder::spend(Granted& granted, Tokens amount, QuotaBucket& bucket, MonotonicTime time)
{
    if (amount == Tokens())
        return;
    granted.outstanding -= amount;
    const HeadroomHistory::Mark mark = bucket.spend(amount, time);
    if (!granted.spentMark)
        granted.spentMark = mark;
}

QuotaBucket* PartitionHolder::bucket(const WorkspaceId& workspace)
{
    expireGrants(m_clock.now());
    WorkspaceBucket* holding = current(workspace);
    return holding == nullptr ? nullptr : &holding->bucket;
}

PartitionHolder::WorkspaceBucket* PartitionHolder::current(const WorkspaceId& workspace)
{
    const auto found = m_workspaceBuckets.find(workspace);
    if (found == m_workspaceBuckets.end())
        return nullptr;
    startPartitions(found->second, m_clock.now());
    return &found->second;
}

void PartitionHolder::startPartitions(WorkspaceBucket& holding, MonotonicTime now)
{
    if (now < holding.nextStart)
        return;
    const Duration extra = holding.bucket.limit().ttl() - grantTtl;
    std::vector<MonotonicTime> starts;
    for (const auto& [partition, fillFrom] : m_partitions)
        starts.push_back(fillFrom + extra);
    std::sort(starts.begin(), starts.end());
    holding.nextStart = MonotonicTime::max();
    int count = 0;
    for (const MonotonicTime start : starts) {
        if (start > now) {
            holding.nextStart = start;
            break;
        }
        ++count;
        // A partition counts from its start time, even if it is processed later.
        if (count > holding.bucket.partitions())
            holding.bucket.setPartitions(count, start);
    }
    holding.bucket.setPartitions(count, now);
}

void PartitionHolder::expireGrants(MonotonicTime now)
{
    expire(m_rateGrants, QuotaKind::Rate, now);
    expire(m_slotGrants, QuotaKind::Slots, now);
    const auto isForgettable = [&](MonotonicTime forgetAt) {
        const bool isExpired = forgetAt - refundMemory + 2 * slotTtl <= now;
        return forgetAt <= now || (isExpired && m_grants.size() > maximumGrants);
    };
    while (!m_expiredGrants.empty() && isForgettable(m_expiredGrants.front().first)) {
        m_grants.erase(m_expiredGrants.front().second);
        m_expiredGrants.pop_front();
    }
}

void PartitionHolder::expire(std::deque<Due>& due, QuotaKind kind, MonotonicTime now)
{
    while (!due.empty() && due.front().first <= now) {
        // Refill resumes at the time of expiry, even if the expiry is processed later.
        const auto [expiredAt, id] = due.front();
        due.pop_front();
        const auto found = m_grants.find(id);
        if (found == m_grants.end())
            continue;
        for (Granted& granted : found->second.amounts) {
            const auto holding = m_workspaceBuckets.find(granted.workspace);
            if (holding != m_workspaceBuckets.end() && holding->second.bucket.limit().kind == kind)
                spend(granted, granted.outstanding, holding->second.bucket, expiredAt);
        }
    }
}

} // namespace lacewing
