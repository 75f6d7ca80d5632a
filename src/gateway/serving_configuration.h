#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway {

using ServiceId = StrongId<struct ServiceIdTag>;

/// What may be repeated on a route.
enum class RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a series of events; the request runs at most once unless the route is resumable.
    Stream,
};

/// @return the kind as logs and metrics name it.
const char* toString(RouteKind kind);

/// A service with the share of a route's requests that it receives.
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
    /// Longest time that a caller is kept waiting.
    Duration timeout {};
    /// Time to the answer, or to a stream's first event, within which the answer is on time.
    Duration targetLatency {};
    /// Longest pause between two events of a stream that is on time; zero if there is no such limit.
    Duration targetPause {};
    /// Rank; 0 is the most urgent.
    int priority = 0;
    /// Most upstreams to which one request may be sent.
    int maximumAttempts = 1;
    bool isAnonymous = false;
    bool isResumable = false;
    std::vector<ServiceShare> services;

    bool mayRepeat() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

/// A base model that the engines of a service may hold.
struct ServedModel {
    ModelId id;
    /// Memory that its weights take.
    double weightsMegabytes = 0;
};

/// What the engines of a service have in common.
struct EngineLimits {
    /// Requests in one batch.
    int batchSlots = 1;
    Tokens cacheTokens;
    /// Adapters that an engine may hold at once, those being loaded included.
    int adapterPlaces = 0;
    /// Memory for weights.
    double weightsMegabytes = 0;
    std::vector<ServedModel> models;
};

struct ServiceConfiguration {
    ServiceId id;
    int connectionLimit = 0;
    /// Only for model engines.
    std::optional<EngineLimits> engine;
};

/// A workspace's limit over all hosts, in tokens or requests. No limit if the rate is 0.
struct WorkspaceLimit {
    double ratePerSecond = 0;
    double burst = 0;
    bool countsTokens = false;
    /// Charge of a request that does not tell its tokens.
    Tokens defaultRequestTokens { 1 };

    bool isLimited() const { return ratePerSecond > 0; }
};

struct ServingWorkspace {
    WorkspaceId id;
    /// Replaces the route's priority.
    std::optional<int> priority;
    WorkspaceLimit limit;
};

/// What callers may send.
struct CallerLimits {
    size_t headerBytes = 16 * 1024;
    size_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of what operators have configured: routes, services, workspaces and limits.
class ServingConfiguration {
public:
    /// Collects a configuration.
    class Builder {
    public:
        explicit Builder(Revision revision);
        Builder& add(Route route);
        Builder& add(ServiceConfiguration service);
        Builder& add(ServingWorkspace workspace, const std::vector<std::string>& keys);
        Builder& callerLimits(CallerLimits limits);
        /// Ends the use of the builder.
        std::shared_ptr<const ServingConfiguration> build();

    private:
        std::shared_ptr<ServingConfiguration> m_result;
    };

    Revision revision() const { return m_revision; }
    const CallerLimits& callerLimits() const { return m_callerLimits; }
    bool hasWorkspaces() const { return !m_workspaces.empty(); }

    /// @param path without the query.
    /// @return the route of the host with the longest prefix that begins the path, or null.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// @return the workspace that a key belongs to, or null.
    const ServingWorkspace* findWorkspace(std::string_view key) const;
    /// @return a service, or null.
    const ServiceConfiguration* findService(const ServiceId& id) const;
    const std::vector<ServingWorkspace>& workspaces() const { return m_workspaces; }
    const std::map<ServiceId, ServiceConfiguration>& services() const { return m_services; }

private:
    Revision m_revision;
    CallerLimits m_callerLimits;
    /// By host and then by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> m_routes;
    std::map<ServiceId, ServiceConfiguration> m_services;
    std::vector<ServingWorkspace> m_workspaces;
    /// Index into m_workspaces by the SHA-256 of the key, so that look-ups reveal nothing by their time.
    std::unordered_map<std::string, size_t> m_workspaceOfKey;
};

} // namespace lacewing::gateway
