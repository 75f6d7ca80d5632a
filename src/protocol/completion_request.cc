#include "protocol/completion_request.h"

#include <nlohmann/json.hpp>

#include <array>

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr int64_t defaultMaximumTokens = 256;
constexpr int64_t largestMaximumTokens = 131072;
constexpr int64_t bytesPerPromptToken = 4;
constexpr size_t longestModelName = 256;

/// Sampling fields that are passed on unchanged. All other fields are dropped, so that nothing the caller
/// adds, such as a key in a field of its own, reaches an engine.
constexpr std::array<const char*, 7> samplingFields { "temperature", "top_p", "top_k", "stop", "seed",
    "presence_penalty", "frequency_penalty" };

int64_t tokensOfBytes(size_t bytes)
{
    return (static_cast<int64_t>(bytes) + bytesPerPromptToken - 1) / bytesPerPromptToken;
}

/// Checks chat messages and keeps role and content only.
bool copyMessages(const Json& source, Json& target, size_t& bytes)
{
    if (!source.is_array() || source.empty())
        return false;
    target = Json::array();
    for (const Json& message : source) {
        if (!message.is_object() || !message.contains("role") || !message.contains("content"))
            return false;
        const Json& role = message["role"];
        const Json& content = message["content"];
        if (!role.is_string() || !content.is_string())
            return false;
        bytes += role.get_ref<const std::string&>().size() + content.get_ref<const std::string&>().size();
        target.push_back({ { "role", role }, { "content", content } });
    }
    return true;
}

} // namespace

std::optional<CompletionRequest> CompletionRequestParser::parse(CompletionKind kind, std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object())
        return fail("the body must be a JSON object in UTF-8");
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string())
        return fail("'model' must be a string: an adapter, or adapter@version");
    const std::string& name = model->get_ref<const std::string&>();
    if (name.empty() || name.size() > longestModelName)
        return fail("'model' must have 1 to 256 bytes");

    CompletionRequest request;
    request.kind = kind;
    const size_t at = name.find('@');
    request.adapter = AdapterId(name.substr(0, at));
    if (at != std::string::npos)
        request.version = AdapterVersion(name.substr(at + 1));

    Json engineBody = Json::object();
    size_t promptBytes = 0;
    if (kind == CompletionKind::Text) {
        const auto prompt = json.find("prompt");
        if (prompt == json.end() || !prompt->is_string())
            return fail("'prompt' must be a string");
        promptBytes = prompt->get_ref<const std::string&>().size();
        engineBody["prompt"] = *prompt;
    } else if (!json.contains("messages")
        || !copyMessages(json["messages"], engineBody["messages"], promptBytes)) {
        return fail("'messages' must be a list of objects with the strings 'role' and 'content'");
    }

    int64_t maximumTokens = defaultMaximumTokens;
    if (const auto field = json.find("max_tokens"); field != json.end() && !field->is_null()) {
        if (!field->is_number_integer())
            return fail("'max_tokens' must be an integer");
        maximumTokens = field->get<int64_t>();
    }
    if (maximumTokens < 1 || maximumTokens > largestMaximumTokens)
        return fail("'max_tokens' must be between 1 and 131072");
    if (const auto field = json.find("stream"); field != json.end() && !field->is_null()) {
        if (!field->is_boolean())
            return fail("'stream' must be true or false");
        request.streaming = field->get<bool>();
    }
    for (const char* field : samplingFields) {
        if (json.contains(field) && !json[field].is_null())
            engineBody[field] = json[field];
    }
    engineBody["max_tokens"] = maximumTokens;
    request.maximumTokens = Tokens(maximumTokens);
    request.promptTokens = Tokens(tokensOfBytes(promptBytes));
    request.engineBody = engineBody.dump();
    return request;
}

std::optional<CompletionRequest> CompletionRequestParser::fail(std::string message)
{
    m_lastError = std::move(message);
    return std::nullopt;
}

std::optional<std::string> buildEngineBody(const std::string& engineBody, const std::string& model,
    const std::string& requestId, int priority, int64_t resumeFrom, const WorkspaceId& workspace)
{
    Json json = Json::parse(engineBody, nullptr, false);
    if (json.is_discarded() || !json.is_object())
        return std::nullopt;
    json["model"] = model;
    json["request_id"] = requestId;
    json["priority"] = priority;
    json["stream"] = true;
    json["workspace"] = workspace.value();
    if (resumeFrom > 0)
        json["resume_from"] = resumeFrom;
    return json.dump();
}

} // namespace lacewing
