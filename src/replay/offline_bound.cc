#include "replay/offline_bound.h"

#include <limits>
#include <map>
#include <set>

namespace lacewing {

size_t offlineStalls(
    const std::vector<AdapterArrival>& arrivals, size_t slots, Duration loadTime, Duration countFrom)
{
    constexpr size_t never = std::numeric_limits<size_t>::max();
    std::vector<size_t> nextUse(arrivals.size(), never);
    std::map<int, size_t> following;
    for (size_t i = arrivals.size(); i-- > 0;) {
        const auto found = following.find(arrivals[i].adapter);
        if (found != following.end())
            nextUse[i] = found->second;
        following[arrivals[i].adapter] = i;
    }
    struct Resident {
        size_t nextUse = 0;
        Duration loadedAt {};
    };
    std::map<int, Resident> resident;
    std::set<std::pair<size_t, int>> byNextUse;
    size_t stalls = 0;
    for (size_t i = 0; i < arrivals.size(); ++i) {
        const AdapterArrival& arrival = arrivals[i];
        const auto [entry, isMiss] = resident.try_emplace(arrival.adapter);
        if (isMiss) {
            if (byNextUse.size() >= slots) {
                const auto victim = std::prev(byNextUse.end());
                resident.erase(victim->second);
                byNextUse.erase(victim);
            }
            entry->second.loadedAt = arrival.at + loadTime;
        } else {
            byNextUse.erase({ entry->second.nextUse, arrival.adapter });
        }
        if (arrival.at < entry->second.loadedAt && arrival.at >= countFrom)
            ++stalls;
        entry->second.nextUse = nextUse[i];
        byNextUse.emplace(nextUse[i], arrival.adapter);
    }
    return stalls;
}

} // namespace lacewing
