#pragma once

#include "experiment/load_pattern.h"

namespace lacewing::experiment {

/// Upper bound of the worth that any policy could earn, with the whole load known beforehand.
///
/// Pools all engines into one that holds every adapter, so that only the reading of prompts limits it. Work
/// that arrives in a window and is answered on time is read between the window's begin and the longest target
/// after its end; in each window the bound takes the requests with the most worth per token, in fractions,
/// until that time is used up. All others count as served late. The smallest such sum over several lengths of
/// the window is a bound too.
///
/// @param engineSeconds of reading that are available in each second of the load.
/// @return the share of the owed worth, 0 to 1.
double offlineWorthBound(
    const FleetShape& shape, const std::vector<Arrival>& arrivals, const std::vector<double>& engineSeconds);

/// @return the engines that are up in each second of a load.
std::vector<double> enginesUp(const FleetShape& shape, LoadPattern pattern);

} // namespace lacewing::experiment
