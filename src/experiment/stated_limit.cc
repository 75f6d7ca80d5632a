#include "experiment/stated_limit.h"

#include <algorithm>
#include <cmath>

namespace lacewing::experiment {

namespace {

/// Time from the first statement of a limit until it must be kept.
constexpr Duration settlingTime = std::chrono::seconds(3);
constexpr Duration window = std::chrono::seconds(4);
/// In a window an upstream may get this multiple of what its limit permits, and some requests more.
constexpr double allowedFactor = 1.5;
constexpr double allowedExtra = 5;

} // namespace

std::optional<double> StatedLimit::allowed(MonotonicTime begin, MonotonicTime end) const
{
    double total = 0;
    std::optional<MonotonicTime> settled;
    for (size_t index = 0; index < m_history.size(); ++index) {
        const auto [since, rate] = m_history[index];
        const MonotonicTime until
            = index + 1 < m_history.size() ? m_history[index + 1].first : MonotonicTime::max();
        if (!rate)
            settled.reset();
        else if (!settled)
            settled = since + settlingTime;
        if (since >= end || until <= begin)
            continue;
        if (!settled || *settled > begin)
            return std::nullopt;
        total += rate->perSecond() * toSeconds(std::min(end, until) - std::max(begin, since));
    }
    return allowedFactor * total + allowedExtra;
}

double StatedLimit::worstRatio() const
{
    double worst = 0;
    size_t first = 0;
    for (size_t last = 0; last < m_arrivals.size(); ++last) {
        const MonotonicTime begin = m_arrivals[last] - window;
        while (m_arrivals[first] <= begin)
            ++first;
        if (const auto bound = allowed(begin, m_arrivals[last]))
            worst = std::max(worst, static_cast<double>(last - first + 1) / std::floor(*bound));
    }
    return worst;
}

} // namespace lacewing::experiment
