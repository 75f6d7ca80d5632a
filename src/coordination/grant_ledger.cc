#include "coordination/grant_ledger.h"

#include <algorithm>
#include <utility>

namespace lacewing {

GrantLedger::GrantLedger(const Clock& clock, Reporter reporter)
    : m_clock(clock)
    , m_reporter(std::move(reporter))
{
}

void GrantLedger::add(
    const HostId& holder, uint64_t seq, const TokenAmount& amount, QuotaKind kind, MonotonicTime expiry)
{
    auto grant = std::make_shared<Grant>();
    grant->holder = holder;
    grant->seq = seq;
    grant->workspace = amount.workspace;
    grant->kind = kind;
    grant->expiry = expiry;
    grant->available = amount.tokens;
    GrantQueue& grants = m_available[amount.workspace];
    const auto place = std::upper_bound(grants.begin(), grants.end(), expiry,
        [](MonotonicTime time, const std::shared_ptr<Grant>& other) { return time < other->expiry; });
    grants.insert(place, std::move(grant));
}

Tokens GrantLedger::available(const WorkspaceId& workspace)
{
    releaseExpiringBefore(workspace, m_clock.now());
    const auto found = m_available.find(workspace);
    if (found == m_available.end())
        return Tokens();
    Tokens sum;
    for (const std::shared_ptr<Grant>& grant : found->second)
        sum += grant->available;
    return sum;
}

std::vector<GrantLedger::Part> GrantLedger::charge(const WorkspaceId& workspace, Tokens tokens)
{
    std::vector<Part> parts;
    const auto found = m_available.find(workspace);
    while (tokens > Tokens() && found != m_available.end() && !found->second.empty()) {
        const std::shared_ptr<Grant> grant = found->second.front();
        const Tokens amount = std::min(tokens, grant->available);
        grant->available -= amount;
        grant->charged += amount;
        tokens -= amount;
        parts.push_back({ grant, amount });
        markChanged(grant);
        if (grant->available == Tokens())
            found->second.pop_front();
    }
    if (found != m_available.end() && found->second.empty())
        m_available.erase(found);
    return parts;
}

void GrantLedger::refund(const std::vector<Part>& parts, Tokens unused)
{
    for (auto part = parts.rbegin(); part != parts.rend() && unused > Tokens(); ++part) {
        const Tokens amount = std::min(unused, part->tokens);
        part->grant->refunded += amount;
        unused -= amount;
        markChanged(part->grant);
    }
}

void GrantLedger::releaseExpiringBefore(const WorkspaceId& workspace, MonotonicTime time)
{
    const auto found = m_available.find(workspace);
    if (found == m_available.end())
        return;
    release(found->second, time);
    if (found->second.empty())
        m_available.erase(found);
}

void GrantLedger::releaseExpiringBefore(MonotonicTime time)
{
    for (auto found = m_available.begin(); found != m_available.end();) {
        release(found->second, time);
        found = found->second.empty() ? m_available.erase(found) : std::next(found);
    }
}

void GrantLedger::release(GrantQueue& grants, MonotonicTime time)
{
    while (!grants.empty() && grants.front()->expiry <= time) {
        const std::shared_ptr<Grant> grant = grants.front();
        grants.pop_front();
        grant->unused += std::exchange(grant->available, Tokens());
        markChanged(grant);
    }
}

void GrantLedger::markChanged(const std::shared_ptr<Grant>& grant)
{
    if (!std::exchange(grant->isChanged, true))
        m_changed.push_back(grant);
}

void GrantLedger::flush()
{
    using ReportId = std::pair<HostId, uint64_t>;
    std::map<ReportId, QuotaReturn> reports;
    for (const std::shared_ptr<Grant>& grant : std::exchange(m_changed, {})) {
        grant->isChanged = false;
        QuotaReturn& report = reports[{ grant->holder, grant->seq }];
        report.seq = grant->seq;
        // A slot counts as occupied until it is returned, so its use is not reported.
        const bool isSlot = grant->kind == QuotaKind::Slots;
        const Tokens spent = isSlot ? Tokens() : grant->charged;
        // The holder recognises a refund by the sum exceeding the grant, so refunds wait until nothing of the
        // grant is available any more; release() reports the grant again by then.
        const bool isClosed = isSlot || grant->available == Tokens();
        const Tokens unused = grant->unused + (isClosed ? grant->refunded : Tokens());
        if (spent > Tokens())
            report.spent.push_back({ grant->workspace, spent });
        if (unused > Tokens())
            report.unused.push_back({ grant->workspace, unused });
    }
    for (const auto& [id, report] : reports) {
        if (!report.spent.empty() || !report.unused.empty())
            m_reporter(id.first, report);
    }
}

} // namespace lacewing
