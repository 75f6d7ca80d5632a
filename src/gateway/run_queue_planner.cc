#include "gateway/run_queue_planner.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

constexpr double runTimeWeight = 0.1;
constexpr int firstUrgency = 2;
constexpr int lastOnTimeUrgency = 6;
constexpr int lateUrgency = 8;
/// Each priority level below the most urgent counts as an on-time start later by this much.
constexpr Duration priorityStep = std::chrono::milliseconds(100);
/// Share of the time until the on-time start after which a request's adapter is loaded before more popular
/// ones; the rest of the time is for the load.
constexpr double longWaitShare = 0.5;

template <typename Value> void combine(uint64_t& hash, const Value& value)
{
    constexpr uint64_t multiplier = 0x9e3779b97f4a7c15;
    hash = (hash ^ std::hash<Value>()(value)) * multiplier;
}

/// @return what identifies a request when its caller returns, through whichever host.
uint64_t fingerprint(const RunRequest& request)
{
    uint64_t hash = 0;
    combine(hash, request.workspace.value());
    combine(hash, request.adapter.model.value());
    combine(hash, request.adapter.adapter.value());
    combine(hash, request.prompt.value());
    combine(hash, request.output.value());
    combine(hash, request.priority);
    for (const PromptPart& part : request.parts)
        combine(hash, part.id);
    return hash;
}

overload::QueuedRequest queued(const RunRequest& request, const RunQueuePlanner::Engine& engine)
{
    return { request.priority, engine.promptTokens(request), request.workspace, request.arrival,
        request.onTimeStart, request.latestStart, engine.readyAt(request), false };
}

} // namespace

void RunQueuePlanner::arrived(RunRequest& request, MonotonicTime now)
{
    request.arrival = now;
    request.isReturn = m_returns.returned(fingerprint(request), now);
}

void RunQueuePlanner::runEnded(Duration runTime)
{
    if (m_runTime == Duration::zero())
        m_runTime = runTime;
    m_runTime += std::chrono::duration_cast<Duration>(runTimeWeight * (runTime - m_runTime));
}

void RunQueuePlanner::plan(std::vector<RunRequest>& waiting, bool newcomer, const Engine& engine,
    MonotonicTime now, std::vector<RunDenial>& denials)
{
    std::vector<overload::QueuedRequest> requests;
    for (const RunRequest& request : waiting)
        requests.push_back(queued(request, engine));
    if (newcomer)
        requests.back().isNew = true;
    const overload::QueuePlan plan = m_queue.plan(requests, engine.state, m_returns, now);
    std::vector<RunRequest> ordered;
    for (const size_t index : plan.order) {
        if (requests[index].isNew)
            m_queue.admitted(requests[index].priority, requests[index].prompt, now);
        ordered.push_back(std::move(waiting[index]));
    }
    for (const overload::QueuePlan::Denial& denial : plan.denials) {
        const overload::QueuedRequest& denied = requests[denial.index];
        Tokens workAhead;
        for (const auto& [level, tokens] : engine.state.backlog)
            workAhead += level <= denied.priority ? tokens : Tokens(0);
        for (const size_t index : plan.order)
            workAhead += requests[index].priority <= denied.priority ? requests[index].prompt : Tokens(0);
        RunDenial answer = deny(waiting[denial.index], denial.expectedWait, denied.prompt, workAhead,
            engine.state.tokensPerMillisecond, now);
        answer.isDisplaced = newcomer && !denied.isNew && now <= denied.latestStart;
        denials.push_back(answer);
    }
    waiting = std::move(ordered);
}

// Only the last owner that a request asks may start it late, and only its denial makes the caller come back.
RunDenial RunQueuePlanner::deny(const RunRequest& request, Duration expectedWait, Tokens prompt,
    Tokens workAhead, double tokensPerMillisecond, MonotonicTime now)
{
    RunDenial denial = denialOf(request, RunRefusal::Overloaded, {}, expectedWait);
    if (request.latestStart > request.onTimeStart) {
        const auto time
            = m_returns.promise({ fingerprint(request), request.priority, prompt, request.returnsWithin },
                workAhead, tokensPerMillisecond, now);
        denial.retryAfter = time.after;
        denial.isPromised = time.isPromised;
    } else
        denial.retryAfter
            = m_returns.firstReturn(request.priority, prompt, workAhead, tokensPerMillisecond, now);
    return denial;
}

int RunQueuePlanner::level(const RunRequest& request, MonotonicTime now)
{
    if (now > request.onTimeStart)
        return overload::OverloadQueue::lateLevel;
    return overload::OverloadQueue::level({ request.priority, Tokens(0), request.workspace, request.arrival,
                                              request.onTimeStart, request.latestStart, now, false },
        now);
}

int RunQueuePlanner::plainLevel(const RunRequest& request, MonotonicTime now)
{
    return now > request.onTimeStart ? overload::OverloadQueue::lateLevel : request.priority;
}

int RunQueuePlanner::urgency(int level)
{
    if (level == overload::OverloadQueue::lateLevel)
        return lateUrgency;
    return std::clamp(firstUrgency + level, firstUrgency, lastOnTimeUrgency);
}

void RunQueuePlanner::sortByStart(std::vector<RunRequest>& waiting, MonotonicTime now)
{
    const auto rank = [now](const RunRequest& request) {
        const bool isLate = now > request.onTimeStart;
        return std::make_pair(isLate, request.onTimeStart + request.priority * priorityStep);
    };
    std::stable_sort(waiting.begin(), waiting.end(),
        [&rank](const RunRequest& a, const RunRequest& b) { return rank(a) < rank(b); });
}

int RunQueuePlanner::loadLevel(const RunRequest& request, MonotonicTime now)
{
    if (now > request.onTimeStart)
        return overload::OverloadQueue::lateLevel;
    const bool hasWaitedLong
        = now - request.arrival >= longWaitShare * (request.onTimeStart - request.arrival);
    return hasWaitedLong ? 0 : request.priority;
}

} // namespace lacewing::gateway
