#include "coordination/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// Number of failures in a row after which an upstream is ejected during its slow start.
constexpr int slowStartFailureLimit = 2;

} // namespace

UpstreamHealth::UpstreamHealth(Options options)
    : m_options(options)
    , m_random(options.seed)
{
}

void UpstreamHealth::setMembers(const std::set<UpstreamId>& members, MonotonicTime now)
{
    for (auto it = m_members.begin(); it != m_members.end();)
        it = members.count(it->first) > 0 ? std::next(it) : m_members.erase(it);
    for (const UpstreamId& upstream : members)
        m_members.try_emplace(upstream);
    while (ejected(now) > m_members.size() / 3) {
        Member* longest = nullptr;
        for (auto& [id, member] : m_members) {
            if (now < member.ejectedUntil && (!longest || member.ejectedAt < longest->ejectedAt))
                longest = &member;
        }
        longest->ejectedUntil = now;
        longest->slowStartBegin = now;
    }
}

void UpstreamHealth::recordSuccess(const UpstreamId& upstream, MonotonicTime now)
{
    Member* member = count(upstream, false, now);
    if (!member)
        return;
    member->consecutiveFailures = 0;
    if (now >= member->ejectedUntil && !isInSlowStart(*member, now))
        member->ejections = 0;
}

void UpstreamHealth::recordFailure(const UpstreamId& upstream, MonotonicTime now)
{
    Member* member = count(upstream, true, now);
    if (!member)
        return;
    ++member->consecutiveFailures;
    if (now < member->ejectedUntil || !isFailing(*member, now))
        return;
    if (ejected(now) + 1 <= m_members.size() / 3)
        eject(*member, now);
}

void UpstreamHealth::recordBootId(const UpstreamId& upstream, const std::string& bootId, MonotonicTime now)
{
    const auto found = m_members.find(upstream);
    if (found == m_members.end() || found->second.bootId == bootId)
        return;
    Member& member = found->second;
    if (!member.bootId.empty()) {
        // Failures of the previous process say nothing about the new one.
        member = Member {};
        member.slowStartBegin = now;
    }
    member.bootId = bootId;
}

double UpstreamHealth::weight(const UpstreamId& upstream, MonotonicTime now) const
{
    const auto found = m_members.find(upstream);
    if (found == m_members.end())
        return 1;
    const Member& member = found->second;
    if (now < member.ejectedUntil)
        return 0;
    if (!isInSlowStart(member, now))
        return 1;
    const double progress = toSeconds(now - member.slowStartBegin) / toSeconds(m_options.slowStart);
    return m_options.initialWeight + (1 - m_options.initialWeight) * progress;
}

size_t UpstreamHealth::ejected(MonotonicTime now) const
{
    return static_cast<size_t>(std::count_if(m_members.begin(), m_members.end(),
        [=](const auto& entry) { return now < entry.second.ejectedUntil; }));
}

UpstreamHealth::Member* UpstreamHealth::count(const UpstreamId& upstream, bool failed, MonotonicTime now)
{
    const auto found = m_members.find(upstream);
    if (found == m_members.end())
        return nullptr;
    Member& member = found->second;
    const double age = toSeconds(std::max(now - member.countedAt, Duration::zero()));
    const double kept = std::exp(-age / toSeconds(m_options.rateTimeConstant));
    member.requests = member.requests * kept + 1;
    member.failures = member.failures * kept + (failed ? 1 : 0);
    member.countedAt = now;
    return &member;
}

bool UpstreamHealth::isFailing(const Member& member, MonotonicTime now) const
{
    const int limit = isInSlowStart(member, now) ? slowStartFailureLimit : m_options.consecutiveFailures;
    if (member.consecutiveFailures >= limit)
        return true;
    return member.requests >= m_options.minimumRequests
        && member.failures > m_options.failureRate * member.requests;
}

bool UpstreamHealth::isInSlowStart(const Member& member, MonotonicTime now) const
{
    return member.slowStartBegin != MonotonicTime::min() && now >= member.slowStartBegin
        && now < member.slowStartBegin + m_options.slowStart;
}

void UpstreamHealth::eject(Member& member, MonotonicTime now)
{
    const int doublings = std::min(member.ejections++, 10);
    const Duration longest
        = std::min(m_options.initialEjection * (1 << doublings), m_options.maximumEjection);
    // The jitter keeps upstreams that failed together from returning at the same time.
    const double jittered = static_cast<double>(longest.count()) * (0.75 + 0.25 * m_random.uniform());
    member.ejectedAt = now;
    member.ejectedUntil = now + Duration(static_cast<Duration::rep>(jittered));
    member.slowStartBegin = member.ejectedUntil;
    member.consecutiveFailures = 0;
    member.requests = 0;
    member.failures = 0;
}

} // namespace lacewing
