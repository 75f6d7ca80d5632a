#include "gateway/event_relay.h"

namespace lacewing::gateway {

namespace {

/// @return the length of the first complete event including its terminating empty line, or nothing.
std::optional<size_t> firstEventLength(std::string_view text)
{
    size_t lineStart = 0;
    for (size_t end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', lineStart)) {
        const bool isEmpty = end == lineStart || (end == lineStart + 1 && text[lineStart] == '\r');
        if (isEmpty && lineStart > 0)
            return end + 1;
        lineStart = end + 1;
    }
    return std::nullopt;
}

} // namespace

void EventRelay::beginResponse()
{
    m_pending.clear();
    m_fault.reset();
    m_hasResponseEvents = false;
}

std::string EventRelay::accept(std::string_view bytes)
{
    std::string events;
    if (m_fault)
        return events;
    m_pending += bytes;
    while (const auto length = firstEventLength(m_pending)) {
        const std::string event = m_pending.substr(0, *length);
        const ParsedEvent parsed = m_format.parse(event);
        if (parsed.fault) {
            m_fault = parsed.fault;
            m_pending.clear();
            break;
        }
        m_pending.erase(0, *length);
        m_hasResponseEvents = true;
        if (parsed.id && m_lastId && parsed.id->number <= m_lastId->number)
            continue;
        if (parsed.id)
            m_lastId = parsed.id;
        ++m_eventCount;
        events += event;
    }
    return events;
}

} // namespace lacewing::gateway
