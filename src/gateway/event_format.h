#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::gateway {

/// Why a part of a stream that ends with an empty line is not an event.
enum class EventFault {
    /// A line has no field name that an event may have.
    UnknownField,
    MissingId,
    RepeatedId,
    /// The id is not a decimal number, so its place in the stream is unknown.
    UnreadableId,
    MissingData,
    /// Some lines end with a line feed alone and some with a carriage return before it, which no sender of
    /// events does.
    MixedLineEnds,
};

/// @return the fault's name in snake_case, for logs.
const char* toString(EventFault fault);

/// Id of an event. Ids increase within a stream.
struct EventId {
    uint64_t number = 0;
    /// The id as the upstream wrote it.
    std::string text;
};

/// What was found in an event.
struct ParsedEvent {
    /// Empty in text that consists of comments.
    std::optional<EventId> id;
    std::optional<EventFault> fault;
};

/// Tells the events of an upstream's stream from other text.
///
/// Load pattern: an engine that fails in the middle of a stream writes an error message, or the head of
/// another response, into the body of the response. If only the end of the connection ends that body, nothing
/// but the text itself shows that it is no event.
class EventFormat {
public:
    /// @param extraFields names of the fields that events may have beside those of server-sent events.
    explicit EventFormat(std::vector<std::string> extraFields = {});

    /// @param event the lines of an event, with the empty line at its end and any comments before it.
    ParsedEvent parse(std::string_view event) const;

private:
    bool isKnownField(std::string_view name) const;

    std::vector<std::string> m_fields;
};

} // namespace lacewing::gateway
