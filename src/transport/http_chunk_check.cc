#include "transport/http_chunk_check.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lacewing {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
/// A longer size doesn't fit into 64 bits. Also bounds leading zeros.
constexpr int maximumSizeDigits = 16;
constexpr unsigned bitsPerDigit = 4;

/// Compares with ASCII characters only, so the result doesn't depend on the signedness of char.
std::optional<unsigned> hexadecimalDigit(char character)
{
    constexpr unsigned firstLetterValue = 10;
    if (character >= '0' && character <= '9')
        return static_cast<unsigned>(character - '0');
    if (character >= 'a' && character <= 'f')
        return static_cast<unsigned>(character - 'a') + firstLetterValue;
    if (character >= 'A' && character <= 'F')
        return static_cast<unsigned>(character - 'A') + firstLetterValue;
    return std::nullopt;
}

} // namespace

void HttpChunkCheck::reset(uint64_t maximumBodyBytes)
{
    *this = HttpChunkCheck();
    m_bodyBytesLeft = maximumBodyBytes;
}

HttpChunkCheck::Result HttpChunkCheck::check(std::string_view bytes)
{
    m_acceptedBytes = 0;
    while (m_acceptedBytes < bytes.size() && m_state != State::Done) {
        if (m_state != State::Data) {
            if (!acceptByte(bytes[m_acceptedBytes]))
                return Result::Failed;
            ++m_acceptedBytes;
            continue;
        }
        const auto skipped = static_cast<size_t>(std::min<uint64_t>(m_size, bytes.size() - m_acceptedBytes));
        m_acceptedBytes += skipped;
        m_size -= skipped;
        if (m_size == 0)
            m_state = State::DataReturn;
    }
    if (m_state != State::Done)
        return Result::NeedMore;
    readTrailerStart(bytes.substr(m_acceptedBytes));
    return Result::Done;
}

void HttpChunkCheck::readTrailerStart(std::string_view bytes)
{
    if (bytes.empty() || std::exchange(m_hasSeenTrailerStart, true))
        return;
    // An empty line ends a body without a trailer.
    m_hasTrailer = bytes.front() != '\r' && bytes.front() != '\n';
}

bool HttpChunkCheck::acceptByte(char byte)
{
    switch (m_state) {
    case State::Size:
        return acceptSizeByte(byte);
    case State::SizeLineFeed:
        return expect('\n', byte, State::Data) && acceptSizeEnd();
    case State::DataReturn:
        return expect('\r', byte, State::DataLineFeed);
    case State::DataLineFeed:
        return expect('\n', byte, State::Size);
    case State::Data:
    case State::Done:
        break;
    }
    return true;
}

bool HttpChunkCheck::acceptSizeByte(char byte)
{
    if (m_digits > 0 && byte == '\r') {
        m_state = State::SizeLineFeed;
        return true;
    }
    const auto digit = hexadecimalDigit(byte);
    if (!digit || m_digits == maximumSizeDigits)
        return fail(statusBadRequest, "malformed_chunk");
    ++m_digits;
    m_size = (m_size << bitsPerDigit) | *digit;
    return true;
}

bool HttpChunkCheck::acceptSizeEnd()
{
    if (m_size > m_bodyBytesLeft)
        return fail(statusTooLarge, "body_too_large");
    m_bodyBytesLeft -= m_size;
    if (m_size == 0)
        m_state = State::Done;
    m_digits = 0;
    return true;
}

bool HttpChunkCheck::expect(char expected, char byte, State next)
{
    if (byte != expected)
        return fail(statusBadRequest, "malformed_chunk");
    m_state = next;
    return true;
}

bool HttpChunkCheck::fail(int status, const char* reason)
{
    m_fault = { status, reason };
    return false;
}

} // namespace lacewing
