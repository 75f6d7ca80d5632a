#pragma once

#include "base/ids.h"
#include "state/peer_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// A tenant with its fleet-wide limits.
struct WorkspaceConfig {
    WorkspaceId id;
    /// Tokens a second, over the whole fleet.
    Tokens rate;
    /// Tokens that may be received at once after a pause.
    Tokens burst;
};

/// A caller's key. Only its hash is kept.
struct KeyConfig {
    std::string id;
    WorkspaceId workspace;
    /// HMAC-SHA-256 of the key in lower-case hex.
    std::string hash;
};

/// A LoRA adapter.
struct AdapterConfig {
    AdapterId id;
    WorkspaceId workspace;
    ModelId baseModel;
    std::vector<AdapterVersion> versions;
    /// The version that a request without one is pinned to.
    AdapterVersion defaultVersion;
};

enum class UpstreamKind {
    ModelEngine,
    PlainService,
};

enum class UpstreamState {
    Live,
    /// Gets no new work, keeps what runs.
    Draining,
};

/// A server that the system sends requests to.
struct UpstreamConfig {
    UpstreamId id;
    UpstreamKind kind = UpstreamKind::ModelEngine;
    UpstreamState state = UpstreamState::Live;
    DataCentreId dataCentre;
    /// IP number and port.
    std::string address;
    /// Base model of an engine.
    ModelId baseModel;
    /// Adapters that an engine holds at once.
    int adapterSlots = 0;
    /// Requests that the upstream runs at once.
    int maximumConcurrency = 0;
    bool checksFencing = false;
    bool resumesStreams = false;
    bool cancelsStreams = false;
    bool reportsLoad = false;
    /// Service group that a plain-service route refers to.
    std::string service;
};

/// Maps callers' paths to upstreams.
struct RouteConfig {
    RouteId id;
    /// Path prefix.
    std::string path;
    /// Empty for the completions and chat API of the engines.
    std::string service;
    /// Open to all: no key is needed.
    bool open = false;
    /// An idempotent call, which may be retried.
    bool repeatable = true;
    RequestClass requestClass = RequestClass::Interactive;
    /// Time within which a request must have started, in milliseconds.
    int64_t startDeadlineMs = 0;
    /// Tokens charged for one call of a plain service.
    Tokens cost;
};

/// Fleet-wide limits on adapter loads.
struct LoadLimits {
    double loadsPerSecond = 0;
    int maximumInFlight = 0;
};

/// Everything that operators manage, at one revision.
struct Configuration {
    Revision revision;
    std::map<WorkspaceId, WorkspaceConfig> workspaces;
    std::vector<KeyConfig> keys;
    std::map<AdapterId, AdapterConfig> adapters;
    std::map<UpstreamId, UpstreamConfig> upstreams;
    std::vector<RouteConfig> routes;
    LoadLimits loadLimits;
};

} // namespace lacewing
