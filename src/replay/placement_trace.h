#pragma once

#include "base/clock.h"
#include "state/peer_messages.h"

#include <string>
#include <vector>

namespace lacewing {

/// One request of a generated trace.
struct TraceRequest {
    Duration at {};
    int workspace = 0;
    int adapter = 0;
    RequestClass requestClass = RequestClass::Interactive;
    int promptTokens = 0;
    int outputTokens = 0;
};

enum class TraceScenario {
    Steady,
    /// Batch requests come at ten times their rate for half an hour.
    FridayWave,
    /// One workspace sends five times its rate, which needs more loads than the limit allows.
    GreedyWorkspace,
    /// The 50 most popular adapters are replaced at once, every five minutes.
    PopularityShift,
    /// Every two minutes one engine restarts cold.
    EngineRestarts,
    /// One load in ten fails.
    LoadFailures,
};

const char* toString(TraceScenario scenario);

/// Size of a deployment of the design page, section 1.3.
struct PlacementDeployment {
    std::string name;
    int engines = 0;
    double loadsPerSecond = 0;
    double requestsPerSecond = 0;
    int slots = 8;
    int maximumConcurrency = 16;
    int adapters = 3000;
    double zipfExponent = 1.1;
    double batchFraction = 0.3;
};

/// A trace with the times that the figures refer to.
struct PlacementTrace {
    std::vector<TraceRequest> requests;
    Duration length {};
    /// Requests before this only fill the engines.
    Duration warmUp {};
    /// Begin and end of the disturbance, if the scenario has a single one.
    Duration disturbanceBegin {};
    Duration disturbanceEnd {};
    /// Times at which popularity shifts.
    std::vector<Duration> shifts;
};

/// Number of workspaces, and the one that sends too much in GreedyWorkspace.
constexpr int traceWorkspaces = 5;
constexpr int greedyWorkspace = 1;

/// Generates a trace; the same arguments give the same trace.
PlacementTrace generatePlacementTrace(
    const PlacementDeployment& deployment, TraceScenario scenario, uint64_t seed);

} // namespace lacewing
