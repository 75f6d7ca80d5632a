#include "overload/return_schedule.h"

#include "overload/reading_time.h"

#include <algorithm>

namespace lacewing::overload {

namespace {

/// Time for which capacity is held back for a caller after its promised time: a round trip and the choice of
/// an engine take some tens of milliseconds.
constexpr Duration holdTime = std::chrono::milliseconds(150);
constexpr size_t maximumPromises = 512;
constexpr Duration shortestReturn = std::chrono::milliseconds(100);
/// Callers that are told a longer time mostly give up, and the load changes within that time.
constexpr Duration longestReturn = std::chrono::seconds(5);

} // namespace

bool ReturnSchedule::hasLapsed(const Promise& promise, MonotonicTime now)
{
    return now > promise.at + holdTime;
}

Duration ReturnSchedule::firstReturn(
    int priority, Tokens prompt, Tokens workAhead, double tokensPerMillisecond, MonotonicTime now) const
{
    const Duration own = readingTime(prompt, tokensPerMillisecond);
    MonotonicTime free = now
        + std::max(shortestReturn, std::min(readingTime(workAhead, tokensPerMillisecond), longestReturn));
    for (const Promise& promise : m_promises) {
        if (promise.priority > priority || hasLapsed(promise, now))
            continue;
        if (promise.at >= free + own)
            break;
        free = std::max(free, promise.at) + readingTime(promise.prompt, tokensPerMillisecond);
    }
    return std::min<Duration>(free - now, longestReturn);
}

ReturnSchedule::ReturnTime ReturnSchedule::promise(
    const Refused& refused, Tokens workAhead, double tokensPerMillisecond, MonotonicTime now)
{
    m_promises.erase(std::remove_if(m_promises.begin(), m_promises.end(),
                         [now](const Promise& promise) { return hasLapsed(promise, now); }),
        m_promises.end());
    const Duration after
        = firstReturn(refused.priority, refused.prompt, workAhead, tokensPerMillisecond, now);
    if (after > refused.returnsWithin || m_promises.size() >= maximumPromises)
        return { after, false };
    const Promise promise { now + after, refused.prompt, refused.priority, refused.fingerprint };
    const auto place = std::upper_bound(m_promises.begin(), m_promises.end(), promise,
        [](const Promise& a, const Promise& b) { return a.at < b.at; });
    m_promises.insert(place, promise);
    return { after, true };
}

bool ReturnSchedule::returned(uint64_t fingerprint, MonotonicTime now)
{
    const auto found = std::find_if(m_promises.begin(), m_promises.end(), [&](const Promise& promise) {
        return promise.fingerprint == fingerprint && now + holdTime >= promise.at && !hasLapsed(promise, now);
    });
    if (found == m_promises.end())
        return false;
    m_promises.erase(found);
    return true;
}

Tokens ReturnSchedule::heldFrom(int priority, MonotonicTime now, MonotonicTime until) const
{
    Tokens held;
    for (const Promise& promise : m_promises) {
        if (promise.priority < priority && promise.at <= until && !hasLapsed(promise, now))
            held += promise.prompt;
    }
    return held;
}

size_t ReturnSchedule::promises(MonotonicTime now) const
{
    return static_cast<size_t>(std::count_if(m_promises.begin(), m_promises.end(),
        [now](const Promise& promise) { return !hasLapsed(promise, now); }));
}

} // namespace lacewing::overload
