#pragma once

#include "replay/placement_simulation.h"

namespace lacewing {

/// Figures of one or more runs with the same policy and scenario.
struct PlacementSummary {
    size_t requests = 0;
    size_t refused = 0;
    size_t stalls = 0;
    double stallSeconds = 0;
    /// Offline bound of stalls for the same arrivals per engine, and with the slots of all engines pooled.
    size_t offlineStalls = 0;
    size_t pooledOfflineStalls = 0;
    size_t loads = 0;
    BatchEngine::Sums engines;
    /// Seconds until the first token of interactive requests, before the disturbance and during it.
    std::vector<double> quietFirstToken;
    std::vector<double> firstToken;
    /// Tokens served and wanted during the disturbance, per workspace.
    double served[traceWorkspaces] = {};
    double wanted[traceWorkspaces] = {};
    /// Requests and stalls outside the first 90 s after a shift, and from 30 s to 90 s after one.
    size_t steadyRequests = 0;
    size_t steadyStalls = 0;
    size_t shiftedRequests = 0;
    size_t shiftedStalls = 0;

    double stallShare() const { return share(stalls, requests); }
    double meanStallSeconds() const { return stalls > 0 ? stallSeconds / static_cast<double>(stalls) : 0; }
    double offlineRatio() const { return share(stalls, offlineStalls); }
    double meanBatch() const { return engines.batchSeconds / engines.busySeconds; }
    double meanAdapters() const { return engines.adapterSeconds / engines.busySeconds; }
    /// Running requests per distinct adapter of the batch.
    double batchEfficiency() const { return engines.batchSeconds / engines.adapterSeconds; }
    /// Stall share from 30 s after a shift, relative to the steady one.
    double shiftRatio() const
    {
        return share(shiftedStalls, shiftedRequests) / share(steadyStalls, steadyRequests);
    }

    /// @return the least quotient of tokens served to the max-min fair share of all tokens served.
    double worstWorkspaceShare() const;

    /// Adds the figures of one run.
    void add(
        const PlacementResult& result, const PlacementDeployment& deployment, const PlacementTrace& trace);

private:
    static double share(size_t part, size_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    void addRecord(const PlacementRecord& record, const PlacementTrace& trace);
    void addShift(const PlacementRecord& record, const PlacementTrace& trace);
    void addBounds(
        const PlacementResult& result, const PlacementDeployment& deployment, const PlacementTrace& trace);
};

/// @return the given quantile of the values, 0 if there are none.
double quantile(std::vector<double> values, double share);

} // namespace lacewing
