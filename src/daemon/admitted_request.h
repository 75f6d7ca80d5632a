#pragma once

#include "protocol/completion_request.h"
#include "state/configuration.h"

#include <optional>
#include <string>

namespace lacewing {

/// A call of a plain service.
struct ServiceCall {
    std::string service;
    std::string method;
    /// Path with query.
    std::string target;
    std::string contentType;
    std::string body;
};

/// A caller's request that passed all checks which need nothing but the configuration.
struct AdmittedRequest {
    /// Empty on a route that is open to all and belongs to no workspace.
    WorkspaceId workspace;
    /// Hash of the key that the request came with; empty without a key.
    std::string keyHash;
    RouteConfig route;
    /// Nothing for a plain service.
    std::optional<CompletionRequest> completion;
    /// Nothing for a completion.
    std::optional<ServiceCall> service;
    /// The adapter with the version that the request is pinned to, and its base model.
    AdapterKey adapter;
    ModelId baseModel;
    /// Empty if the caller gave none.
    RequestId requestId;
    /// The most tokens that the request may cost.
    Tokens cost;
};

} // namespace lacewing
