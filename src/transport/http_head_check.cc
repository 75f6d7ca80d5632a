#include "transport/http_head_check.h"

#include <event2/buffer.h>

#include <algorithm>
#include <cstring>

namespace lacewing {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusHeadersTooLarge = 431;

/// libevhtp's parser holds a line in 8 KiB and fails on longer ones without telling what was wrong.
constexpr size_t maximumLineBytes = 8 * 1024 - 16;

bool isTargetCharacter(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return value > 0x20 && value < 0x7f && character != '#';
}

} // namespace

void HttpHeadCheck::reset(Section section)
{
    m_section = section;
    m_hasFirstLine = false;
    m_lineStart = 0;
    m_scanned = 0;
    m_fault = {};
}

HttpHeadCheck::Result HttpHeadCheck::fail(int status, const char* reason)
{
    m_fault = { status, reason };
    return Result::Failed;
}

HttpHeadCheck::Result HttpHeadCheck::check(evbuffer* input)
{
    const size_t available = evbuffer_get_length(input);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    while (m_lineStart + m_scanned < available) {
        const char* unscanned = bytes + m_lineStart + m_scanned;
        const auto* lineFeed
            = static_cast<const char*>(std::memchr(unscanned, '\n', available - m_lineStart - m_scanned));
        const size_t lineEnd = lineFeed ? static_cast<size_t>(lineFeed - bytes) + 1 : available;
        if (lineEnd > m_maximumBytes || lineEnd - m_lineStart > maximumLineBytes)
            return fail(statusHeadersTooLarge, "headers_too_large");
        if (!lineFeed) {
            m_scanned = available - m_lineStart;
            return Result::NeedMore;
        }
        std::string_view line(bytes + m_lineStart, lineEnd - m_lineStart - 1);
        m_lineStart = lineEnd;
        m_scanned = 0;
        if (line.empty() || line.back() != '\r')
            return fail(statusBadRequest, "bare_line_feed");
        line.remove_suffix(1);
        if (line.empty() && (m_hasFirstLine || m_section == Section::Trailer))
            return Result::Done;
        if (!line.empty() && !acceptLine(line))
            return Result::Failed;
        if (!line.empty())
            continue;
        // Some senders add an empty line after a body; RFC 9112 section 2.2 says to skip it.
        evbuffer_drain(input, m_lineStart);
        m_lineStart = 0;
        return check(input);
    }
    return Result::NeedMore;
}

bool HttpHeadCheck::acceptLine(std::string_view line)
{
    if (std::any_of(line.begin(), line.end(), isHttpControl)) {
        fail(statusBadRequest, "control_character_in_head");
        return false;
    }
    if (!m_hasFirstLine && m_section == Section::Head)
        return acceptRequestLine(line);
    m_hasFirstLine = true;
    const size_t colon = line.find(':');
    // A name with a space before the colon, or a line that continues the one before, is not a token.
    if (colon != std::string_view::npos && isHttpToken(line.substr(0, colon)))
        return true;
    fail(statusBadRequest, "malformed_header");
    return false;
}

bool HttpHeadCheck::acceptRequestLine(std::string_view line)
{
    m_hasFirstLine = true;
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last || !isHttpToken(line.substr(0, first))) {
        fail(statusBadRequest, "malformed_start_line");
        return false;
    }
    const std::string_view version = line.substr(last + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        const bool isVersion = version.size() == 8 && version.substr(0, 5) == "HTTP/";
        fail(statusBadRequest, isVersion ? "unsupported_version" : "malformed_start_line");
        return false;
    }
    const std::string_view target = line.substr(first + 1, last - first - 1);
    if (!std::all_of(target.begin(), target.end(), isTargetCharacter)) {
        fail(statusBadRequest, "malformed_target");
        return false;
    }
    // Only a proxy is sent an absolute form.
    if (target.empty() || target.front() != '/') {
        fail(statusBadRequest, "target_not_in_origin_form");
        return false;
    }
    return true;
}

} // namespace lacewing
