#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/// Which of the two completion calls a request is.
enum class CompletionKind {
    Text,
    Chat,
};

/// A caller's completion request, reduced to what may be sent to an engine.
struct CompletionRequest {
    CompletionKind kind = CompletionKind::Text;
    AdapterId adapter;
    /// Nothing if the caller leaves the choice to the configuration.
    std::optional<AdapterVersion> version;
    bool streaming = false;
    /// The most tokens that may be generated.
    Tokens maximumTokens;
    /// Upper estimate of the prompt's size.
    Tokens promptTokens;
    /// JSON object with the allowed fields only; it names no model and carries nothing that identifies the
    /// caller.
    std::string engineBody;
};

/// Parses the bodies of /v1/completions and /v1/chat/completions.
class CompletionRequestParser {
public:
    /// @param kind which call the body belongs to.
    /// @param body JSON text from the caller. `model` is "adapter" or "adapter@version".
    /// @return nothing if the body is not valid; lastError() then says why, in words for the caller.
    std::optional<CompletionRequest> parse(CompletionKind kind, std::string_view body);

    const std::string& lastError() const { return m_lastError; }

private:
    std::optional<CompletionRequest> fail(std::string message);

    std::string m_lastError;
};

/// Builds the body that an engine gets for one run of a request.
///
/// @param engineBody CompletionRequest::engineBody.
/// @param model name under which the adapter is resident at the engine.
/// @param requestId identifies the run in the engine's logs.
/// @param priority 0 for interactive, 1 for batch.
/// @param resumeFrom index of the first token wanted.
/// @param workspace for accounting at the engine.
/// @return JSON text, or nothing if engineBody is not a JSON object.
std::optional<std::string> buildEngineBody(const std::string& engineBody, const std::string& model,
    const std::string& requestId, int priority, int64_t resumeFrom, const WorkspaceId& workspace);

} // namespace lacewing
