#include "gateway/event_format.h"

#include "transport/http_field_rules.h"

#include <algorithm>
#include <charconv>

namespace lacewing::gateway {

namespace {

constexpr std::string_view idField = "id";
constexpr std::string_view dataField = "data";

/// Removes the first line from the text.
///
/// @return the line without its end.
std::string_view takeLine(std::string_view& text)
{
    const size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

std::optional<EventId> readId(std::string_view text)
{
    EventId id;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id.number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    id.text = text;
    return id;
}

} // namespace

const char* toString(EventFault fault)
{
    switch (fault) {
    case EventFault::UnknownField:
        return "unknown_field";
    case EventFault::MissingId:
        return "missing_id";
    case EventFault::RepeatedId:
        return "repeated_id";
    case EventFault::UnreadableId:
        return "unreadable_id";
    case EventFault::MissingData:
        return "missing_data";
    }
    return "unknown";
}

EventFormat::EventFormat(std::vector<std::string> extraFields)
    : m_fields(std::move(extraFields))
{
    m_fields.insert(m_fields.end(), { std::string(idField), std::string(dataField), "event", "retry" });
}

bool EventFormat::isKnownField(std::string_view name) const
{
    return std::find(m_fields.begin(), m_fields.end(), name) != m_fields.end();
}

ParsedEvent EventFormat::parse(std::string_view event) const
{
    ParsedEvent parsed;
    bool hasFields = false;
    bool hasData = false;
    while (!event.empty()) {
        const std::string_view line = takeLine(event);
        const bool isComment = !line.empty() && line.front() == ':';
        if (line.empty() || isComment)
            continue;
        const size_t colon = std::min(line.find(':'), line.size());
        const std::string_view name = line.substr(0, colon);
        if (!isKnownField(name))
            return { std::nullopt, EventFault::UnknownField };
        hasFields = true;
        hasData = hasData || name == dataField;
        if (name != idField)
            continue;
        if (parsed.id)
            return { std::nullopt, EventFault::RepeatedId };
        parsed.id = readId(trimmedField(line.substr(std::min(colon + 1, line.size()))));
        if (!parsed.id)
            return { std::nullopt, EventFault::UnreadableId };
    }
    if (hasFields && !parsed.id)
        return { std::nullopt, EventFault::MissingId };
    if (hasFields && !hasData)
        return { std::nullopt, EventFault::MissingData };
    return parsed;
}

} // namespace lacewing::gateway
