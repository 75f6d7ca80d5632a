#pragma once

#include "base/clock.h"

#include <vector>

namespace lacewing {

/// A request for an adapter as one cache sees it.
struct AdapterArrival {
    Duration at {};
    int adapter = 0;
};

/// Least number of requests that wait for a load when all arrivals are known in advance (Belady's MIN): on a
/// miss, the adapter whose next use is farthest away gives way. Loads are not limited in number, pins are
/// ignored, and a request that arrives while its adapter is loading waits as well.
///
/// @param arrivals in order of time.
/// @param countFrom arrivals before this fill the slots but are not counted.
/// @return the number of requests that wait.
size_t offlineStalls(
    const std::vector<AdapterArrival>& arrivals, size_t slots, Duration loadTime, Duration countFrom);

} // namespace lacewing
