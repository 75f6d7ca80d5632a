#pragma once

#include "experiment/fleet_result.h"

#include <string>
#include <vector>

namespace lacewing::experiment {

/// Results of all arms under one load, put together over the seeds.
struct LoadResults {
    std::string load;
    int engines = 0;
    /// Upper bound of the worth, as a share of what is owed.
    double bound = 1;
    std::vector<std::pair<std::string, FleetResult>> arms;
};

/// Adds the figures of another run of the same arm.
void addResult(FleetResult& sum, const FleetResult& other);

/// @return the results as Markdown tables, one per load.
std::string markdownReport(const std::vector<LoadResults>& loads);

/// @return what the arms make of shared prompts, as a Markdown table.
std::string promptReport(const LoadResults& load);

/// @return an HTML page with the worth by second of arrival of each arm, one plot per load.
std::string htmlReport(const std::vector<LoadResults>& loads);

/// @return a table of what became of the requests by class and for the workspaces.
std::string outcomeReport(const FleetResult& result);

} // namespace lacewing::experiment
