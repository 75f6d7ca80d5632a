#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <algorithm>

namespace lacewing::gateway {

/// Estimates an engine's prefill rate from the tokens that it prefills during a busy period.
///
/// Load pattern: requests for a popular adapter queue at one engine, which prefills their prompts one after
/// the other; the rate gives the expected wait of a further one.
class PrefillRate {
public:
    /// Starts a busy period: the engine was idle and has been sent a prompt.
    void busyPeriodStarted(MonotonicTime now)
    {
        m_sampleStart = now + fixedLatency;
        m_sampleTokens = Tokens(0);
    }
    /// Records that the engine has prefilled a prompt, as shown by its first event.
    ///
    /// @param tokens uncached tokens of the prompt.
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
    /// @return the time that the engine takes to prefill so many tokens.
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
    /// Short prompts and times are dominated by fixed costs and give no useful sample.
    static constexpr Tokens minimumSampleTokens { 1500 };
    static constexpr Duration minimumSampleTime = std::chrono::milliseconds(20);
    /// Time to the first event that does not depend on the prompt: the network round trip and two engine
    /// steps.
    static constexpr Duration fixedLatency = std::chrono::milliseconds(20);

    double m_tokensPerMillisecond = initialRate;
    /// Start of the current sample.
    MonotonicTime m_sampleStart;
    /// Tokens prefilled since then.
    Tokens m_sampleTokens;
};

} // namespace lacewing::gateway
