#pragma once

#include "gateway/event_format.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewing::gateway {

/// Splits a server-sent event stream into complete events and records the id of the last one, so that an
/// interrupted stream can be resumed at another engine without losing or repeating an event.
///
/// Load pattern: an engine fails in the middle of a stream, sends an event that never ends, or goes on with
/// text that is no event.
class EventRelay {
public:
    /// @param format must outlive the relay.
    explicit EventRelay(const EventFormat& format)
        : m_format(format)
    {
    }

    /// Starts with the response of another engine: drops an incomplete event and what followed the last one.
    void beginResponse();
    /// @return the events that the bytes complete, with the comments before them, without events that have
    /// been returned before. Nothing is returned after text that is no event.
    std::string accept(std::string_view bytes);
    /// @return what is wrong with the text after the last event of this response, or nothing.
    std::optional<EventFault> fault() const { return m_fault; }
    /// @return whether the bytes that have arrived do not end with an event; line ends and comments may
    /// follow.
    bool endsInsideEvent() const;
    /// @return whether nothing follows the empty line after the last event, or only comments and empty lines
    /// that end with an empty line, too.
    bool endsWithEmptyLine() const;
    /// @return whether the incomplete event exceeds the maximum size of an event.
    bool exceedsSizeLimit() const { return m_pending.size() > maximumEventBytes; }
    /// @return the bytes after the last event; empty after a fault.
    const std::string& remainder() const { return m_pending; }

    /// @return whether this response has had an event, returned or not.
    bool hasResponseEvents() const { return m_hasResponseEvents; }
    /// @return id of the last event that was returned, or nothing if none was.
    const std::optional<EventId>& lastId() const { return m_lastId; }
    bool hasEvents() const { return m_eventCount > 0; }
    /// @return number of events that were returned.
    int64_t eventCount() const { return m_eventCount; }

private:
    static constexpr size_t maximumEventBytes = 1024 * 1024;

    const EventFormat& m_format;
    std::string m_pending;
    std::optional<EventFault> m_fault;
    bool m_hasResponseEvents = false;
    std::optional<EventId> m_lastId;
    int64_t m_eventCount = 0;
};

} // namespace lacewing::gateway
