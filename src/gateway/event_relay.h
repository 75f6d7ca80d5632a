#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewing::gateway {

/// Cuts an event stream into whole events, and remembers the id of the last one, so that a stream that breaks
/// off can go on elsewhere without a missing or repeated event.
class EventRelay {
public:
    /// @return the whole events that the bytes complete, without those that were passed on before.
    std::string accept(std::string_view bytes);
    /// @return whether an event has grown beyond any size that is one, so that its end will not come.
    bool exceedsSizeLimit() const { return m_pending.size() > maximumEventBytes; }
    /// @return what is left after the last whole event.
    const std::string& remainder() const { return m_pending; }
    /// Forgets an event that was cut off, before the stream goes on elsewhere.
    void discardPartialEvent() { m_pending.clear(); }

    /// @return id of the last whole event, or nothing before one with an id.
    const std::optional<std::string>& lastId() const { return m_lastId; }
    bool hasEvents() const { return m_hasEvents; }

private:
    static constexpr size_t maximumEventBytes = 1024 * 1024;

    bool wasForwarded(const std::string& id) const;

    std::string m_pending;
    std::optional<std::string> m_lastId;
    bool m_hasEvents = false;
};

} // namespace lacewing::gateway
