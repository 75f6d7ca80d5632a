#include "gateway/event_relay.h"

#include <algorithm>
#include <cstdlib>

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

std::optional<std::string> eventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    size_t lineStart = 0;
    while (lineStart < event.size()) {
        const size_t end = std::min(event.find('\n', lineStart), event.size());
        std::string_view line = event.substr(lineStart, end - lineStart);
        lineStart = end + 1;
        if (line.substr(0, field.size()) != field)
            continue;
        line.remove_prefix(field.size());
        while (!line.empty() && (line.front() == ' ' || line.back() == '\r' || line.back() == ' '))
            line = line.front() == ' ' ? line.substr(1) : line.substr(0, line.size() - 1);
        return std::string(line);
    }
    return std::nullopt;
}

std::optional<long long> toNumber(const std::string& text)
{
    if (text.empty() || !std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return std::nullopt;
    return std::strtoll(text.c_str(), nullptr, 10);
}

} // namespace

bool EventRelay::wasForwarded(const std::string& id) const
{
    if (!m_lastId)
        return false;
    const auto last = toNumber(*m_lastId);
    const auto number = toNumber(id);
    return last && number ? *number <= *last : id == *m_lastId;
}

std::string EventRelay::accept(std::string_view bytes)
{
    m_pending += bytes;
    std::string events;
    while (const auto length = firstEventLength(m_pending)) {
        const std::string event = m_pending.substr(0, *length);
        m_pending.erase(0, *length);
        const auto id = eventId(event);
        if (id && wasForwarded(*id))
            continue;
        if (id)
            m_lastId = id;
        else
            ++m_unnumberedEventCount;
        ++m_eventCount;
        events += event;
    }
    return events;
}

} // namespace lacewing::gateway
