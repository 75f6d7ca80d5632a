#include "experiment/fleet_result.h"

#include <algorithm>

namespace lacewing::experiment {

double FleetResult::worst(const std::string& prefix) const
{
    double worst = 1;
    for (const auto& [name, share] : groups) {
        if (name.compare(0, prefix.size(), prefix) == 0)
            worst = std::min(worst, share.worth());
    }
    return worst;
}

double FleetResult::worstSeconds() const
{
    std::vector<double> worths;
    for (const Share& share : seconds)
        worths.push_back(share.worth());
    std::sort(worths.begin(), worths.end());
    return worths.size() < 2 ? 1 : (worths[0] + worths[1]) / 2;
}

double FleetResult::waitMilliseconds(double quantile) const
{
    if (waits.empty())
        return 0;
    std::vector<Duration> sorted = waits;
    std::sort(sorted.begin(), sorted.end());
    const auto index = static_cast<size_t>(quantile * static_cast<double>(sorted.size() - 1));
    return toSeconds(sorted[index]) * 1000;
}

} // namespace lacewing::experiment
