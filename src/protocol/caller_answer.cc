#include "protocol/caller_answer.h"

#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

// Keeps the usual order of fields in answers.
using Json = nlohmann::ordered_json;

std::string modelName(const AnswerIdentity& identity)
{
    return identity.adapter.adapter.value() + "@" + identity.adapter.version.value();
}

std::string dump(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json choice(const AnswerIdentity& identity, std::string_view text, const Json& finishReason, bool streaming)
{
    Json choice { { "index", 0 } };
    if (identity.kind == CompletionKind::Text)
        choice["text"] = text;
    else if (streaming)
        choice["delta"] = Json { { "content", text } };
    else
        choice["message"] = Json { { "role", "assistant" }, { "content", text } };
    choice["finish_reason"] = finishReason;
    return choice;
}

Json answer(const AnswerIdentity& identity, Json choice, bool streaming)
{
    const char* object = "text_completion";
    if (identity.kind == CompletionKind::Chat)
        object = streaming ? "chat.completion.chunk" : "chat.completion";
    return Json { { "id", identity.id }, { "object", object }, { "model", modelName(identity) },
        { "choices", Json::array({ std::move(choice) }) } };
}

Json usageObject(const AnswerUsage& usage)
{
    return Json { { "prompt_tokens", usage.promptTokens.value() },
        { "completion_tokens", usage.generatedTokens.value() },
        { "total_tokens", (usage.promptTokens + usage.generatedTokens).value() } };
}

} // namespace

std::string formatTextEvent(const AnswerIdentity& identity, std::string_view text)
{
    return "data: " + dump(answer(identity, choice(identity, text, nullptr, true), true)) + "\n\n";
}

std::string formatFinishEvents(
    const AnswerIdentity& identity, std::string_view finishReason, const AnswerUsage& usage)
{
    Json event = answer(identity, choice(identity, "", finishReason, true), true);
    event["usage"] = usageObject(usage);
    return "data: " + dump(event) + "\n\ndata: [DONE]\n\n";
}

std::string formatErrorEvent(std::string_view code, std::string_view message, Outcome outcome)
{
    return "data: " + formatError(code, message, outcome) + "\n\n";
}

std::string formatAnswer(const AnswerIdentity& identity, std::string_view text, std::string_view finishReason,
    const AnswerUsage& usage)
{
    Json body = answer(identity, choice(identity, text, finishReason, false), false);
    body["usage"] = usageObject(usage);
    return dump(body);
}

std::string formatError(std::string_view code, std::string_view message, Outcome outcome)
{
    return dump(
        Json { { "error", { { "code", code }, { "message", message }, { "outcome", toString(outcome) } } } });
}

} // namespace lacewing
