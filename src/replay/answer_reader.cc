#include "replay/answer_reader.h"

#include <nlohmann/json.hpp>

namespace lacewing {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr size_t bytesPerToken = 4;

/// @return the value at a pointer, or null.
Json at(const Json& json, const char* pointer)
{
    return json.value(Json::json_pointer(pointer), Json());
}

/// @return the text at a pointer, or "" if there is none.
std::string textAt(const Json& json, const char* pointer)
{
    const Json value = json.is_object() ? at(json, pointer) : Json();
    return value.is_string() ? value.get<std::string>() : "";
}

} // namespace

AnswerReader::AnswerReader(const PreparedRequest& request, RequestResult& result)
    : m_request(request)
    , m_result(result)
{
}

void AnswerReader::receiveHeaders(int status, const HttpHeaders& headers)
{
    m_status = status;
    m_outcome = headers.find("Lacewing-Outcome").value_or("");
    m_isEventStream = headers.find("Content-Type") == "text/event-stream";
}

void AnswerReader::receive(std::string_view bytes, Duration now)
{
    m_buffer += bytes;
    if (!m_isEventStream) {
        if (!m_result.hasFirstToken)
            m_result.firstTokenAt = now;
        m_result.hasFirstToken = true;
        return;
    }
    size_t start = 0;
    for (size_t end = m_buffer.find("\n\n"); end != std::string::npos; end = m_buffer.find("\n\n", start)) {
        receiveEvent(std::string_view(m_buffer).substr(start, end - start), now);
        start = end + 2;
    }
    m_buffer.erase(0, start);
}

void AnswerReader::receiveEvent(std::string_view event, Duration now)
{
    constexpr std::string_view prefix = "data: ";
    if (event.substr(0, prefix.size()) != prefix)
        return wrong("an event does not start with \"data: \"");
    event.remove_prefix(prefix.size());
    if (m_isDone)
        return wrong("an event follows [DONE]");
    if (event == "[DONE]") {
        m_isDone = true;
        return;
    }
    m_lastEvent = event;
    const Json json = Json::parse(event, nullptr, false);
    if (!json.is_object())
        return wrong("an event is not a JSON object");
    if (json.contains("error"))
        return;
    if (textAt(json, "/model") != m_request.model)
        return wrong("an event names the model \"" + textAt(json, "/model") + "\"");
    const std::string text = textAt(json, "/choices/0/text") + textAt(json, "/choices/0/delta/content");
    if (!text.empty())
        addText(text, now);
}

void AnswerReader::addText(std::string_view text, Duration now)
{
    if (m_result.hasFirstToken)
        m_result.gaps.push_back(now - m_lastTokenAt);
    else
        m_result.firstTokenAt = now;
    m_result.hasFirstToken = true;
    m_lastTokenAt = now;
    m_text += text;
    if (m_request.text.compare(0, m_text.size(), m_text) != 0)
        wrong("the text differs from the expected one before byte " + std::to_string(m_text.size()));
}

int64_t AnswerReader::receivedTokens() const
{
    // Token 0 names the adapter and version; all others have four bytes.
    const size_t first = m_request.model.size() + 1;
    if (m_text.size() < first)
        return 0;
    return static_cast<int64_t>(1 + (m_text.size() - first) / bytesPerToken);
}

bool AnswerReader::shouldCancel() const
{
    return m_request.trace.cancelAfterTokens > 0 && receivedTokens() >= m_request.trace.cancelAfterTokens;
}

void AnswerReader::finish(std::optional<HttpClientError> error, bool cancelled, Duration now)
{
    m_result.endedAt = now;
    if (!m_result.hasFirstToken)
        m_result.firstTokenAt = now;
    if (cancelled) {
        m_result.ending = RequestEnding::Cancelled;
        m_result.served = Tokens(m_request.promptTokens + receivedTokens());
    } else if (error) {
        m_result.ending = RequestEnding::Unknown;
        m_result.code = toString(*error);
        m_result.served = Tokens(m_text.empty() ? 0 : m_request.promptTokens + receivedTokens());
    } else if (m_isEventStream) {
        finishStream();
    } else if (m_outcome != "answered") {
        fail(m_buffer);
    } else if (m_request.isCompletion()) {
        finishWhole();
    } else {
        finishService();
    }
    if (!m_result.fault.empty())
        m_result.ending = RequestEnding::Wrong;
}

void AnswerReader::finishStream()
{
    m_result.served = Tokens(m_request.promptTokens + receivedTokens());
    // The daemon sends whole events only, so an orderly end inside one is a fault.
    if (!m_buffer.empty())
        return wrong("the answer ends inside an event");
    if (!m_isDone)
        return fail(m_lastEvent);
    if (!m_request.trace.stream)
        return wrong("an event stream answers a request for a whole answer");
    checkCompletion(Json::parse(m_lastEvent, nullptr, false));
}

void AnswerReader::finishWhole()
{
    const Json json = Json::parse(m_buffer, nullptr, false);
    if (!json.is_object() || m_status != statusOk)
        return wrong("the answer is not a JSON object with status 200");
    m_text = textAt(json, "/choices/0/text") + textAt(json, "/choices/0/message/content");
    m_result.served = Tokens(m_request.promptTokens + receivedTokens());
    checkCompletion(json);
}

void AnswerReader::checkCompletion(const Json& answer)
{
    m_result.ending = RequestEnding::Answered;
    if (!answer.is_object() || textAt(answer, "/model") != m_request.model)
        return wrong("the answer does not name the model " + m_request.model);
    if (m_text != m_request.text)
        return wrong("the text is not the expected one; it has " + std::to_string(m_text.size())
            + " bytes instead of " + std::to_string(m_request.text.size()));
    if (textAt(answer, "/choices/0/finish_reason") != m_request.finishReason)
        return wrong("the finish reason is not " + m_request.finishReason);
    if (at(answer, "/usage/completion_tokens") != m_request.completionTokens
        || at(answer, "/usage/prompt_tokens") != m_request.promptTokens)
        return wrong("the usage does not fit the answer");
}

void AnswerReader::finishService()
{
    m_result.ending = RequestEnding::Answered;
    m_result.body = m_buffer;
    m_result.served = m_request.workspace.empty() ? Tokens(0) : m_request.route.cost;
    const Json json = Json::parse(m_buffer, nullptr, false);
    if (m_status != statusOk || textAt(json, "/key") != m_request.runKey)
        return wrong("the service's answer does not belong to the call " + m_request.runKey);
    if (!m_request.route.repeatable && at(json, "/run") != 1)
        wrong("the answer is not that of the first run of " + m_request.runKey);
}

void AnswerReader::fail(const std::string& body)
{
    const Json json = Json::parse(body, nullptr, false);
    m_result.code = textAt(json, "/error/code");
    const std::string outcome = textAt(json, "/error/outcome");
    if (m_result.code.empty()) {
        m_result.ending = RequestEnding::Unknown;
        m_result.code = m_isEventStream ? "stream_cut" : "status_" + std::to_string(m_status);
        return;
    }
    if (!m_isEventStream && outcome != m_outcome)
        return wrong("the outcome in the header is not that in the body");
    m_result.ending = outcome == "refused_not_run" ? RequestEnding::RefusedNotRun : RequestEnding::Unknown;
    if (outcome == "refused_not_run" && m_result.hasFirstToken && m_isEventStream)
        wrong("a refusal that claims not to have run follows tokens");
}

void AnswerReader::wrong(std::string fault)
{
    if (m_result.fault.empty())
        m_result.fault = std::move(fault);
}

} // namespace lacewing
