#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <algorithm>
#include <optional>

namespace lacewing::gateway {

/// Estimates an engine's prefill rate from the tokens that it prefills during a busy period.
///
/// Load pattern: requests for a popular adapter queue at one engine, which prefills their prompts one after
/// the other; the rate gives the expected wait of a further one.
class PrefillRate {
public:
    /// Starts a busy period: the engine was idle and has been sent a prompt.
    void busyPeriodStarted(MonotonicTime now) { startSample(now + fixedLatency); }
    /// Records that the engine has prefilled a prompt, as shown by its first event.
    ///
    /// @param tokens uncached tokens of the prompt.
    /// @param slowdown of the engine meanwhile, which is divided out of the rate; 1 for as usual.
    /// @return the measured time per token in milliseconds, without the slowdown divided out, if the prompt
    ///     completed a sample.
    std::optional<double> promptProcessed(Tokens tokens, MonotonicTime now, double slowdown = 1)
    {
        m_sampleTokens += tokens;
        m_sampleWork += slowdown * static_cast<double>(tokens.value());
        const Duration elapsed = now - m_sampleStart;
        if (m_sampleTokens < minimumSampleTokens || elapsed < minimumSampleTime)
            return std::nullopt;
        const double milliseconds = toSeconds(elapsed) * millisecondsPerSecond;
        const double sample = m_sampleWork / milliseconds;
        m_tokensPerMillisecond += sampleWeight * (sample - m_tokensPerMillisecond);
        m_tokensPerMillisecond = std::clamp(m_tokensPerMillisecond, minimumRate, maximumRate);
        const double timePerToken = milliseconds / static_cast<double>(m_sampleTokens.value());
        startSample(now);
        return timePerToken;
    }
    /// Starts from the rate that another host has learned.
    void seed(double tokensPerMillisecond)
    {
        m_tokensPerMillisecond = std::clamp(tokensPerMillisecond, minimumRate, maximumRate);
    }
    /// @return the rate while the engine is slowed.
    PrefillRate slowedBy(double slowdown) const
    {
        PrefillRate slowed = *this;
        slowed.m_tokensPerMillisecond /= slowdown;
        return slowed;
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
    void startSample(MonotonicTime start)
    {
        m_sampleStart = start;
        m_sampleTokens = Tokens(0);
        m_sampleWork = 0;
    }

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
    /// The same, each multiplied by the slowdown at which it was prefilled.
    double m_sampleWork = 0;
};

} // namespace lacewing::gateway
