#include "experiment/load_pattern.h"

#include "base/stable_hash.h"
#include "base/zipf_distribution.h"

#include <cmath>
#include <string>
#include <utility>

namespace lacewing::experiment {

namespace {

constexpr double pi = 3.14159265358979323846;
constexpr double burstFactor = 1.8;
constexpr double classBurstFactor = 3;
constexpr double hotWorkspaceFactor = 6;
constexpr double contentionBurstFactor = 2.4;
constexpr double contentionWorkspaceFactor = 5;
constexpr double waveSwing = 0.35;
constexpr double wavesPerSecond = 0.15;
constexpr int clumpSize = 3;
/// Share of requests that name a rare adapter while many do.
constexpr double rareShare = 0.3;
/// Prompts lie between these shares of their class's mean, with the mean as their mean.
constexpr double smallestPrompt = 0.4;
constexpr double largestPrompt = 1.6;

struct NamedPattern {
    LoadPattern pattern;
    const char* name;
};

constexpr NamedPattern patternNames[] = {
    { LoadPattern::Steady, "steady" },
    { LoadPattern::ClumpedWaves, "clumped-waves" },
    { LoadPattern::BurstOfAll, "burst-of-all" },
    { LoadPattern::BurstOfOneClass, "burst-of-one-class" },
    { LoadPattern::HotWorkspace, "hot-workspace" },
    { LoadPattern::ImmediateRepeats, "immediate-repeats" },
    { LoadPattern::PopularityShift, "popularity-shift" },
    { LoadPattern::RareAdapters, "rare-adapters" },
    { LoadPattern::EngineCrashes, "engine-crashes" },
    { LoadPattern::SlowWeightStore, "slow-weight-store" },
    { LoadPattern::OwnersKilled, "owners-killed" },
    { LoadPattern::LimitedEngines, "limited-engines" },
    { LoadPattern::UnevenEngines, "uneven-engines" },
    { LoadPattern::Contention, "contention" },
};

bool isInPattern(Duration at)
{
    return at >= patternStart && at < patternStart + patternLength;
}

/// Writes the requests of one run.
class Generator {
public:
    Generator(const FleetShape& shape, LoadPattern pattern, uint64_t seed)
        : m_shape(shape)
        , m_pattern(pattern)
        , m_random(seed)
        , m_partRandom(~seed)
        , m_popularity(shape.adapters, shape.zipfExponent)
    {
    }

    std::vector<Arrival> run()
    {
        const int clump = m_pattern == LoadPattern::ClumpedWaves ? clumpSize : 1;
        double now = 0;
        while (true) {
            now += -std::log(1 - m_random.uniform()) * clump / rate(now);
            const auto at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(now));
            if (at >= loadLength)
                return std::move(m_arrivals);
            for (int index = 0; index < clump; ++index)
                m_arrivals.push_back(draw(at));
        }
    }

private:
    double rate(double seconds) const
    {
        const double usual = m_shape.requestsPerSecond;
        if (m_pattern == LoadPattern::ClumpedWaves)
            return usual * (1 + waveSwing * std::sin(2 * pi * wavesPerSecond * seconds));
        if (!isInPattern(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds))))
            return usual;
        switch (m_pattern) {
        case LoadPattern::BurstOfAll:
        case LoadPattern::ImmediateRepeats:
            return usual * burstFactor;
        case LoadPattern::BurstOfOneClass:
            return usual * (1 + (classBurstFactor - 1) * m_shape.classes.back().share);
        case LoadPattern::HotWorkspace:
            return usual * (1 + (hotWorkspaceFactor - 1) / m_shape.workspaces);
        case LoadPattern::Contention:
            return usual * (1 + (contentionBurstFactor - 1) * m_shape.classes.back().share)
                * (1 + (contentionWorkspaceFactor - 1) / m_shape.workspaces);
        default:
            return usual;
        }
    }

    Arrival draw(Duration at)
    {
        Arrival arrival;
        arrival.at = at;
        arrival.requestClass = drawClass(at);
        arrival.workspace = drawWorkspace(at);
        arrival.adapter = drawAdapter(at, arrival.workspace);
        arrival.host = static_cast<int>(m_random.below(static_cast<uint64_t>(m_shape.hosts)));
        const double mean = static_cast<double>(m_shape.classes[arrival.requestClass].prompt.value());
        const double size = smallestPrompt + (largestPrompt - smallestPrompt) * m_random.uniform();
        arrival.prompt = Tokens(static_cast<int64_t>(mean * size));
        if (m_shape.secondVariants > 0)
            arrival.parts = drawParts(arrival);
        return arrival;
    }

    std::vector<gateway::PromptPart> drawParts(const Arrival& arrival)
    {
        const RequestClass& requestClass = m_shape.classes[arrival.requestClass];
        const auto first = m_partRandom.below(static_cast<uint64_t>(m_shape.firstVariants));
        const auto second = m_partRandom.below(static_cast<uint64_t>(m_shape.secondVariants));
        const Tokens own = arrival.prompt - requestClass.firstPart - requestClass.secondPart;
        const std::string name = requestClass.name + '/' + std::to_string(first);
        return { { stableHash(name), requestClass.firstPart },
            { stableHash(name + '/' + std::to_string(second)), requestClass.secondPart },
            { m_partRandom.next(), own } };
    }

    size_t drawClass(Duration at)
    {
        const bool isContention = m_pattern == LoadPattern::Contention;
        const bool isBurst = (m_pattern == LoadPattern::BurstOfOneClass || isContention) && isInPattern(at);
        const double factor = isContention ? contentionBurstFactor : classBurstFactor;
        double total = 0;
        const auto weight = [&](size_t index) {
            const bool isLast = index + 1 == m_shape.classes.size();
            return m_shape.classes[index].share * (isBurst && isLast ? factor : 1);
        };
        for (size_t index = 0; index < m_shape.classes.size(); ++index)
            total += weight(index);
        double point = m_random.uniform() * total;
        for (size_t index = 0; index + 1 < m_shape.classes.size(); ++index) {
            point -= weight(index);
            if (point < 0)
                return index;
        }
        return m_shape.classes.size() - 1;
    }

    int drawWorkspace(Duration at)
    {
        const bool isContention = m_pattern == LoadPattern::Contention;
        const bool isHot = (m_pattern == LoadPattern::HotWorkspace || isContention) && isInPattern(at);
        const double factor = isContention ? contentionWorkspaceFactor : hotWorkspaceFactor;
        const double hotShare = factor / (m_shape.workspaces - 1 + factor);
        if (isHot)
            return m_random.chance(hotShare) ? 0 : 1 + below(m_shape.workspaces - 1);
        return below(m_shape.workspaces);
    }

    int drawAdapter(Duration at, int workspace)
    {
        const int adapters = m_shape.adapters;
        if (m_pattern == LoadPattern::RareAdapters && isInPattern(at) && m_random.chance(rareShare))
            return adapters / 2 + below(adapters / 2);
        int rank = static_cast<int>(m_popularity.draw(m_random));
        if (m_pattern == LoadPattern::PopularityShift && at >= patternStart)
            rank = (rank + adapters / 3) % adapters;
        if (m_pattern == LoadPattern::HotWorkspace && workspace == 0)
            rank = (rank + adapters / 2) % adapters;
        return rank;
    }

    int below(int bound) { return static_cast<int>(m_random.below(static_cast<uint64_t>(bound))); }

    const FleetShape& m_shape;
    LoadPattern m_pattern;
    Random m_random;
    /// Draws the parts of prompts, so that the load is otherwise the same with and without them.
    Random m_partRandom;
    ZipfDistribution m_popularity;
    std::vector<Arrival> m_arrivals;
};

} // namespace

const std::vector<LoadPattern>& allLoadPatterns()
{
    static const std::vector<LoadPattern> all = [] {
        std::vector<LoadPattern> patterns;
        for (const NamedPattern& named : patternNames) {
            if (named.pattern != LoadPattern::Contention)
                patterns.push_back(named.pattern);
        }
        return patterns;
    }();
    return all;
}

const char* toString(LoadPattern pattern)
{
    for (const NamedPattern& named : patternNames) {
        if (named.pattern == pattern)
            return named.name;
    }
    return "invalid";
}

std::optional<LoadPattern> loadPatternNamed(std::string_view name)
{
    for (const NamedPattern& named : patternNames) {
        if (name == named.name)
            return named.pattern;
    }
    return std::nullopt;
}

std::vector<Arrival> generateArrivals(const FleetShape& shape, LoadPattern pattern, uint64_t seed)
{
    return Generator(shape, pattern, seed).run();
}

} // namespace lacewing::experiment
