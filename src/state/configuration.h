#pragma once

#include "base/ids.h"
#include "state/peer_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// A tenant and its fleet-wide token rate limit.
struct WorkspaceConfig {
    WorkspaceId id;
    /// Refill rate of the token bucket, in tokens per second over the whole fleet.
    Tokens rate;
    /// Capacity of the token bucket: the most tokens that may be spent at once after an idle period.
    Tokens burst;
};

/// An API key of a caller. Only its hash is stored.
struct KeyConfig {
    std::string id;
    WorkspaceId workspace;
    /// HMAC-SHA-256 of the key in lower-case hex.
    std::string hash;
};

/// A LoRA adapter and its published versions.
struct AdapterConfig {
    AdapterId id;
    WorkspaceId workspace;
    ModelId baseModel;
    std::vector<AdapterVersion> versions;
    /// Version used by requests that name none.
    AdapterVersion defaultVersion;
};

enum class UpstreamKind {
    ModelEngine,
    PlainService,
};

enum class UpstreamState {
    Live,
    /// Accepts no new requests; running requests complete.
    Draining,
};

/// A backend server that requests are routed to.
struct UpstreamConfig {
    UpstreamId id;
    UpstreamKind kind = UpstreamKind::ModelEngine;
    UpstreamState state = UpstreamState::Live;
    DataCentreId dataCentre;
    /// IP address and port.
    std::string address;
    /// Base model that an engine serves; empty for a plain service.
    ModelId baseModel;
    /// Number of adapters that an engine can keep loaded at the same time.
    int adapterSlots = 0;
    /// Maximum number of requests that the upstream runs concurrently.
    int maximumConcurrency = 0;
    bool checksFencing = false;
    bool resumesStreams = false;
    bool cancelsStreams = false;
    bool reportsLoad = false;
    /// Service group of a plain service, referred to by RouteConfig::service; empty for an engine.
    std::string service;
};

/// Maps a path prefix of callers' requests to a group of upstreams.
struct RouteConfig {
    RouteId id;
    /// Path prefix.
    std::string path;
    /// Service group to route to; empty for the engines' completions and chat API.
    std::string service;
    /// Whether requests are accepted without an API key.
    bool open = false;
    /// Whether calls are idempotent and may therefore be retried.
    bool repeatable = true;
    RequestClass requestClass = RequestClass::Interactive;
    /// Longest time that a request may wait before it starts, in milliseconds.
    int64_t startDeadlineMs = 0;
    /// Tokens charged for each call of a plain service.
    Tokens cost;
};

/// Fleet-wide limits on loading adapters into engines.
struct LoadLimits {
    double loadsPerSecond = 0;
    int maximumInFlight = 0;
};

/// All settings that operators manage, at one revision.
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
