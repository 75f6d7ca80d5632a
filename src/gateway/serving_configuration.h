#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "region/home_regions.h"
#include "warmup/cold_start.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway {

/// Whether and how a route's requests may be retried.
enum class RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The response is a stream of events; the request runs at most once unless the route is resumable.
    Stream,
};

/// @return the name used in logs and metrics.
const char* toString(RouteKind kind);

/// A service of a route and the relative weight with which it receives the route's requests.
struct ServiceShare {
    ServiceId service;
    double weight = 1;
};

struct Route {
    RouteId id;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /// Longest time that a caller waits for the response.
    Duration timeout {};
    /// Latency target for the response, or for a stream's first event.
    Duration targetLatency {};
    /// Target for the longest pause between two events of a stream; zero if there is none.
    Duration targetPause {};
    /// 0 is the highest priority.
    int priority = 0;
    /// Maximum number of upstreams that one request may be sent to.
    int maximumAttempts = 1;
    bool isAnonymous = false;
    bool isResumable = false;
    std::vector<ServiceShare> services;
    region::HomeRegions homes;

    bool mayRepeat() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

/// A base model that the engines of a service may load.
struct ServedModel {
    ModelId id;
    /// Memory for the model's weights.
    double weightsMegabytes = 0;
};

/// Limits that apply to each engine of a service.
struct EngineLimits {
    /// Maximum number of requests in one batch.
    int batchSlots = 1;
    Tokens cacheTokens;
    /// Maximum number of adapters in an engine, including those being loaded.
    int adapterPlaces = 0;
    /// Memory available for model weights.
    double weightsMegabytes = 0;
    std::vector<ServedModel> models;
};

struct ServiceConfiguration {
    ServiceId id;
    int connectionLimit = 0;
    /// Set only for services of model engines.
    std::optional<EngineLimits> engine;
    /// Limit of upstreams that have just started; nothing if they take any number of requests.
    std::optional<ColdStart> coldStart;
};

/// A workspace's rate limit over all hosts, in tokens or requests. A rate of 0 means no limit.
struct WorkspaceLimit {
    double ratePerSecond = 0;
    double burst = 0;
    bool countsTokens = false;
    /// Tokens charged for a request that does not state its token count.
    Tokens defaultRequestTokens { 1 };

    bool isLimited() const { return ratePerSecond > 0; }
};

struct ServingWorkspace {
    WorkspaceId id;
    /// Replaces the route's priority.
    std::optional<int> priority;
    WorkspaceLimit limit;
    region::HomeRegions homes;
};

/// Size limits and timeouts for callers' requests.
struct CallerLimits {
    size_t headerBytes = 16 * 1024;
    size_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One immutable revision of the operators' configuration: routes, services, workspaces and limits.
class ServingConfiguration {
public:
    /// Builds a ServingConfiguration.
    class Builder {
    public:
        explicit Builder(Revision revision);
        Builder& add(Route route);
        Builder& add(ServiceConfiguration service);
        Builder& add(ServingWorkspace workspace, const std::vector<std::string>& keys);
        Builder& callerLimits(CallerLimits limits);
        /// The builder must not be used afterwards.
        std::shared_ptr<const ServingConfiguration> build();

    private:
        std::shared_ptr<ServingConfiguration> m_result;
    };

    Revision revision() const { return m_revision; }
    const CallerLimits& callerLimits() const { return m_callerLimits; }
    bool hasWorkspaces() const { return !m_workspaces.empty(); }

    /// @param path without the query.
    /// @return the route of the host with the longest prefix of the path, or null.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// @param host with or without a port.
    /// @return the home regions of the host's routes, those of all routes together; empty if no route has
    /// any.
    std::set<RegionId> homeRegions(const std::string& host) const;
    /// @return the workspace that a key belongs to, or null.
    const ServingWorkspace* findWorkspace(std::string_view key) const;
    /// @return a service, or null.
    const ServiceConfiguration* findService(const ServiceId& id) const;
    const std::vector<ServingWorkspace>& workspaces() const { return m_workspaces; }
    const std::map<ServiceId, ServiceConfiguration>& services() const { return m_services; }
    /// @return the longest time that a caller waits for a whole stream; zero without streams.
    Duration longestStream() const { return m_longestStream; }

private:
    Revision m_revision;
    CallerLimits m_callerLimits;
    Duration m_longestStream {};
    /// Keyed by host, then by path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> m_routes;
    std::map<ServiceId, ServiceConfiguration> m_services;
    std::vector<ServingWorkspace> m_workspaces;
    /// Indices into m_workspaces, keyed by the SHA-256 of the key, so that the timing of look-ups reveals
    /// nothing about valid keys.
    std::unordered_map<std::string, size_t> m_workspaceOfKey;
};

} // namespace lacewing::gateway
