#pragma once

#include "daemon/admitted_request.h"
#include "state/refusal_answer.h"
#include "transport/http_server.h"

#include <functional>
#include <optional>

namespace lacewing {

/// Workspace and hash of the key that a request presented.
struct ResolvedKey {
    WorkspaceId workspace;
    std::string hash;
};

/// Validates a caller's request against the configuration: route, key, workspace, adapter, version and body.
class RequestValidator {
public:
    /// Returns the workspace and hash of a key, or nothing if the key is unknown.
    using KeyResolver = std::function<std::optional<ResolvedKey>(const std::string& key)>;

    /// @param keys must stay callable for the lifetime of the validator.
    explicit RequestValidator(KeyResolver keys);

    /// @return the validated request, or nothing if it is rejected; refusal() then holds the error.
    std::optional<AdmittedRequest> validate(const HttpExchange& exchange, const Configuration& configuration);

    const RefusalAnswer& refusal() const { return m_refusal; }

private:
    bool validateCompletion(
        const HttpExchange& exchange, const Configuration& configuration, AdmittedRequest& request);
    bool validateServiceCall(const HttpExchange& exchange, const std::string& key, AdmittedRequest& request);
    bool resolveKey(
        const HttpExchange& exchange, const RouteConfig& route, std::string& key, AdmittedRequest& request);
    bool resolveAdapterVersion(const Configuration& configuration, AdmittedRequest& request);
    bool refuse(int status, std::string_view code, std::string message);

    KeyResolver m_keys;
    RefusalAnswer m_refusal;
};

} // namespace lacewing
