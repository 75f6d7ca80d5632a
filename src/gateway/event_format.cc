#include "gateway/event_format.h"

#include "transport/http_field_rules.h"

#include <algorithm>
#include <charconv>

namespace lacewing::gateway {

namespace {

constexpr std::string_view idField = "id";
constexpr std::string_view dataField = "data";

struct Line {
    std::string_view text;
    /// Whether a carriage return stands before the line feed.
    bool hasCarriageReturn = false;
};

/// Removes the first line from the text.
Line takeLine(std::string_view& text)
{
    const size_t end = std::min(text.find('\n'), text.size());
    Line line { text.substr(0, end), false };
    text.remove_prefix(std::min(end + 1, text.size()));
    line.hasCarriageReturn = !line.text.empty() && line.text.back() == '\r';
    if (line.hasCarriageReturn)
        line.text.remove_suffix(1);
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
    case EventFault::MixedLineEnds:
        return "mixed_line_ends";
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
    std::optional<bool> hasCarriageReturns;
    bool hasData = false;
    while (!event.empty()) {
        const Line line = takeLine(event);
        const bool isComment = !line.text.empty() && line.text.front() == ':';
        if (isComment || (line.text.empty() && !hasCarriageReturns))
            continue;
        const bool isMixed = hasCarriageReturns.value_or(line.hasCarriageReturn) != line.hasCarriageReturn;
        hasCarriageReturns = line.hasCarriageReturn;
        const size_t colon = std::min(line.text.find(':'), line.text.size());
        const std::string_view name = line.text.substr(0, colon);
        if (!line.text.empty() && !isKnownField(name))
            return { std::nullopt, EventFault::UnknownField };
        if (isMixed)
            return { std::nullopt, EventFault::MixedLineEnds };
        hasData = hasData || name == dataField;
        if (name != idField)
            continue;
        if (parsed.id)
            return { std::nullopt, EventFault::RepeatedId };
        parsed.id = readId(trimmedField(line.text.substr(std::min(colon + 1, line.text.size()))));
        if (!parsed.id)
            return { std::nullopt, EventFault::UnreadableId };
    }
    const bool hasFields = hasCarriageReturns.has_value();
    if (hasFields && !parsed.id)
        return { std::nullopt, EventFault::MissingId };
    if (hasFields && !hasData)
        return { std::nullopt, EventFault::MissingData };
    return parsed;
}

} // namespace lacewing::gateway
