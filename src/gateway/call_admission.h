#pragma once

#include "base/random.h"
#include "gateway/call_attributes.h"
#include "gateway/configuration_tracker.h"
#include "gateway/overload_policy.h"
#include "gateway/workspace_rate_limiter.h"

#include <optional>
#include <string>

namespace lacewing::gateway {

/// Why the gateway rejects a request. Unknown routes and keys are final; every other reason is temporary.
enum class CallRefusal {
    NoConfiguration,
    StaleConfiguration,
    UnknownRoute,
    UnknownKey,
    OverLimit,
    NoUpstream,
    Overloaded,
    NotInTime,
    NotExecuted,
    Stopping,
    /// The upstreams that could serve the request have stated limits, which are exhausted.
    UpstreamLimit,
    /// The upstreams that could serve the request want no requests for a time.
    UpstreamsResting,
    /// The upstreams that could serve the request are leaving, and no others have come yet.
    UpstreamsLeaving,
    /// Engines have ended on prompts like this one.
    QuarantinedPrompt,
    /// Nothing tells which software version has begun the stream that the caller takes up.
    UnknownStreamVersion,
    /// No upstream has the software version that has begun the stream.
    NoUpstreamOfVersion,
    /// The upstreams that could serve the request are in evacuated data centres.
    DataCentreEvacuated,
    /// No upstream is in a home region of the request's route and workspace.
    NoUpstreamInHomeRegion,
};

/// @return the reason in snake_case, as logs and metrics name it.
const char* toString(CallRefusal refusal);

/// Route, workspace and service that a request resolved to. The pointers are valid as long as the
/// configuration that they come from.
struct CallAdmission {
    const Route* route = nullptr;
    /// Null for anonymous requests.
    const ServingWorkspace* workspace = nullptr;
    ServiceId serviceId;
    /// Null if the configuration does not describe the service.
    const ServiceConfiguration* service = nullptr;
    /// Amount charged to the workspace, in the unit of its limit.
    int64_t charge = 0;

    /// @return the home regions that route and workspace have in common.
    region::HomeRegions homes() const;
    /// @return the priority of the request at an engine's owner; 0 is the most urgent. With
    ///     OverloadPolicy::Arrival a workspace's priority replaces the route's one.
    int priority(OverloadPolicy policy) const;
};

/// Resolves the route, service and workspace of a request, and charges the workspace's rate limit.
///
/// Load pattern: a workspace exceeds its limit, and callers use recently added routes and keys that this host
/// has not read yet because the store is unreachable.
class CallAdmitter {
public:
    /// @param keeper, usage, random must outlive the admitter.
    CallAdmitter(const ConfigurationTracker& keeper, WorkspaceRateLimiter& usage, Random& random)
        : m_keeper(keeper)
        , m_usage(usage)
        , m_random(random)
    {
    }

    void setOverloadPolicy(OverloadPolicy policy) { m_overloadPolicy = policy; }
    OverloadPolicy overloadPolicy() const { return m_overloadPolicy; }

    /// Resolves the route by host and path, and the workspace by the key.
    ///
    /// @param host the Host header, with or without a port.
    /// @return nothing if both were found; StaleConfiguration if the missing one may have been added since
    /// the configuration was last read.
    std::optional<CallRefusal> find(const ServingConfiguration& configuration, const std::string& host,
        const std::string& path, const CallAttributes& attributes, CallAdmission& admission) const;

    /// Charges the workspace that find() resolved, if any.
    ///
    /// @return nothing if the request may proceed, otherwise the time after which to retry.
    std::optional<Duration> charge(
        const CallAttributes& attributes, CallAdmission& admission, MonotonicTime now) const;

private:
    std::optional<CallRefusal> denialUnlessStale(CallRefusal reason) const;
    ServiceId selectService(const Route& route, const CallAttributes& attributes) const;

    const ConfigurationTracker& m_keeper;
    WorkspaceRateLimiter& m_usage;
    Random& m_random;
    OverloadPolicy m_overloadPolicy = OverloadPolicy::Arrival;
};

} // namespace lacewing::gateway
