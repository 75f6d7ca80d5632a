#pragma once

#include "base/random.h"
#include "replay/caller_request.h"
#include "state/configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

struct CallerTraceOptions {
    /// One of CallerTraceGenerator::kinds().
    std::string kind = "steady";
    uint64_t seed = 1;
    double seconds = 20;
    /// Mean over the trace, without what the kind adds.
    double requestsPerSecond = 10;
};

/// Makes traces that fit a configuration. The same options and configuration give the same trace.
class CallerTraceGenerator {
public:
    CallerTraceGenerator(const Configuration& configuration, CallerTraceOptions options);

    /// steady: skewed popularity of adapters; friday: three times the load in the middle third, on other
    /// adapters; overload: the workspace with the lowest rate also sends five times its rate; bookings: calls
    /// that run at most once, repeated through another host, and seat checks; mix: steady with bookings.
    static const std::vector<std::string>& kinds();

    /// @return the requests in order of time, or nothing if the configuration lacks what the kind needs; see
    /// lastError().
    std::optional<std::vector<CallerRequest>> generate();

    const std::string& lastError() const { return m_lastError; }

private:
    struct Workspace {
        WorkspaceId id;
        double rate = 0;
        std::vector<std::string> keys;
        std::vector<const AdapterConfig*> adapters;
    };

    void collectWorkspaces();
    bool check();
    double loadAt(double second) const;
    const Workspace& anyWorkspace();
    std::string anyDataCentre();
    std::string anyModel(const Workspace& workspace, int64_t atMs);
    CallerRequest completion(const Workspace& workspace, int64_t atMs);
    void addServiceCalls(int64_t atMs);
    void addOverload();
    const RouteConfig* serviceRoute(bool repeatable) const;

    const Configuration& m_configuration;
    CallerTraceOptions m_options;
    Random m_random;
    std::vector<Workspace> m_workspaces;
    std::vector<std::string> m_dataCentres;
    std::vector<const RouteConfig*> m_completionRoutes;
    std::vector<CallerRequest> m_requests;
    std::string m_lastError;
};

} // namespace lacewing
