#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewing::gateway {

/// Splits a server-sent event stream into complete events and records the id of the last one, so that an
/// interrupted stream can be resumed at another engine without losing or repeating an event.
///
/// Load pattern: an engine fails in the middle of a stream, or sends an event that never ends.
class EventRelay {
public:
    /// @return the events that the bytes complete, without events that have been returned before.
    std::string accept(std::string_view bytes);
    /// @return whether the incomplete event exceeds the maximum size of an event.
    bool exceedsSizeLimit() const { return m_pending.size() > maximumEventBytes; }
    /// @return the bytes after the last complete event.
    const std::string& remainder() const { return m_pending; }
    /// Drops an incomplete event before the stream is resumed at another engine.
    void discardPartialEvent() { m_pending.clear(); }

    /// @return id of the last complete event that had one, or nothing if none had.
    const std::optional<std::string>& lastId() const { return m_lastId; }
    bool hasEvents() const { return m_eventCount > 0; }
    /// @return number of events that were returned.
    int64_t eventCount() const { return m_eventCount; }
    /// @return number of events without an id that were returned.
    int64_t unnumberedEventCount() const { return m_unnumberedEventCount; }

private:
    static constexpr size_t maximumEventBytes = 1024 * 1024;

    bool wasForwarded(const std::string& id) const;

    std::string m_pending;
    std::optional<std::string> m_lastId;
    int64_t m_eventCount = 0;
    int64_t m_unnumberedEventCount = 0;
};

} // namespace lacewing::gateway
