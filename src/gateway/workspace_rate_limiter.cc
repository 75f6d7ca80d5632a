#include "gateway/workspace_rate_limiter.h"

#include <algorithm>
#include <iterator>

namespace lacewing::gateway {

namespace {

/// Charges closer together than this are merged into one entry.
constexpr Duration resolution = std::chrono::milliseconds(50);
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(200);
constexpr Duration longestRetryAfter = std::chrono::seconds(2);
/// Usage of one host between two reports that triggers an early report, in fair shares of the remaining
/// limit.
constexpr double unreportedFairShares = 0.5;
/// Maximum usage of one host between two heartbeats, in fair shares of the remaining limit, and the maximum
/// fraction of the remaining limit, which applies in a small fleet. Bounds the usage while the reports to a
/// peer are lost and it is not yet known to be unreachable.
constexpr double heartbeatFairShares = 12;
constexpr double maximumHeartbeatFraction = 0.5;
/// Fractions of the tolerance: the excess over the burst while the limit of the window is kept, and the
/// amount that may be charged at once while earlier usage is unknown. Both can apply in one window around a
/// restart of all hosts; the remaining fraction covers the usage between reports.
constexpr double burstToleranceFraction = 0.4;
constexpr double restartToleranceFraction = 0.3;
/// Minimum burst, in seconds at the rate; a smaller burst would refuse single requests.
constexpr double shortestBurstSeconds = 0.25;

} // namespace

WorkspaceRateLimiter::WorkspaceRateLimiter(Duration window, HostId self, MonotonicTime knownSince)
    : m_window(window)
    , m_self(std::move(self))
    , m_knownSince(knownSince)
{
}

void WorkspaceRateLimiter::add(Account& account, const UsageEntry& entry)
{
    account.inWindow += entry.amount;
    const bool isMerged = !account.entries.empty() && entry.time - account.entries.back().time <= resolution
        && entry.precedesFirstReport == account.entries.back().precedesFirstReport;
    if (isMerged)
        account.entries.back().amount += entry.amount;
    else
        account.entries.push_back(entry);
}

void WorkspaceRateLimiter::expire(Account& account, MonotonicTime now) const
{
    while (!account.entries.empty() && now - account.entries.front().time > m_window + resolution) {
        account.inWindow -= account.entries.front().amount;
        account.entries.pop_front();
    }
}

double WorkspaceRateLimiter::windowLimit(const WorkspaceLimit& limit) const
{
    return limit.ratePerSecond * toSeconds(m_window) + limit.burst;
}

// A window limit alone would let a workspace use all of it just before a restart of all hosts, which loses
// the record of that usage, and again after it. The amount that may be charged at once is therefore little
// more than the burst. After such a restart the bucket starts full except for a fraction of the tolerance,
// and drains at the rate.
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
    std::vector<UsageEntry> entries;
    for (const auto& [peer, account] : m_peers[workspace.id])
        std::copy_if(account.entries.begin(), account.entries.end(), std::back_inserter(entries),
            [](const UsageEntry& entry) { return !entry.precedesFirstReport; });
    std::sort(entries.begin(), entries.end(),
        [](const UsageEntry& a, const UsageEntry& b) { return a.time < b.time; });
    for (const UsageEntry& entry : entries) {
        bucket.leak(workspace.limit.ratePerSecond, entry.time);
        bucket.level += static_cast<double>(entry.amount);
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
        const bool isExpired = account->second.entries.empty() && m_members.count(account->first.first) == 0;
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
        // At least one request may be charged between two heartbeats.
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
    // Only charges that are still in the window can be refunded.
    for (auto entry = own.entries.rbegin(); entry != own.entries.rend() && amount > 0; ++entry) {
        const int64_t part = std::min(amount, entry->amount);
        entry->amount -= part;
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
        // Usage before the first report is counted as of now, which is later than the actual time.
        const int64_t added = isNew ? report.inWindow : report.total - account->second.total;
        account->second.total = report.total;
        if (added == 0)
            continue;
        // Usage before this host first heard from the peer counts in the window, but not in the bucket, which
        // may have drained since.
        const bool precedesFirstReport = isNew && !isKnownPeer;
        add(account->second, { now, added, precedesFirstReport });
        const auto bucket = m_buckets.find(report.workspace);
        if (!precedesFirstReport && bucket != m_buckets.end())
            bucket->second.level += static_cast<double>(added);
    }
}

} // namespace lacewing::gateway
