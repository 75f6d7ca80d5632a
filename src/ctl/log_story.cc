#include "ctl/log_story.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewing {

namespace {

/// Orders for the request's adapter that are shown, the latest ones before its end.
constexpr size_t shownOrders = 4;

/// @return the end of a value that begins at a position; quoted values may hold spaces.
size_t endOfValue(const std::string& text, size_t begin)
{
    if (begin >= text.size() || text[begin] != '"')
        return std::min(text.find(' ', begin), text.size());
    for (size_t at = begin + 1; at < text.size(); ++at) {
        if (text[at] == '\\')
            ++at;
        else if (text[at] == '"')
            return at + 1;
    }
    return text.size();
}

std::string unquoted(const std::string& value)
{
    if (value.size() < 2 || value.front() != '"')
        return value;
    std::string text;
    for (size_t at = 1; at + 1 < value.size(); ++at) {
        if (value[at] == '\\' && at + 2 < value.size())
            ++at;
        text += value[at];
    }
    return text;
}

} // namespace

const char* toString(LogStory::Part part)
{
    switch (part) {
    case LogStory::Part::Context:
        return "context";
    case LogStory::Part::Owner:
        return "owner";
    case LogStory::Part::Request:
        return "request";
    }
    return "invalid";
}

std::string LogStory::Event::field(const std::string& key) const
{
    const auto found = fields.find(key);
    return found == fields.end() ? "" : found->second;
}

std::map<std::string, std::string> LogStory::parse(const std::string& text)
{
    std::map<std::string, std::string> fields;
    size_t at = 0;
    while (at < text.size()) {
        const size_t equals = text.find('=', at);
        if (equals == std::string::npos)
            break;
        const size_t space = text.rfind(' ', equals);
        const size_t keyBegin = space == std::string::npos || space < at ? at : space + 1;
        const size_t end = endOfValue(text, equals + 1);
        fields[text.substr(keyBegin, equals - keyBegin)]
            = unquoted(text.substr(equals + 1, end - equals - 1));
        at = end + 1;
    }
    return fields;
}

void LogStory::addLog(const std::string& name, std::istream& log)
{
    Log result { name, {} };
    std::string text;
    while (std::getline(log, text)) {
        Event event { text, parse(text) };
        if (event.field("event").empty())
            continue;
        if (event.field("event") == "started" && !event.field("host").empty())
            result.host = event.field("host");
        result.events.push_back(std::move(event));
    }
    m_logs.push_back(std::move(result));
}

LogStory::Line LogStory::lineOf(const Log& log, const Event& event, Part part)
{
    return { event.field("time"), log.host, part, event.text };
}

std::vector<LogStory::Line> LogStory::tell(const std::string& request) const
{
    std::vector<Line> lines;
    for (const Log& log : m_logs) {
        bool isFirst = true;
        for (size_t index = 0; index < log.events.size(); ++index) {
            const Event& event = log.events[index];
            // Callers' later tries name the stream that this request has begun.
            if (event.field("request") != request && event.field("stream") != request)
                continue;
            if (std::exchange(isFirst, false))
                addContext(log, index, lines);
            lines.push_back(lineOf(log, event, Part::Request));
            addOwners(log.host, event, lines);
        }
    }
    std::stable_sort(
        lines.begin(), lines.end(), [](const Line& a, const Line& b) { return a.time < b.time; });
    const auto same = [](const Line& a, const Line& b) { return a.host == b.host && a.text == b.text; };
    lines.erase(std::unique(lines.begin(), lines.end(), same), lines.end());
    return lines;
}

// The latest line of each kind tells what held when the request came.
void LogStory::addContext(const Log& log, size_t first, std::vector<Line>& lines)
{
    const std::set<std::string> kinds { "started", "configuration_applied", "service_versions",
        "settings_reloaded", "stopping", "store_lost", "store_regained", "log_lines_dropped" };
    std::set<std::string> seen;
    for (size_t index = first; index-- > 0;) {
        const Event& event = log.events[index];
        if (kinds.count(event.field("event")) == 0)
            continue;
        // A table that was lost and regained is shown once, by the later event.
        const std::string kind = event.field("table").empty() ? event.field("event") : event.field("table");
        if (seen.insert(kind).second)
            lines.push_back(lineOf(log, event, Part::Context));
    }
}

void LogStory::addOwners(const std::string& host, const Event& event, std::vector<Line>& lines) const
{
    const std::string engine = event.field("upstream");
    for (const Log& log : m_logs) {
        std::vector<Line> orders;
        for (const Event& other : log.events) {
            const std::string kind = other.field("event");
            const bool isDenial = kind == "run_denied" && other.field("asker") == host
                && !event.field("run").empty() && other.field("run") == event.field("run");
            const bool isOrder = kind == "engine_order" && !event.field("adapter").empty()
                && other.field("engine") == engine && other.field("adapter") == event.field("adapter")
                && other.field("time") <= event.field("time");
            if (isDenial)
                lines.push_back(lineOf(log, other, Part::Owner));
            if (isOrder)
                orders.push_back(lineOf(log, other, Part::Owner));
            const bool isUpstream = (kind == "upstream_changed" || kind == "upstream_gone")
                && log.host == host && !engine.empty() && other.field("upstream") == engine
                && other.field("time") <= event.field("time");
            if (isUpstream)
                lines.push_back(lineOf(log, other, Part::Context));
        }
        const size_t shown = std::min(orders.size(), shownOrders);
        lines.insert(lines.end(), orders.end() - static_cast<std::ptrdiff_t>(shown), orders.end());
    }
}

} // namespace lacewing
