#pragma once

#include "protocol/completion_request.h"
#include "state/configuration.h"

#include <optional>
#include <string>

namespace lacewing {

/// A call to a plain HTTP service.
struct ServiceCall {
    std::string service;
    std::string method;
    /// Path and query string.
    std::string target;
    std::string contentType;
    std::string body;
};

/// A caller's request that has passed all checks against the configuration. Rate limits and claims are
/// checked later.
struct AdmittedRequest {
    /// Empty for a request without a key to a plain service on an open route.
    WorkspaceId workspace;
    /// Hash of the presented key; empty without a key.
    std::string keyHash;
    RouteConfig route;
    /// Unset for a call to a plain service.
    std::optional<CompletionRequest> completion;
    /// Unset for a completion.
    std::optional<ServiceCall> service;
    /// The adapter and version that were resolved at admission; later default versions don't affect the
    /// request.
    AdapterKey adapter;
    ModelId baseModel;
    /// Value of the Idempotency-Key header; empty without one.
    RequestId requestId;
    /// Upper bound of the request's cost, which is reserved before it is sent.
    Tokens cost;
};

} // namespace lacewing
