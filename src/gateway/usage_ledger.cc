#include "gateway/usage_ledger.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// Spendings closer together than this are kept as one.
constexpr Duration resolution = std::chrono::milliseconds(50);
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(200);
constexpr Duration longestRetryAfter = std::chrono::seconds(2);
/// Part of what is left that one host may spend between two reports, in multiples of its even share.
constexpr double unreportedShares = 1.25;
/// The same between two heartbeats, with reports in between, and the largest part of what is left in a small
/// fleet. Bounds what is spent while a link is silent and its peer not yet known to be out of reach.
constexpr double heartbeatShares = 12;
constexpr double largestHeartbeatPart = 0.5;
/// Part of the tolerance that is used while the past is not known. The rest covers what hosts spend between
/// reports.
constexpr double toleranceUse = 0.4;
/// A burst below this much of the rate would refuse single requests.
constexpr double shortestBurstSeconds = 0.25;

} // namespace

UsageLedger::UsageLedger(Duration window, HostId self, MonotonicTime knownSince)
    : m_window(window)
    , m_self(std::move(self))
    , m_knownSince(knownSince)
{
}

void UsageLedger::add(Account& account, int64_t amount, MonotonicTime now)
{
    if (account.spendings.empty() || now - account.spendings.back().time > resolution)
        account.spendings.push_back({ now, 0 });
    account.spendings.back().amount += amount;
    account.inWindow += amount;
}

void UsageLedger::expire(Account& account, MonotonicTime now) const
{
    while (!account.spendings.empty() && now - account.spendings.front().time > m_window + resolution) {
        account.inWindow -= account.spendings.front().amount;
        account.spendings.pop_front();
    }
}

double UsageLedger::whole(const WorkspaceLimit& limit) const
{
    return limit.ratePerSecond * toSeconds(m_window) + limit.burst;
}

// After a start of all hosts nothing is known of what was spent before it. The burst counts as spent, but for
// a part of the tolerance, and comes back at the rate.
double UsageLedger::burstLeft(const ServingWorkspace& workspace, MonotonicTime now)
{
    const WorkspaceLimit& limit = workspace.limit;
    const double capacity = std::max(limit.burst, limit.ratePerSecond * shortestBurstSeconds);
    const auto [found, isNew] = m_buckets.try_emplace(workspace.id);
    Bucket& bucket = found->second;
    if (isNew) {
        const bool isPastKnown = now - m_knownSince >= m_window;
        const double tolerated = toleranceUse * (m_tolerance.share * whole(limit) + m_tolerance.amount);
        bucket.level += isPastKnown ? 0 : capacity - tolerated;
        bucket.updated = isPastKnown ? now : m_knownSince;
    }
    bucket.level -= limit.ratePerSecond * toSeconds(now - bucket.updated);
    bucket.level = std::max(0.0, bucket.level);
    bucket.updated = now;
    return capacity - bucket.level;
}

double UsageLedger::knownUsage(const WorkspaceId& workspace, double evenShare, MonotonicTime now)
{
    double usage = 0;
    std::map<HostId, double> ofHost;
    auto& accounts = m_peers[workspace];
    for (auto account = accounts.begin(); account != accounts.end();) {
        expire(account->second, now);
        ofHost[account->first.first] += static_cast<double>(account->second.inWindow);
        const bool isDone = account->second.spendings.empty() && m_members.count(account->first.first) == 0;
        account = isDone ? accounts.erase(account) : std::next(account);
    }
    for (const auto& [host, isInTouch] : m_members) {
        if (host == m_self)
            continue;
        double& spent = ofHost[host];
        if (!isInTouch)
            spent = std::max(spent, evenShare);
    }
    for (const auto& [host, spent] : ofHost)
        usage += spent;
    return usage;
}

std::optional<Duration> UsageLedger::charge(
    const ServingWorkspace& workspace, int64_t amount, MonotonicTime now)
{
    Account& own = m_own[workspace.id];
    expire(own, now);
    if (workspace.limit.isLimited()) {
        const auto members = static_cast<double>(std::max<size_t>(1, m_members.size()));
        const double limit = whole(workspace.limit);
        const double evenShare = limit / members;
        const double others = knownUsage(workspace.id, evenShare, now);
        const double windowLeft = limit - static_cast<double>(own.inWindow) - others;
        const double left = std::min(windowLeft, burstLeft(workspace, now));
        const auto sinceHeartbeat = static_cast<double>(own.total - own.heartbeatTotal);
        const auto unreported = static_cast<double>(own.total - own.reportedTotal);
        const double part = members > 1 ? std::min(largestHeartbeatPart, heartbeatShares / members) : 1;
        const double bound = (left + sinceHeartbeat) * part;
        const double reportBound = (left + unreported) * std::min(1.0, unreportedShares / members);
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
    add(own, amount, now);
    own.total += amount;
    return std::nullopt;
}

void UsageLedger::refund(const WorkspaceId& workspace, int64_t amount, MonotonicTime now)
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

std::vector<UsageReport> UsageLedger::heartbeatReport(MonotonicTime now)
{
    for (auto& [workspace, account] : m_own)
        account.heartbeatTotal = account.total;
    return earlyReport(now);
}

std::vector<UsageReport> UsageLedger::earlyReport(MonotonicTime now)
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

std::vector<UsageReport> UsageLedger::wholeReport(MonotonicTime now)
{
    std::vector<UsageReport> reports;
    for (auto& [workspace, account] : m_own) {
        expire(account, now);
        if (account.total != 0)
            reports.push_back({ workspace, account.total, account.inWindow });
    }
    return reports;
}

void UsageLedger::peerReported(
    const HostId& peer, Incarnation incarnation, const std::vector<UsageReport>& usage, MonotonicTime now)
{
    for (const UsageReport& report : usage) {
        auto& accounts = m_peers[report.workspace];
        const auto [account, isNew] = accounts.try_emplace({ peer, incarnation });
        expire(account->second, now);
        // What was spent before the first report is counted from now on, which is later than it was spent.
        const int64_t added = isNew ? report.inWindow : report.total - account->second.total;
        account->second.total = report.total;
        if (added == 0)
            continue;
        add(account->second, added, now);
        // What was spent before this host heard of the peer is in the window, but the burst may have come
        // back.
        const auto bucket = m_buckets.find(report.workspace);
        if (!isNew && bucket != m_buckets.end())
            bucket->second.level += static_cast<double>(added);
    }
}

} // namespace lacewing::gateway
