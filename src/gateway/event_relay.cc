#include "gateway/event_relay.h"

namespace lacewing::gateway {

namespace {

/// @return the end of the first part of the text that ends with an empty line, behind that line, or nothing.
std::optional<size_t> firstPartEnd(std::string_view text, size_t begin)
{
    size_t lineStart = begin;
    for (size_t end = text.find('\n', begin); end != std::string_view::npos;
         end = text.find('\n', lineStart)) {
        const bool isEmpty = end == lineStart || (end == lineStart + 1 && text[lineStart] == '\r');
        if (isEmpty && lineStart > begin)
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

bool EventRelay::endsInsideEvent() const
{
    const ParsedEvent rest = m_format.parse(m_pending);
    return m_fault || rest.fault || rest.id;
}

bool EventRelay::endsWithEmptyLine() const
{
    if (m_pending.empty())
        return true;
    if (m_pending.back() != '\n')
        return false;
    std::string_view text = std::string_view(m_pending).substr(0, m_pending.size() - 1);
    if (!text.empty() && text.back() == '\r')
        text.remove_suffix(1);
    return text.empty() || text.back() == '\n';
}

std::string EventRelay::accept(std::string_view bytes)
{
    std::string events;
    if (m_fault)
        return events;
    m_pending += bytes;
    size_t begin = 0;
    // Comments go with the event that follows them.
    for (auto end = firstPartEnd(m_pending, begin); end; end = firstPartEnd(m_pending, begin)) {
        const std::string part = m_pending.substr(0, *end);
        const ParsedEvent parsed = m_format.parse(part);
        if (parsed.fault) {
            m_fault = parsed.fault;
            m_pending.clear();
            break;
        }
        begin = parsed.id ? 0 : *end;
        if (!parsed.id)
            continue;
        m_pending.erase(0, *end);
        m_hasResponseEvents = true;
        if (m_lastId && parsed.id->number <= m_lastId->number)
            continue;
        m_lastId = parsed.id;
        ++m_eventCount;
        events += part;
    }
    return events;
}

} // namespace lacewing::gateway
