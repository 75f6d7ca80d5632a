#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <algorithm>

namespace lacewing::gateway {

/// Estimates how fast an engine reads prompts, from how many it reads without a break.
///
/// Load pattern: requests for a popular adapter pile up at one engine, which reads their prompts one after
/// the other; the estimate tells how long a further one would wait there.
class PrefillRate {
public:
    /// The engine had nothing to read and has been given a prompt.
    void busyPeriodStarted(MonotonicTime now)
    {
        m_sampleStart = now + fixedLatency;
        m_sampleTokens = Tokens(0);
    }
    /// The engine has read a prompt, as its first event shows.
    ///
    /// @param tokens that it had to read.
    void promptProcessed(Tokens tokens, MonotonicTime now)
    {
        m_sampleTokens += tokens;
        const Duration elapsed = now - m_sampleStart;
        if (m_sampleTokens < minimumSampleTokens || elapsed < minimumSampleTime)
            return;
        const double sample
            = static_cast<double>(m_sampleTokens.value()) / (toSeconds(elapsed) * millisecondsPerSecond);
        m_tokensPerMillisecond += sampleWeight * (sample - m_tokensPerMillisecond);
        m_tokensPerMillisecond = std::clamp(m_tokensPerMillisecond, minimumRate, maximumRate);
        m_sampleStart = now;
        m_sampleTokens = Tokens(0);
    }

    double tokensPerMillisecond() const { return m_tokensPerMillisecond; }
    /// @return how long the engine takes to read so many tokens.
    Duration timeFor(Tokens tokens) const { return prefillTime(tokens, m_tokensPerMillisecond); }
    /// @param tokensPerMillisecond must not be 0.
    static Duration prefillTime(Tokens tokens, double tokensPerMillisecond)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
            static_cast<double>(tokens.value()) / tokensPerMillisecond));
    }

private:
    static constexpr double millisecondsPerSecond = 1000;
    static constexpr double initialRate = 20;
    static constexpr double minimumRate = 1;
    static constexpr double maximumRate = 1000;
    static constexpr double sampleWeight = 0.15;
    /// Short prompts and short times tell little about the rate.
    static constexpr Tokens minimumSampleTokens { 1500 };
    static constexpr Duration minimumSampleTime = std::chrono::milliseconds(20);
    /// Time to the first event that does not depend on the prompt: the way there and back and two steps.
    static constexpr Duration fixedLatency = std::chrono::milliseconds(20);

    double m_tokensPerMillisecond = initialRate;
    /// Since when the engine has been reading.
    MonotonicTime m_sampleStart;
    /// What it has read since then.
    Tokens m_sampleTokens;
};

} // namespace lacewing::gateway
