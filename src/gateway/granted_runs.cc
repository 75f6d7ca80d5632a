#include "gateway/granted_runs.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// Share of the engine's KV cache that running requests may claim.
constexpr double cacheShare = 0.92;
/// Share of its output token limit that a request is expected to generate.
constexpr double expectedOutputShare = 0.5;

} // namespace

void GrantedRuns::add(Run run)
{
    m_backlog += run.uncachedTokens;
    m_cacheInUse += cacheDemand(run.request);
    const RunKey key = run.request.key;
    m_runs.insert_or_assign(key, std::move(run));
}

const GrantedRuns::Run* GrantedRuns::progressed(const RunKey& key)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.hasProgressed)
        return nullptr;
    found->second.hasProgressed = true;
    m_backlog -= found->second.uncachedTokens;
    return &found->second;
}

std::optional<GrantedRuns::Run> GrantedRuns::remove(const RunKey& key)
{
    auto node = m_runs.extract(key);
    if (!node)
        return std::nullopt;
    if (!node.mapped().hasProgressed)
        m_backlog -= node.mapped().uncachedTokens;
    m_cacheInUse -= cacheDemand(node.mapped().request);
    return std::move(node.mapped());
}

std::vector<RunKey> GrantedRuns::ofHost(const HostId& host) const
{
    std::vector<RunKey> keys;
    for (const auto& [key, run] : m_runs) {
        if (key.host == host)
            keys.push_back(key);
    }
    return keys;
}

Duration GrantedRuns::shortestTargetPause() const
{
    Duration shortest {};
    for (const auto& [key, run] : m_runs) {
        const Duration target = run.request.targetPause;
        if (target > Duration::zero() && (shortest == Duration::zero() || target < shortest))
            shortest = target;
    }
    return shortest;
}

Tokens GrantedRuns::cacheDemand(const RunRequest& request)
{
    const double output = expectedOutputShare * static_cast<double>(request.output.value());
    return request.prompt + Tokens(static_cast<int64_t>(output));
}

bool GrantedRuns::hasCapacityFor(const RunRequest& request, const EngineLimits& limits) const
{
    if (m_runs.empty())
        return true;
    const double available = cacheShare * static_cast<double>(limits.cacheTokens.value());
    const bool fitsCache = limits.cacheTokens == Tokens(0)
        || static_cast<double>((m_cacheInUse + cacheDemand(request)).value()) <= available;
    return fitsCache && static_cast<int>(m_runs.size()) < limits.batchSlots;
}

Tokens GrantedRuns::backlogBefore(int level, MonotonicTime now) const
{
    Tokens before;
    for (const auto& [key, run] : m_runs) {
        if (isUnread(run, now) && run.level <= level)
            before += run.uncachedTokens;
    }
    return before;
}

overload::EngineState GrantedRuns::state(
    const EngineLimits& limits, double tokensPerMillisecond, Duration runTime, MonotonicTime now) const
{
    overload::EngineState state;
    for (const auto& [key, run] : m_runs) {
        if (isUnread(run, now))
            state.backlog[run.level] += run.uncachedTokens;
        state.running[run.request.workspace] += run.uncachedTokens;
    }
    state.tokensPerMillisecond = tokensPerMillisecond;
    state.freePlaces = freePlaces(limits);
    state.placeInterval = runTime / static_cast<int64_t>(std::max<size_t>(m_runs.size(), 1));
    return state;
}

int GrantedRuns::freePlaces(const EngineLimits& limits) const
{
    const int slots = std::max(0, limits.batchSlots - static_cast<int>(m_runs.size()));
    if (m_runs.empty() || limits.cacheTokens == Tokens(0))
        return m_runs.empty() ? std::max(1, slots) : slots;
    const double free = cacheShare * static_cast<double>(limits.cacheTokens.value())
        - static_cast<double>(m_cacheInUse.value());
    const double each = static_cast<double>(m_cacheInUse.value()) / static_cast<double>(m_runs.size());
    return std::min(slots, static_cast<int>(std::max(0.0, free) / std::max(1.0, each)));
}

} // namespace lacewing::gateway
