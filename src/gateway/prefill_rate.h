#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <algorithm>

namespace lacewing::gateway {

/// Estimates how fast an engine reads prompts, from the time that runs take to their first event.
///
/// Load pattern: requests for a popular adapter pile up at one engine, which reads their prompts one after
/// the other; the estimate tells how long a further one would wait there.
class PrefillRate {
public:
    /// @param backlog prompt tokens that were waiting at the engine when the run started, its own included.
    /// @param elapsed time from the start to the first event.
    void observe(Tokens backlog, Duration elapsed)
    {
        const double readingTime = toSeconds(elapsed - fixedTime) * millisecondsPerSecond;
        if (backlog.value() < minimumSample || readingTime <= 0)
            return;
        const double sample = static_cast<double>(backlog.value()) / readingTime;
        m_tokensPerMillisecond += sampleWeight * (sample - m_tokensPerMillisecond);
        m_tokensPerMillisecond = std::clamp(m_tokensPerMillisecond, lowest, highest);
    }

    /// @return how long the engine takes to read so many tokens.
    Duration timeFor(Tokens tokens) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
            static_cast<double>(tokens.value()) / m_tokensPerMillisecond));
    }

private:
    static constexpr double millisecondsPerSecond = 1000;
    static constexpr double initial = 20;
    static constexpr double lowest = 1;
    static constexpr double highest = 1000;
    static constexpr double sampleWeight = 0.1;
    /// Tokens; a short prompt tells little about the rate.
    static constexpr int64_t minimumSample = 1500;
    /// Time to the first event that does not depend on the prompt: the way there and back and two steps.
    static constexpr Duration fixedTime = std::chrono::milliseconds(20);

    double m_tokensPerMillisecond = initial;
};

} // namespace lacewing::gateway
