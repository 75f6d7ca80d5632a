#pragma once

#include "protocol/completion_request.h"
#include "state/outcome.h"

#include <string>
#include <string_view>

namespace lacewing {

/// What an answer to a caller says about itself.
struct AnswerIdentity {
    std::string id;
    CompletionKind kind = CompletionKind::Text;
    AdapterKey adapter;
};

/// Token counts for the caller.
struct AnswerUsage {
    Tokens promptTokens;
    Tokens generatedTokens;
};

/// @return one server-sent event with a piece of text.
std::string formatTextEvent(const AnswerIdentity& identity, std::string_view text);

/// @return the events that end a whole streamed answer.
std::string formatFinishEvents(
    const AnswerIdentity& identity, std::string_view finishReason, const AnswerUsage& usage);

/// @return the event that ends a stream which could not be completed. It is never followed by "[DONE]".
std::string formatErrorEvent(std::string_view code, std::string_view message, Outcome outcome);

/// @return the body of a whole answer.
std::string formatAnswer(const AnswerIdentity& identity, std::string_view text, std::string_view finishReason,
    const AnswerUsage& usage);

/// @return the JSON body of an error answer.
std::string formatError(std::string_view code, std::string_view message, Outcome outcome);

} // namespace lacewing
