#include "replay/trace_file.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace lacewing {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char* formatName = "lacewing-trace";
constexpr int64_t formatVersion = 1;
constexpr int64_t largestNumber = int64_t(1) << 40;

/// Takes the fields of one line and remembers the first that is wrong.
class LineReader {
public:
    explicit LineReader(Json object)
        : m_object(std::move(object))
    {
    }

    void text(const char* name, std::string& target)
    {
        const Json* value = take(name);
        if (value && !value->is_string())
            fail(name, "must be a string");
        else if (value)
            target = value->get<std::string>();
    }
    void number(const char* name, int64_t& target)
    {
        const Json* value = take(name);
        if (!value)
            return;
        if (!value->is_number_unsigned() || value->get<uint64_t>() > uint64_t(largestNumber))
            fail(name, "must be a whole number from 0 to 2^40");
        else
            target = value->get<int64_t>();
    }
    void flag(const char* name, bool& target)
    {
        const Json* value = take(name);
        if (value && !value->is_boolean())
            fail(name, "must be true or false");
        else if (value)
            target = value->get<bool>();
    }
    std::string error() const
    {
        if (m_error.empty() && m_taken < m_object.size())
            return "there is an unknown field; see docs/trace-format.md";
        return m_error;
    }

private:
    const Json* take(const char* name)
    {
        const auto found = m_object.find(name);
        if (found == m_object.end())
            return nullptr;
        ++m_taken;
        return &*found;
    }
    void fail(const char* name, const char* expected)
    {
        if (m_error.empty())
            m_error = std::string("'") + name + "' " + expected;
    }

    Json m_object;
    size_t m_taken = 0;
    std::string m_error;
};

std::string readRequest(const Json& line, CallerRequest& request)
{
    LineReader reader(line);
    int64_t seed = 0;
    reader.number("at_ms", request.atMs);
    reader.text("key", request.key);
    reader.text("route", request.route);
    reader.text("model", request.model);
    reader.number("prompt_tokens", request.promptTokens);
    reader.number("seed", seed);
    reader.number("max_tokens", request.maximumTokens);
    reader.flag("stream", request.stream);
    reader.text("request_id", request.requestId);
    reader.text("data_centre", request.dataCentre);
    reader.number("host_rank", request.hostRank);
    reader.number("cancel_after_tokens", request.cancelAfterTokens);
    request.seed = static_cast<uint64_t>(seed);
    if (const std::string error = reader.error(); !error.empty())
        return error;
    if (request.route.empty())
        return "'route' is missing";
    if (!request.model.empty() && request.maximumTokens < 1)
        return "a completion needs 'max_tokens' of at least 1";
    if (request.cancelAfterTokens > 0 && !request.stream)
        return "'cancel_after_tokens' needs a stream";
    return "";
}

Json toJson(const CallerRequest& request)
{
    Json line { { "at_ms", request.atMs }, { "key", request.key }, { "route", request.route } };
    if (!request.model.empty())
        line["model"] = request.model;
    line["prompt_tokens"] = request.promptTokens;
    line["seed"] = request.seed;
    if (!request.model.empty()) {
        line["max_tokens"] = request.maximumTokens;
        line["stream"] = request.stream;
    }
    if (!request.requestId.empty())
        line["request_id"] = request.requestId;
    line["data_centre"] = request.dataCentre;
    if (request.hostRank > 0)
        line["host_rank"] = request.hostRank;
    if (request.cancelAfterTokens > 0)
        line["cancel_after_tokens"] = request.cancelAfterTokens;
    return line;
}

} // namespace

std::optional<std::vector<CallerRequest>> TraceFile::parse(const std::string& text)
{
    std::istringstream lines(text);
    std::vector<CallerRequest> requests;
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        if (line.empty())
            continue;
        const Json json = Json::parse(line, nullptr, false);
        const std::string place = "line " + std::to_string(number) + ": ";
        if (!json.is_object()) {
            m_lastError = place + "not a JSON object";
            return std::nullopt;
        }
        if (number == 1) {
            if (json != Json { { "format", formatName }, { "version", formatVersion } }) {
                m_lastError = place + R"(must be {"format":"lacewing-trace","version":1})";
                return std::nullopt;
            }
            continue;
        }
        CallerRequest request;
        if (const std::string error = readRequest(json, request); !error.empty()) {
            m_lastError = place + error;
            return std::nullopt;
        }
        requests.push_back(std::move(request));
    }
    if (requests.empty()) {
        m_lastError = "the trace has no requests";
        return std::nullopt;
    }
    std::stable_sort(requests.begin(), requests.end(),
        [](const CallerRequest& a, const CallerRequest& b) { return a.atMs < b.atMs; });
    return requests;
}

std::string TraceFile::format(const std::vector<CallerRequest>& requests)
{
    std::string text = Json { { "format", formatName }, { "version", formatVersion } }.dump() + "\n";
    for (const CallerRequest& request : requests)
        text += toJson(request).dump() + "\n";
    return text;
}

} // namespace lacewing
