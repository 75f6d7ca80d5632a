#include "gateway/workspace_rate_limiter.h"

#include <algorithm>
#include <iterator>

namespace lacewing::gateway {

namespace {

/// Spendings closer together than this are kept as one.
constexpr Duration resolution = std::chrono::milliseconds(50);
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(200);
constexpr Duration longestRetryAfter = std::chrono::seconds(2);
/// Part of what is left that one host may spend between two reports, in multiples of its even share.
constexpr double unreportedFairShares = 0.5;
/// The same between two heartbeats, with reports in between, and the largest part of what is left in a small
/// fleet. Bounds what is spent while a link is silent and its peer not yet known to be out of reach.
constexpr double heartbeatFairShares = 12;
constexpr double maximumHeartbeatFraction = 0.5;
/// Parts of the tolerance by which a burst may be exceeded as long as the window's sum is kept, and that may
/// be spent at once while the past is not known. Both can meet in one window around a restart of all hosts;
/// the rest covers what hosts spend between reports.
constexpr double burstToleranceFraction = 0.4;
constexpr double restartToleranceFraction = 0.3;
/// A burst below this much of the rate would refuse single requests.
constexpr double shortestBurstSeconds = 0.25;

} // namespace

WorkspaceRateLimiter::WorkspaceRateLimiter(Duration window, HostId self, MonotonicTime knownSince)
    : m_window(window)
    , m_self(std::move(self))
    , m_knownSince(knownSince)
{
}

void WorkspaceRateLimiter::add(Account& account, const Spending& spending)
{
    account.inWindow += spending.amount;
    const bool isMerged = !account.spendings.empty()
        && spending.time - account.spendings.back().time <= resolution
        && spending.precedesFirstReport == account.spendings.back().precedesFirstReport;
    if (isMerged)
        account.spendings.back().amount += spending.amount;
    else
        account.spendings.push_back(spending);
}

void WorkspaceRateLimiter::expire(Account& account, MonotonicTime now) const
{
    while (!account.spendings.empty() && now - account.spendings.front().time > m_window + resolution) {
        account.inWindow -= account.spendings.front().amount;
        account.spendings.pop_front();
    }
}

double WorkspaceRateLimiter::windowLimit(const WorkspaceLimit& limit) const
{
    return limit.ratePerSecond * toSeconds(m_window) + limit.burst;
}

// The window's sum alone would let a workspace spend all of it just before a restart of all hosts, after
// which nothing is known of it, and again after it. So what may be spent at once is little more than the
// burst. After such a restart it counts as spent, but for a part of the tolerance, and comes back at the
// rate.
double WorkspaceRateLimiter::remainingBurst(const ServingWorkspace& workspace, MonotonicTime now)
{
    const WorkspaceLimit& limit = workspace.limit;
    const double tolerance = m_tolerance.share * windowLimit(limit) + m_tolerance.amount;
    const double capacity = std::max(limit.burst, limit.ratePerSecond * shortestBurstSeconds)
        + burstToleranceFraction * tolerance;
    const auto [found, isNew] = m_buckets.try_emplace(workspace.id);
    LeakyBucket& bucket = found->second;
    if (isNew) {
        const bool isHistoryComplete = now - m_knownSince >= m_window;
        bucket.level = isHistoryComplete ? 0 : capacity - restartToleranceFraction * tolerance;
        bucket.updated = isHistoryComplete ? now - m_window : m_knownSince;
        replayPeerUsage(bucket, workspace);
    }
    bucket.leak(limit.ratePerSecond, now);
    return capacity - bucket.level;
}

void WorkspaceRateLimiter::LeakyBucket::leak(double ratePerSecond, MonotonicTime now)
{
    level = std::max(0.0, level - ratePerSecond * toSeconds(std::max(now - updated, Duration::zero())));
    updated = std::max(updated, now);
}

void WorkspaceRateLimiter::replayPeerUsage(LeakyBucket& bucket, const ServingWorkspace& workspace)
{
    std::vector<Spending> spendings;
    for (const auto& [peer, account] : m_peers[workspace.id])
        std::copy_if(account.spendings.begin(), account.spendings.end(), std::back_inserter(spendings),
            [](const Spending& spending) { return !spending.precedesFirstReport; });
    std::sort(spendings.begin(), spendings.end(),
        [](const Spending& a, const Spending& b) { return a.time < b.time; });
    for (const Spending& spending : spendings) {
        bucket.leak(workspace.limit.ratePerSecond, spending.time);
        bucket.level += static_cast<double>(spending.amount);
    }
}

double WorkspaceRateLimiter::peerUsage(const WorkspaceId& workspace, double fairShare, MonotonicTime now)
{
    double usage = 0;
    std::map<HostId, double> ofHost;
    auto& accounts = m_peers[workspace];
    for (auto account = accounts.begin(); account != accounts.end();) {
        expire(account->second, now);
        ofHost[account->first.first] += static_cast<double>(account->second.inWindow);
        const bool isExpired
            = account->second.spendings.empty() && m_members.count(account->first.first) == 0;
        account = isExpired ? accounts.erase(account) : std::next(account);
    }
    for (const auto& [host, isInTouch] : m_members) {
        if (host == m_self)
            continue;
        double& spent = ofHost[host];
        if (!isInTouch)
            spent = std::max(spent, fairShare);
    }
    for (const auto& [host, spent] : ofHost)
        usage += spent;
    return usage;
}

std::optional<Duration> WorkspaceRateLimiter::charge(
    const ServingWorkspace& workspace, int64_t amount, MonotonicTime now)
{
    Account& own = m_own[workspace.id];
    expire(own, now);
    if (workspace.limit.isLimited()) {
        const auto members = static_cast<double>(std::max<size_t>(1, m_members.size()));
        const double limit = windowLimit(workspace.limit);
        const double fairShare = limit / members;
        const double others = peerUsage(workspace.id, fairShare, now);
        const double windowLeft = limit - static_cast<double>(own.inWindow) - others;
        const double left = std::min(windowLeft, remainingBurst(workspace, now));
        const auto sinceHeartbeat = static_cast<double>(own.total - own.heartbeatTotal);
        const auto unreported = static_cast<double>(own.total - own.reportedTotal);
        const double part
            = members > 1 ? std::min(maximumHeartbeatFraction, heartbeatFairShares / members) : 1;
        const double bound = (left + sinceHeartbeat) * part;
        const double reportBound = (left + unreported) * std::min(1.0, unreportedFairShares / members);
        const auto wanted = static_cast<double>(amount);
        // One request at least may pass between two heartbeats.
        if (wanted > left || (sinceHeartbeat > 0 && sinceHeartbeat + wanted > bound)) {
            m_lastRefusal = { limit, static_cast<double>(own.inWindow), others, bound, sinceHeartbeat };
            const double seconds = (wanted - left) / workspace.limit.ratePerSecond;
            const auto wait = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(std::clamp(seconds, 0.0, toSeconds(longestRetryAfter))));
            return std::max(wait, shortestRetryAfter);
        }
        if (unreported > 0 && unreported + wanted > reportBound)
            m_isReportDue = true;
    }
    m_buckets[workspace.id].level += static_cast<double>(amount);
    add(own, { now, amount });
    own.total += amount;
    return std::nullopt;
}

void WorkspaceRateLimiter::refund(const WorkspaceId& workspace, int64_t amount, MonotonicTime now)
{
    Account& own = m_own[workspace];
    m_buckets[workspace].level -= static_cast<double>(amount);
    expire(own, now);
    // Only what is still in the window can be given back.
    for (auto spending = own.spendings.rbegin(); spending != own.spendings.rend() && amount > 0; ++spending) {
        const int64_t part = std::min(amount, spending->amount);
        spending->amount -= part;
        own.inWindow -= part;
        own.total -= part;
        amount -= part;
    }
}

std::vector<UsageReport> WorkspaceRateLimiter::heartbeatReport(MonotonicTime now)
{
    for (auto& [workspace, account] : m_own)
        account.heartbeatTotal = account.total;
    return earlyReport(now);
}

std::vector<UsageReport> WorkspaceRateLimiter::earlyReport(MonotonicTime now)
{
    m_isReportDue = false;
    std::vector<UsageReport> reports;
    for (auto& [workspace, account] : m_own) {
        if (account.total == account.reportedTotal)
            continue;
        expire(account, now);
        account.reportedTotal = account.total;
        reports.push_back({ workspace, account.total, account.inWindow });
    }
    return reports;
}

std::vector<UsageReport> WorkspaceRateLimiter::fullReport(MonotonicTime now)
{
    std::vector<UsageReport> reports;
    for (auto& [workspace, account] : m_own) {
        expire(account, now);
        if (account.total != 0)
            reports.push_back({ workspace, account.total, account.inWindow });
    }
    return reports;
}

void WorkspaceRateLimiter::peerReported(
    const HostId& peer, Incarnation incarnation, const std::vector<UsageReport>& usage, MonotonicTime now)
{
    const auto [heard, isFirst] = m_peerIncarnations.try_emplace(peer, incarnation);
    const bool isKnownPeer = !isFirst && heard->second == incarnation;
    heard->second = incarnation;
    for (const UsageReport& report : usage) {
        auto& accounts = m_peers[report.workspace];
        const auto [account, isNew] = accounts.try_emplace({ peer, incarnation });
        expire(account->second, now);
        // What was spent before the first report is counted from now on, which is later than it was spent.
        const int64_t added = isNew ? report.inWindow : report.total - account->second.total;
        account->second.total = report.total;
        if (added == 0)
            continue;
        // What was spent before this host heard of the peer is in the window, but the burst may have come
        // back.
        const bool precedesFirstReport = isNew && !isKnownPeer;
        add(account->second, { now, added, precedesFirstReport });
        const auto bucket = m_buckets.find(report.workspace);
        if (!precedesFirstReport && bucket != m_buckets.end())
            bucket->second.level += static_cast<double>(added);
    }
}

} // namespace lacewing::gateway
