#include "replay/expected_answer.h"

#include "base/random.h"
#include "fakes/answer_text.h"
#include "fakes/content_hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewing {

using Json = nlohmann::ordered_json;

RequestPreparer::RequestPreparer(const Configuration& configuration, std::map<std::string, std::string> keys)
    : m_configuration(configuration)
    , m_keys(std::move(keys))
{
}

std::string RequestPreparer::promptText(int64_t tokens, uint64_t seed)
{
    Random random(seed);
    std::string text;
    for (int64_t token = 0; token < tokens; ++token) {
        for (int letter = 0; letter < 3; ++letter)
            text += static_cast<char>('a' + random.below(26));
        text += ' ';
    }
    return text;
}

bool RequestPreparer::fail(std::string reason)
{
    m_lastError = std::move(reason);
    return false;
}

std::optional<PreparedRequest> RequestPreparer::prepare(const CallerRequest& request)
{
    PreparedRequest prepared;
    prepared.trace = request;
    const auto& routes = m_configuration.routes;
    const auto route = std::find_if(routes.begin(), routes.end(),
        [&](const RouteConfig& config) { return config.id.value() == request.route; });
    if (route == routes.end()) {
        fail("the configuration has no route \"" + request.route + "\"");
        return std::nullopt;
    }
    prepared.route = *route;
    if (!resolveKey(prepared))
        return std::nullopt;
    if (!prepared.isCompletion())
        prepareService(prepared);
    else if (!prepareCompletion(prepared))
        return std::nullopt;
    return prepared;
}

bool RequestPreparer::resolveKey(PreparedRequest& prepared)
{
    const std::string& id = prepared.trace.key;
    if (id.empty())
        return prepared.route.open || fail("route \"" + prepared.trace.route + "\" needs a key");
    const auto text = m_keys.find(id);
    const auto key = std::find_if(m_configuration.keys.begin(), m_configuration.keys.end(),
        [&](const KeyConfig& config) { return config.id == id; });
    if (text == m_keys.end() || key == m_configuration.keys.end())
        return fail("key \"" + id + "\" is not in the configuration or not in the file of keys");
    prepared.keyText = text->second;
    prepared.workspace = key->workspace;
    return true;
}

bool RequestPreparer::prepareCompletion(PreparedRequest& prepared)
{
    const CallerRequest& trace = prepared.trace;
    const size_t at = trace.model.find('@');
    const auto adapter = m_configuration.adapters.find(AdapterId(trace.model.substr(0, at)));
    if (adapter == m_configuration.adapters.end())
        return fail("the configuration has no adapter for the model \"" + trace.model + "\"");
    const std::string version
        = at == std::string::npos ? adapter->second.defaultVersion.value() : trace.model.substr(at + 1);
    const std::string prompt = promptText(trace.promptTokens, trace.seed);
    const bool isChat = prepared.route.path.find("/chat/") != std::string::npos;
    Json body { { "model", trace.model }, { "max_tokens", trace.maximumTokens }, { "stream", trace.stream } };
    if (isChat)
        body["messages"] = Json::array({ Json { { "role", "user" }, { "content", prompt } } });
    else
        body["prompt"] = prompt;
    prepared.target = prepared.route.path;
    prepared.body = body.dump();
    prepared.model = adapter->first.value() + "@" + version;
    const AnswerText answer(
        prepared.model, isChat ? "user: " + prompt + "\nassistant: " : prompt, trace.maximumTokens);
    for (int64_t token = 0; token < answer.length(); ++token)
        prepared.text += answer.token(token);
    prepared.finishReason = answer.finishReason();
    prepared.promptTokens = trace.promptTokens;
    prepared.completionTokens = answer.length();
    return true;
}

void RequestPreparer::prepareService(PreparedRequest& prepared) const
{
    const CallerRequest& trace = prepared.trace;
    prepared.target = prepared.route.path + std::to_string(trace.seed);
    prepared.body = promptText(trace.promptTokens, trace.seed);
    const uint64_t hash = hashBytes(prepared.body, hashBytes("POST " + prepared.target + "\n"));
    prepared.runKey = prepared.workspace.value() + "/"
        + (trace.requestId.empty() ? "body-" + hexOf(hash) : trace.requestId);
}

} // namespace lacewing
