#pragma once

#include "base/random.h"
#include "gateway/call_attributes.h"
#include "gateway/configuration_keeper.h"
#include "gateway/workspace_rate_limiter.h"

#include <optional>
#include <string>

namespace lacewing::gateway {

/// Why a request is refused or denied.
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
};

/// @return the reason's name in snake_case, for logs and metrics.
const char* toString(CallRefusal refusal);

/// What a request was admitted to. Valid as long as its configuration is kept.
struct CallAdmission {
    const Route* route = nullptr;
    /// Null for anonymous requests.
    const ServingWorkspace* workspace = nullptr;
    ServiceId serviceId;
    /// Null if the configuration does not describe the service.
    const ServiceConfiguration* service = nullptr;
    /// What the workspace was charged, in the unit of its limit.
    int64_t charge = 0;
};

/// Decides which route, service and workspace a request belongs to, and charges the workspace.
///
/// Load pattern: a workspace sends beyond its limit, and callers use routes and keys that this host has not
/// heard of yet while the store is away.
class CallAdmitter {
public:
    /// All must outlive the admitter.
    CallAdmitter(const ConfigurationKeeper& keeper, WorkspaceRateLimiter& usage, Random& random)
        : m_keeper(keeper)
        , m_usage(usage)
        , m_random(random)
    {
    }

    /// Finds the route by host and path, and the workspace by the key.
    ///
    /// @param host the Host header, with or without a port.
    /// @return nothing if both were found. StaleConfiguration if what is missing may have been added lately.
    std::optional<CallRefusal> find(const ServingConfiguration& configuration, const std::string& host,
        const std::string& path, const CallAttributes& attributes, CallAdmission& admission) const;

    /// Charges the workspace that was found, if any.
    ///
    /// @return nothing if it was charged, otherwise when to try again.
    std::optional<Duration> charge(
        const CallAttributes& attributes, CallAdmission& admission, MonotonicTime now) const;

private:
    std::optional<CallRefusal> denialUnlessStale(CallRefusal reason) const;
    ServiceId selectService(const Route& route) const;

    const ConfigurationKeeper& m_keeper;
    WorkspaceRateLimiter& m_usage;
    Random& m_random;
};

} // namespace lacewing::gateway
