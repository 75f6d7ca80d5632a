#include "protocol/engine_stream.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr size_t longestEvent = 1024 * 1024;
constexpr std::string_view dataField = "data";
/// The other fields of server-sent events, which carry no tokens.
constexpr std::string_view skippedFields[] = { "event", "id", "retry" };

int64_t integerOr(const Json& object, const char* key, int64_t fallback)
{
    const auto field = object.find(key);
    return field != object.end() && field->is_number_integer() ? field->get<int64_t>() : fallback;
}

} // namespace

std::optional<std::vector<EngineToken>> EngineStreamParser::feed(std::string_view bytes)
{
    m_buffer += bytes;
    std::vector<EngineToken> tokens;
    size_t start = 0;
    for (size_t end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', start)) {
        std::string_view line(m_buffer.data() + start, end - start);
        start = end + 1;
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (!parseLine(line, tokens))
            return std::nullopt;
    }
    m_buffer.erase(0, start);
    if (m_buffer.size() > longestEvent) {
        m_lastError = "event longer than 1 MiB";
        return std::nullopt;
    }
    return tokens;
}

bool EngineStreamParser::parseLine(std::string_view line, std::vector<EngineToken>& tokens)
{
    const size_t colon = std::min(line.find(':'), line.size());
    const std::string_view field = line.substr(0, colon);
    const bool isComment = field.empty();
    if (isComment || std::count(std::begin(skippedFields), std::end(skippedFields), field) > 0)
        return true;
    if (field != dataField) {
        m_lastError = "text that is no event";
        return false;
    }
    line.remove_prefix(std::min(colon + 1, line.size()));
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return parseEvent(line, tokens);
}

bool EngineStreamParser::parseEvent(std::string_view data, std::vector<EngineToken>& tokens)
{
    if (data == "[DONE]")
        return true;
    const Json event = Json::parse(data, nullptr, false);
    if (!event.is_object()) {
        m_lastError = "event is not a JSON object";
        return false;
    }
    if (const auto text = event.find("text"); text != event.end()) {
        const int64_t index = integerOr(event, "token_index", -1);
        if (index < 0 || !text->is_string()) {
            m_lastError = "token event without a valid token_index or text";
            return false;
        }
        // The events of another run, which a failing engine may write into this answer, begin anew.
        if (m_finish || (m_nextIndex && index != *m_nextIndex)) {
            m_lastError = "token out of order";
            return false;
        }
        m_nextIndex = index + 1;
        tokens.push_back({ index, text->get<std::string>() });
        return true;
    }
    if (m_finish) {
        m_lastError = "event after the finish event";
        return false;
    }
    const auto usage = event.find("usage");
    if (usage == event.end() || !usage->is_object()) {
        m_lastError = "event with neither text nor usage";
        return false;
    }
    EngineFinish finish;
    finish.promptTokens = Tokens(integerOr(*usage, "prompt_tokens", 0));
    finish.generatedTokens = Tokens(integerOr(*usage, "completion_tokens", 0));
    if (const auto reason = event.find("finish_reason"); reason != event.end() && reason->is_string())
        finish.reason = reason->get<std::string>();
    m_finish = finish;
    return true;
}

} // namespace lacewing
