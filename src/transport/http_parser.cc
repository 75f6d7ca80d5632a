#include "transport/http_parser.h"

#include <event2/buffer.h>
#include <strings.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstring>

namespace lacewing {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusHeadersTooLarge = 431;

bool isTokenCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0
        || (character != 0 && std::strchr("!#$%&'*+-.^_`|~", character) != nullptr);
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isControlCharacter(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return value < 0x20 || value == 0x7f;
}

std::string_view trim(std::string_view text)
{
    const size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool listContains(std::string_view list, std::string_view item)
{
    while (!list.empty()) {
        const size_t comma = std::min(list.find(','), list.size());
        if (equalsIgnoringCase(trim(list.substr(0, comma)), item))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

HttpParser::HttpParser(Kind kind, size_t maximumHeaderBytes)
    : m_kind(kind)
    , m_maximumHeaderBytes(maximumHeaderBytes)
    , m_chunkDecoder(maximumHeaderBytes)
{
}

void HttpParser::reset()
{
    m_phase = Phase::Head;
    m_head = HttpHead();
    m_noBody = false;
    m_hasStartLine = false;
    m_lineStart = 0;
    m_scanned = 0;
    m_chunkDecoder.reset();
}

HttpParser::Result HttpParser::fail(int status, const char* reason)
{
    m_phase = Phase::Failed;
    m_fault = { status, reason };
    return Result::Failed;
}

HttpParser::Result HttpParser::parse(evbuffer* input, std::string& body)
{
    switch (m_phase) {
    case Phase::Head:
        return parseHead(input);
    case Phase::Length:
        return parseLength(input, body);
    case Phase::Chunked:
        return parseChunked(input, body);
    case Phase::UntilClose: {
        const size_t length = evbuffer_get_length(input);
        const size_t before = body.size();
        body.resize(before + length);
        evbuffer_remove(input, body.data() + before, length);
        return Result::NeedMore;
    }
    case Phase::Done:
        return Result::MessageDone;
    case Phase::Failed:
        break;
    }
    return Result::Failed;
}

HttpParser::Result HttpParser::finishInput()
{
    if (m_phase == Phase::Done || m_phase == Phase::UntilClose)
        return Result::MessageDone;
    return fail(statusBadRequest, "message_incomplete");
}

HttpParser::Result HttpParser::parseHead(evbuffer* input)
{
    const size_t available = evbuffer_get_length(input);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    while (m_lineStart + m_scanned < available) {
        const char* unscanned = bytes + m_lineStart + m_scanned;
        const auto* lineFeed
            = static_cast<const char*>(std::memchr(unscanned, '\n', available - m_lineStart - m_scanned));
        const size_t lineEnd = lineFeed ? static_cast<size_t>(lineFeed - bytes) + 1 : available;
        if (lineEnd > m_maximumHeaderBytes)
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
        if (line.empty() && m_hasStartLine) {
            evbuffer_drain(input, m_lineStart);
            return finishHead();
        }
        if (!acceptLine(line))
            return Result::Failed;
    }
    return Result::NeedMore;
}

bool HttpParser::acceptLine(std::string_view line)
{
    // Senders of earlier days add an empty line after a body; RFC 9112 section 2.2 says to skip it.
    if (line.empty())
        return true;
    const bool hasControl
        = std::any_of(line.begin(), line.end(), [](char c) { return isControlCharacter(c) && c != '\t'; });
    if (hasControl) {
        fail(statusBadRequest, "control_character_in_head");
        return false;
    }
    if (m_hasStartLine)
        return acceptField(line);
    m_hasStartLine = true;
    return m_kind == Kind::Request ? acceptRequestLine(line) : acceptStatusLine(line);
}

bool HttpParser::acceptVersion(std::string_view version)
{
    if (version == "HTTP/1.1" || version == "HTTP/1.0") {
        m_head.minorVersion = version.back() - '0';
        return true;
    }
    if (version.size() == 8 && version.substr(0, 5) == "HTTP/")
        fail(statusBadRequest, "unsupported_version");
    else
        fail(statusBadRequest, "malformed_start_line");
    return false;
}

bool HttpParser::acceptRequestLine(std::string_view line)
{
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last || !isToken(line.substr(0, first))) {
        fail(statusBadRequest, "malformed_start_line");
        return false;
    }
    m_head.method = std::string(line.substr(0, first));
    return acceptVersion(line.substr(last + 1)) && acceptTarget(line.substr(first + 1, last - first - 1));
}

bool HttpParser::acceptTarget(std::string_view target)
{
    const bool isVisible = std::all_of(target.begin(), target.end(), [](char character) {
        const auto value = static_cast<unsigned char>(character);
        return value > 0x20 && value < 0x7f && character != '#';
    });
    if (!isVisible) {
        fail(statusBadRequest, "malformed_target");
        return false;
    }
    // Only a proxy is sent an absolute form.
    if (target.empty() || target.front() != '/') {
        fail(statusBadRequest, "target_not_in_origin_form");
        return false;
    }
    const size_t question = std::min(target.find('?'), target.size());
    m_head.path = std::string(target.substr(0, question));
    if (question < target.size())
        m_head.query = std::string(target.substr(question + 1));
    return true;
}

bool HttpParser::acceptStatusLine(std::string_view line)
{
    constexpr size_t versionLength = 8;
    constexpr size_t codeEnd = 12;
    if (line.size() < codeEnd || line[versionLength] != ' '
        || (line.size() > codeEnd && line[codeEnd] != ' ')) {
        fail(statusBadRequest, "malformed_start_line");
        return false;
    }
    const char* code = line.data() + versionLength + 1;
    const auto [end, error] = std::from_chars(code, line.data() + codeEnd, m_head.status);
    if (error != std::errc() || end != line.data() + codeEnd || m_head.status < 100) {
        fail(statusBadRequest, "malformed_start_line");
        return false;
    }
    return acceptVersion(line.substr(0, versionLength));
}

bool HttpParser::acceptField(std::string_view line)
{
    const size_t colon = line.find(':');
    // A name with a space before the colon, or a line that continues the one before, is not a token.
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        fail(statusBadRequest, "malformed_header");
        return false;
    }
    m_head.headers.add(std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1))));
    return true;
}

bool HttpParser::interpretLength()
{
    for (const auto& [name, value] : m_head.headers) {
        if (!equalsIgnoringCase(name, "Content-Length"))
            continue;
        uint64_t length = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
        if (value.empty() || error != std::errc() || end != value.data() + value.size()) {
            fail(statusBadRequest, "malformed_content_length");
            return false;
        }
        if (m_head.contentLength && *m_head.contentLength != length) {
            fail(statusBadRequest, "conflicting_content_length");
            return false;
        }
        m_head.contentLength = length;
    }
    return true;
}

bool HttpParser::interpretTransferEncoding()
{
    const size_t count = m_head.headers.count("Transfer-Encoding");
    if (count == 0)
        return true;
    if (m_head.contentLength) {
        fail(statusBadRequest, "content_length_with_transfer_encoding");
        return false;
    }
    if (m_head.minorVersion == 0) {
        fail(statusBadRequest, "transfer_encoding_in_http_1_0");
        return false;
    }
    if (count > 1 || !equalsIgnoringCase(*m_head.headers.find("Transfer-Encoding"), "chunked")) {
        fail(statusBadRequest, "unsupported_transfer_encoding");
        return false;
    }
    m_head.chunked = true;
    return true;
}

bool HttpParser::interpretFields()
{
    if (!interpretLength() || !interpretTransferEncoding())
        return false;
    m_head.closes = m_head.minorVersion == 0;
    for (const auto& [name, value] : m_head.headers) {
        if (equalsIgnoringCase(name, "Connection") && listContains(value, "close"))
            m_head.closes = true;
        if (equalsIgnoringCase(name, "Expect") && equalsIgnoringCase(value, "100-continue"))
            m_head.expectsContinue = m_head.minorVersion > 0;
    }
    const size_t hosts = m_head.headers.count("Host");
    if (m_kind == Kind::Request && (hosts > 1 || (hosts == 0 && m_head.minorVersion > 0))) {
        fail(statusBadRequest, "host_not_given_once");
        return false;
    }
    return true;
}

HttpParser::Phase HttpParser::bodyPhase() const
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    const bool isBodiless = m_kind == Kind::Answer
        && (m_noBody || m_head.status < 200 || m_head.status == noContent || m_head.status == notModified);
    if (isBodiless)
        return Phase::Done;
    if (m_head.chunked)
        return Phase::Chunked;
    if (m_head.contentLength)
        return *m_head.contentLength > 0 ? Phase::Length : Phase::Done;
    return m_kind == Kind::Answer ? Phase::UntilClose : Phase::Done;
}

HttpParser::Result HttpParser::finishHead()
{
    if (!interpretFields())
        return Result::Failed;
    m_phase = bodyPhase();
    m_remaining = m_head.contentLength.value_or(0);
    if (m_phase == Phase::UntilClose)
        m_head.closes = true;
    return Result::HeadDone;
}

HttpParser::Result HttpParser::parseLength(evbuffer* input, std::string& body)
{
    const size_t length = std::min<uint64_t>(m_remaining, evbuffer_get_length(input));
    const size_t before = body.size();
    body.resize(before + length);
    evbuffer_remove(input, body.data() + before, length);
    m_remaining -= length;
    if (m_remaining > 0)
        return Result::NeedMore;
    m_phase = Phase::Done;
    return Result::MessageDone;
}

HttpParser::Result HttpParser::parseChunked(evbuffer* input, std::string& body)
{
    switch (m_chunkDecoder.decode(input, body)) {
    case HttpChunkDecoder::Result::NeedMore:
        return Result::NeedMore;
    case HttpChunkDecoder::Result::Done:
        m_phase = Phase::Done;
        return Result::MessageDone;
    case HttpChunkDecoder::Result::TooLarge:
        return fail(statusHeadersTooLarge, "chunk_framing_too_large");
    case HttpChunkDecoder::Result::Malformed:
        break;
    }
    return fail(statusBadRequest, "malformed_chunk");
}

} // namespace lacewing
