#pragma once

#include "replay/caller_request.h"
#include "state/configuration.h"

#include <map>
#include <optional>
#include <string>

namespace lacewing {

/// One request of a trace, ready to be sent, with the answer that it must get.
struct PreparedRequest {
    CallerRequest trace;
    RouteConfig route;
    /// Empty on open routes.
    std::string keyText;
    WorkspaceId workspace;
    std::string target;
    std::string body;

    /// For completions: "adapter@version", the whole text, and the counts.
    std::string model;
    std::string text;
    std::string finishReason;
    int64_t promptTokens = 0;
    int64_t completionTokens = 0;
    /// For service calls: the name under which the stand-in service counts the run.
    std::string runKey;

    bool isCompletion() const { return route.service.empty(); }
};

/// Prepares the requests of a trace against a configuration. The expected answers are those of the stand-ins
/// in src/fakes.
class RequestPreparer {
public:
    /// @param keys texts of the callers' keys by their id in the configuration.
    RequestPreparer(const Configuration& configuration, std::map<std::string, std::string> keys);

    /// @return nothing if the trace and the configuration do not fit; see lastError().
    std::optional<PreparedRequest> prepare(const CallerRequest& request);

    /// @return a text of a size in units of four bytes that depends only on its arguments.
    static std::string promptText(int64_t tokens, uint64_t seed);

    const std::string& lastError() const { return m_lastError; }

private:
    bool resolveKey(PreparedRequest& prepared);
    bool prepareCompletion(PreparedRequest& prepared);
    void prepareService(PreparedRequest& prepared) const;
    bool fail(std::string reason);

    const Configuration& m_configuration;
    std::map<std::string, std::string> m_keys;
    std::string m_lastError;
};

} // namespace lacewing
