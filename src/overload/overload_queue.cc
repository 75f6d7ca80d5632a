#include "overload/overload_queue.h"

#include "overload/reading_time.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace lacewing::overload {

namespace {

/// Shares of the time until the on-time start after which a request moves up a level.
constexpr double firstRise = 0.75;
constexpr double secondRise = 1.0;
/// A waiting request is denied only if its predicted wait exceeds its time by this factor and this time,
/// since the prediction varies by about that much from one plan to the next.
constexpr double waitingTolerance = 1.25;
constexpr Duration waitingMargin = std::chrono::milliseconds(50);
/// Time constant with which admitted tokens are forgotten.
constexpr Duration recentTime = std::chrono::seconds(1);
/// Limit of the engine's share that later, more urgent requests are assumed to take.
constexpr double largestOvertakingLoad = 0.6;
/// Workspaces are ranked by how many times their even share comes before a request, up to this number.
constexpr int mostShares = 4;
/// Priorities above this count as this one.
constexpr int lastPriority = 9;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

size_t priorityIndex(int priority)
{
    return static_cast<size_t>(std::clamp(priority, 0, lastPriority));
}

/// Place of a request in the order of starts.
struct Rank {
    bool isLate = false;
    int level = 0;
    int sharesBefore = 0;
    MonotonicTime onTimeStart;
    size_t index = 0;

    friend bool operator<(const Rank& a, const Rank& b)
    {
        return std::tie(a.isLate, a.level, a.sharesBefore, a.onTimeStart, a.index)
            < std::tie(b.isLate, b.level, b.sharesBefore, b.onTimeStart, b.index);
    }
};

Tokens backlogBefore(const Rank& rank, const EngineState& engine)
{
    const int level = rank.isLate ? OverloadQueue::lateLevel : rank.level;
    Tokens before;
    for (const auto& [each, tokens] : engine.backlog)
        before += each <= level ? tokens : Tokens(0);
    return before;
}

// Walks through the requests in the order without shares, so that the requests of a workspace that come first
// keep their rank and only those beyond its even share go back.
void rankByShare(
    std::vector<Rank>& ranks, const std::vector<QueuedRequest>& requests, const EngineState& engine)
{
    std::map<WorkspaceId, Tokens> before = engine.running;
    Tokens total;
    before.erase(WorkspaceId());
    for (const auto& [workspace, tokens] : before)
        total += tokens;
    for (const QueuedRequest& request : requests) {
        if (request.workspace.empty())
            continue;
        total += request.prompt;
        before[request.workspace];
    }
    if (before.size() < 2)
        return;
    const double share
        = std::max(1.0, static_cast<double>(total.value()) / static_cast<double>(before.size()));
    std::sort(ranks.begin(), ranks.end());
    for (Rank& rank : ranks) {
        const QueuedRequest& request = requests[rank.index];
        const auto own = before.find(request.workspace);
        if (own == before.end())
            continue;
        const double shares = static_cast<double>(own->second.value()) / share;
        rank.sharesBefore = static_cast<int>(std::min<double>(shares, mostShares));
        own->second += request.prompt;
    }
}

} // namespace

/// Predicts when each request starts, in the order of starts.
struct OverloadQueue::Simulation {
    const OverloadQueue& queue;
    const std::vector<QueuedRequest>& requests;
    const EngineState& engine;
    const ReturnSchedule& returns;
    MonotonicTime now;
    bool hasRises = true;

    QueuePlan run()
    {
        std::vector<Rank> ranks;
        for (size_t index = 0; index < requests.size(); ++index) {
            const QueuedRequest& request = requests[index];
            ranks.push_back(
                { now > request.onTimeStart, hasRises ? OverloadQueue::level(request, now) : request.priority,
                    0, request.onTimeStart, index });
        }
        rankByShare(ranks, requests, engine);
        MonotonicTime free = now;
        std::set<Rank> ready;
        std::set<std::pair<MonotonicTime, Rank>> loading;
        for (const Rank& rank : ranks) {
            const MonotonicTime readyAt = requests[rank.index].readyAt;
            if (readyAt > now)
                loading.emplace(readyAt, rank);
            else
                ready.insert(rank);
        }
        QueuePlan plan;
        int started = 0;
        while (!ready.empty() || !loading.empty()) {
            if (ready.empty())
                free = std::max(free, loading.begin()->first);
            while (!loading.empty() && loading.begin()->first <= free)
                ready.insert(loading.extract(loading.begin()).value().second);
            Rank rank = ready.extract(ready.begin()).value();
            const QueuedRequest& request = requests[rank.index];
            const MonotonicTime start = predict(rank, free, started);
            const bool mayBeLate = request.latestStart > request.onTimeStart;
            if (!rank.isLate && mayBeLate && start > tolerated(request, request.onTimeStart)) {
                // On-time requests go before it.
                rank.isLate = true;
                ready.insert(rank);
                continue;
            }
            if (start > tolerated(request, request.latestStart)) {
                plan.denials.push_back({ rank.index, start - now });
                continue;
            }
            free += readingTime(request.prompt, engine.tokensPerMillisecond);
            ++started;
            plan.order.push_back(rank.index);
        }
        return plan;
    }

    MonotonicTime tolerated(const QueuedRequest& request, MonotonicTime latest) const
    {
        if (request.isNew || now > latest)
            return latest;
        return now + scaled(latest - now, waitingTolerance) + waitingMargin;
    }

    /// @param free when the engine has read the prompts before this one.
    /// @param started number of requests that start before.
    MonotonicTime predict(const Rank& rank, MonotonicTime free, int started) const
    {
        const QueuedRequest& request = requests[rank.index];
        const Duration reading
            = readingTime(backlogBefore(rank, engine) + request.prompt, engine.tokensPerMillisecond);
        Duration wait = (free - now) + reading;
        if (started >= engine.freePlaces)
            wait = std::max<Duration>(wait,
                (started - engine.freePlaces + 1) * engine.placeInterval
                    + readingTime(request.prompt, engine.tokensPerMillisecond));
        const int level = rank.isLate ? lateLevel : rank.level;
        wait = scaled(wait, queue.overtakingFactor(level, engine.tokensPerMillisecond, now));
        if (request.isNew)
            wait += readingTime(
                returns.heldFrom(request.priority, now, now + wait), engine.tokensPerMillisecond);
        return now + wait;
    }
};

void OverloadQueue::admitted(int priority, Tokens prompt, MonotonicTime now)
{
    m_recentTokens.resize(lastPriority + 1);
    const double kept = std::exp(-toSeconds(now - m_recentAt) / toSeconds(recentTime));
    for (double& tokens : m_recentTokens)
        tokens *= kept;
    m_recentAt = now;
    m_recentTokens[priorityIndex(priority)] += static_cast<double>(prompt.value());
}

// While later requests take a share of the engine, a wait is longer by the inverse of the rest.
double OverloadQueue::overtakingFactor(int level, double tokensPerMillisecond, MonotonicTime now) const
{
    const size_t own = level == lateLevel ? m_recentTokens.size() : priorityIndex(level);
    double tokens = 0;
    for (size_t priority = 0; priority < std::min(own, m_recentTokens.size()); ++priority)
        tokens += m_recentTokens[priority];
    const double kept = std::exp(-toSeconds(now - m_recentAt) / toSeconds(recentTime));
    const double perMillisecond = tokens * kept / static_cast<double>(toMilliseconds(recentTime));
    return 1 / (1 - std::min(perMillisecond / tokensPerMillisecond, largestOvertakingLoad));
}

int OverloadQueue::level(const QueuedRequest& request, MonotonicTime now)
{
    const double time = toSeconds(request.onTimeStart - request.arrival);
    const double waited = toSeconds(now - request.arrival);
    const int rises
        = time <= 0 ? 0 : (waited >= firstRise * time ? 1 : 0) + (waited >= secondRise * time ? 1 : 0);
    return std::max(0, request.priority - rises);
}

QueuePlan OverloadQueue::plan(const std::vector<QueuedRequest>& requests, const EngineState& engine,
    const ReturnSchedule& returns, MonotonicTime now) const
{
    Simulation simulation { *this, requests, engine, returns, now };
    QueuePlan plan = simulation.run();
    const bool hasRisen = std::any_of(requests.begin(), requests.end(),
        [now](const QueuedRequest& request) { return level(request, now) < request.priority; });
    if (!hasRisen || plan.denials.empty())
        return plan;
    simulation.hasRises = false;
    QueuePlan strict = simulation.run();
    const std::set<size_t> startsStrictly(strict.order.begin(), strict.order.end());
    // Indices of denied requests that would start if nobody moved up are those that moving up costs a start.
    const bool costsStarts = std::any_of(plan.denials.begin(), plan.denials.end(),
        [&](const QueuePlan::Denial& denial) { return startsStrictly.count(denial.index) > 0; });
    return costsStarts ? strict : plan;
}

} // namespace lacewing::overload
