#include "gateway/call_admission.h"

#include "base/log.h"
#include "base/stable_hash.h"
#include "overload/queue_priority.h"

namespace lacewing::gateway {

namespace {

/// @return a number from 0 to below 1 that is the same for the same text on each host.
double fractionOf(const std::string& text)
{
    constexpr uint64_t parts = uint64_t { 1 } << 53;
    return static_cast<double>(stableHash(text) % parts) / static_cast<double>(parts);
}

} // namespace

const char* toString(CallRefusal refusal)
{
    switch (refusal) {
    case CallRefusal::NoConfiguration:
        return "no_configuration";
    case CallRefusal::StaleConfiguration:
        return "stale_configuration";
    case CallRefusal::UnknownRoute:
        return "unknown_route";
    case CallRefusal::UnknownKey:
        return "unknown_key";
    case CallRefusal::OverLimit:
        return "over_limit";
    case CallRefusal::NoUpstream:
        return "no_upstream";
    case CallRefusal::Overloaded:
        return "overloaded";
    case CallRefusal::NotInTime:
        return "not_in_time";
    case CallRefusal::NotExecuted:
        return "not_executed";
    case CallRefusal::Stopping:
        return "stopping";
    case CallRefusal::UpstreamLimit:
        return "upstream_limit";
    case CallRefusal::UpstreamsResting:
        return "upstreams_resting";
    case CallRefusal::UpstreamsLeaving:
        return "upstreams_leaving";
    case CallRefusal::QuarantinedPrompt:
        return "quarantined_prompt";
    case CallRefusal::UnknownStreamVersion:
        return "unknown_stream_version";
    case CallRefusal::NoUpstreamOfVersion:
        return "no_upstream_of_version";
    case CallRefusal::DataCentreEvacuated:
        return "data_centre_evacuated";
    case CallRefusal::NoUpstreamInHomeRegion:
        return "no_upstream_in_home_region";
    }
    return "unknown";
}

region::HomeRegions CallAdmission::homes() const
{
    return workspace ? route->homes.intersect(workspace->homes) : route->homes;
}

int CallAdmission::priority(OverloadPolicy policy) const
{
    const std::optional<int> ofWorkspace = workspace ? workspace->priority : std::nullopt;
    return policy == OverloadPolicy::Priority ? overload::queuePriority(ofWorkspace, route->priority)
                                              : ofWorkspace.value_or(route->priority);
}

// A stale configuration may lack a route or key that was added since it was read, so its denial is not final.
std::optional<CallRefusal> CallAdmitter::denialUnlessStale(CallRefusal reason) const
{
    return m_keeper.isFresh() ? reason : CallRefusal::StaleConfiguration;
}

ServiceId CallAdmitter::selectService(const Route& route, const CallAttributes& attributes) const
{
    double total = 0;
    for (const ServiceShare& share : route.services)
        total += share.weight;
    // A stream is taken up at the service that has begun it, which its first try's id tells.
    const std::string& stream = attributes.lastEventId ? attributes.resumedRequestId : attributes.requestId;
    const bool isDrawnByName = route.kind == RouteKind::Stream && route.isResumable && !stream.empty();
    double drawn = (isDrawnByName ? fractionOf(stream) : m_random.uniform()) * total;
    ServiceId service;
    for (const ServiceShare& share : route.services) {
        service = share.service;
        drawn -= share.weight;
        if (drawn < 0)
            break;
    }
    return service;
}

std::optional<CallRefusal> CallAdmitter::find(const ServingConfiguration& configuration,
    const std::string& host, const std::string& path, const CallAttributes& attributes,
    CallAdmission& admission) const
{
    admission.route = configuration.findRoute(host, path);
    if (!admission.route)
        admission.route = configuration.findRoute(host.substr(0, host.find(':')), path);
    if (!admission.route)
        return denialUnlessStale(CallRefusal::UnknownRoute);
    admission.serviceId = selectService(*admission.route, attributes);
    admission.service = configuration.findService(admission.serviceId);
    if (admission.route->isAnonymous || !configuration.hasWorkspaces())
        return std::nullopt;
    admission.workspace = attributes.key ? configuration.findWorkspace(*attributes.key) : nullptr;
    return admission.workspace ? std::nullopt : denialUnlessStale(CallRefusal::UnknownKey);
}

std::optional<Duration> CallAdmitter::charge(
    const CallAttributes& attributes, CallAdmission& admission, MonotonicTime now) const
{
    if (!admission.workspace)
        return std::nullopt;
    const WorkspaceLimit& limit = admission.workspace->limit;
    int64_t charge = limit.defaultRequestTokens.value();
    if (limit.countsTokens && attributes.promptTokens && attributes.maximumOutputTokens)
        charge = (*attributes.promptTokens + *attributes.maximumOutputTokens).value();
    const auto retryAfter = m_usage.charge(*admission.workspace, charge, now);
    if (!retryAfter) {
        admission.charge = charge;
        return std::nullopt;
    }
    const WorkspaceRateLimiter::Refusal& refusal = m_usage.lastRefusal();
    LogEvent(LogLevel::Info, "over_limit")
        .with("request", attributes.requestId)
        .with("workspace", admission.workspace->id)
        .with("charge", charge)
        .with("limit", refusal.limit)
        .with("own_usage", refusal.ownUsage)
        .with("other_hosts_usage", refusal.otherHostsUsage)
        .with("heartbeat_bound", refusal.heartbeatBound)
        .with("since_heartbeat", refusal.sinceHeartbeat);
    return retryAfter;
}

} // namespace lacewing::gateway
