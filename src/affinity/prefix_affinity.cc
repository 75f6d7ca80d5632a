#include "affinity/prefix_affinity.h"

#include <algorithm>
#include <cmath>

namespace lacewing::affinity {

namespace {

/// Lower bound of an engine's rate, so that a wrong rate makes no saving that outweighs every wait.
constexpr double minimumTokensPerMillisecond = 1;
/// Time after which half of the prefixes of a digest count as evicted: about the time in which a busy engine
/// reads as many tokens as its memory holds.
constexpr Duration halfLife = std::chrono::seconds(5);
/// Chance that an evicted part would have been used again if running requests took the whole memory. The
/// least recently used parts are evicted first, and most of them were used by one request only.
constexpr double evictedReuse = 0.5;
/// Ratio of the actual to the published wait, since requests that other hosts place meanwhile and more urgent
/// ones that arrive later go first. The same as in the owner's estimate of a start.
constexpr double overtakingFactor = 1.6;

Duration readingTime(double tokens, double tokensPerMillisecond)
{
    const double rate = std::max(minimumTokensPerMillisecond, tokensPerMillisecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(tokens / rate));
}

double asDouble(Tokens tokens)
{
    return static_cast<double>(tokens.value());
}

/// @return the wait, bounded so that a wrong figure can't overflow.
Duration waitOf(const PrefixAffinity::Engine& engine)
{
    constexpr Duration longestWait = std::chrono::hours(1);
    return std::clamp(engine.wait, Duration::zero(), longestWait);
}

double fillOf(const PrefixAffinity::Engine& engine)
{
    return std::clamp(engine.memoryFill, 0.0, 1.0);
}

} // namespace

void PrefixAffinity::observe(const Engine& engine)
{
    m_sharedTokens = std::max(m_sharedTokens, keptTokens(engine));
}

Duration PrefixAffinity::netSaving(const Engine& engine) const
{
    if (m_sharedTokens == Tokens(0))
        return Duration::zero();
    const Tokens kept = keptTokens(engine);
    return saving(engine, kept) - copyCost(engine, kept);
}

Tokens PrefixAffinity::keptTokens(const Engine& engine) const
{
    return std::min(engine.digest.longestMatch(m_request.prefixes), m_request.prompt);
}

Duration PrefixAffinity::saving(const Engine& engine, Tokens kept) const
{
    const Duration rest
        = readingTime(asDouble(std::max(Tokens(1), m_request.prompt - kept)), engine.tokensPerMillisecond);
    const auto start = std::chrono::duration_cast<Duration>(overtakingFactor * (waitOf(engine) + rest));
    if (start > m_request.timeUntilLate)
        return Duration::zero();
    const Duration untilRead = std::max<Duration>(engine.age + waitOf(engine), Duration::zero());
    const double stillKept = (1 - fillOf(engine)) * std::exp2(-toSeconds(untilRead) / toSeconds(halfLife));
    return readingTime(asDouble(kept) * stillKept, engine.tokensPerMillisecond);
}

Duration PrefixAffinity::copyCost(const Engine& engine, Tokens kept) const
{
    const Tokens copied = std::max(Tokens(0), m_sharedTokens - kept);
    return readingTime(asDouble(copied) * fillOf(engine) * evictedReuse, engine.tokensPerMillisecond);
}

} // namespace lacewing::affinity
