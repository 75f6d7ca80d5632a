#include "transport/http_chunk_decoder.h"

#include <event2/buffer.h>

#include <algorithm>
#include <charconv>

namespace lacewing {

namespace {

bool isTextCharacter(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return (value >= 0x20 || character == '\t') && value != 0x7f;
}

} // namespace

void HttpChunkDecoder::reset()
{
    m_phase = Phase::Size;
    m_remaining = 0;
    m_framingBytes = 0;
}

HttpChunkDecoder::Result HttpChunkDecoder::decode(evbuffer* input, std::string& body)
{
    const size_t available = evbuffer_get_length(input);
    std::string_view rest(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), available);
    Result result = Result::NeedMore;
    size_t before = 0;
    // A step that takes no bytes cannot go on without more input.
    do {
        before = rest.size();
        result = step(rest, body);
    } while (result == Result::NeedMore && rest.size() < before);
    evbuffer_drain(input, available - rest.size());
    return result;
}

HttpChunkDecoder::Result HttpChunkDecoder::step(std::string_view& input, std::string& body)
{
    switch (m_phase) {
    case Phase::Data:
        return takeData(input, body);
    case Phase::DataEnd:
        return takeDataEnd(input);
    case Phase::Size:
    case Phase::Trailer:
        return takeLine(input);
    case Phase::Done:
        break;
    }
    return Result::Done;
}

HttpChunkDecoder::Result HttpChunkDecoder::takeData(std::string_view& input, std::string& body)
{
    const size_t length = std::min<uint64_t>(m_remaining, input.size());
    body.append(input.data(), length);
    input.remove_prefix(length);
    m_remaining -= length;
    m_framingBytes = 0;
    if (m_remaining == 0)
        m_phase = Phase::DataEnd;
    return Result::NeedMore;
}

HttpChunkDecoder::Result HttpChunkDecoder::takeDataEnd(std::string_view& input)
{
    constexpr std::string_view lineEnd = "\r\n";
    const std::string_view found = input.substr(0, lineEnd.size());
    if (found != lineEnd.substr(0, found.size()))
        return Result::Malformed;
    if (found.size() < lineEnd.size())
        return Result::NeedMore;
    input.remove_prefix(lineEnd.size());
    m_phase = Phase::Size;
    return Result::NeedMore;
}

HttpChunkDecoder::Result HttpChunkDecoder::takeLine(std::string_view& input)
{
    const size_t lineFeed = input.find('\n');
    const size_t length = std::min(lineFeed, input.size());
    if (m_framingBytes + length > m_maximumFramingBytes)
        return Result::TooLarge;
    if (lineFeed == std::string_view::npos)
        return Result::NeedMore;
    std::string_view line = input.substr(0, lineFeed);
    input.remove_prefix(lineFeed + 1);
    m_framingBytes += lineFeed + 1;
    if (line.empty() || line.back() != '\r')
        return Result::Malformed;
    line.remove_suffix(1);
    if (!std::all_of(line.begin(), line.end(), isTextCharacter))
        return Result::Malformed;
    if (m_phase == Phase::Size)
        return acceptSize(line);
    if (!line.empty())
        return line.find(':') == std::string_view::npos ? Result::Malformed : Result::NeedMore;
    m_phase = Phase::Done;
    return Result::Done;
}

HttpChunkDecoder::Result HttpChunkDecoder::acceptSize(std::string_view line)
{
    constexpr int hexadecimal = 16;
    const char* lineEnd = line.data() + line.size();
    // Unlike strtoul, from_chars takes no sign, space or 0x, and reports an overflow.
    const auto [end, error] = std::from_chars(line.data(), lineEnd, m_remaining, hexadecimal);
    if (error != std::errc())
        return Result::Malformed;
    std::string_view extension(end, static_cast<size_t>(lineEnd - end));
    extension.remove_prefix(std::min(extension.find_first_not_of(" \t"), extension.size()));
    if (end != lineEnd && (extension.empty() || extension.front() != ';'))
        return Result::Malformed;
    m_phase = m_remaining > 0 ? Phase::Data : Phase::Trailer;
    return Result::NeedMore;
}

} // namespace lacewing
