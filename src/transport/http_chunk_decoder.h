#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

struct evbuffer;

namespace lacewing {

/// Strict incremental decoder of one chunked body (RFC 9112 section 7.1). Extensions and trailer fields are
/// checked and dropped.
///
/// The decoder in libevhtp's parser is not used: it takes the size 10000000000000005 for 5, ends a message
/// too early after trailer fields, and rejects extensions.
class HttpChunkDecoder {
public:
    enum class Result { NeedMore, Done, Malformed, TooLarge };

    /// @param maximumFramingBytes limit of the bytes between two pieces of the body, and of the trailer.
    explicit HttpChunkDecoder(size_t maximumFramingBytes)
        : m_maximumFramingBytes(maximumFramingBytes)
    {
    }

    void reset();
    /// Removes bytes from the input, up to the end of the body.
    ///
    /// @param body decoded bytes are appended to it.
    Result decode(evbuffer* input, std::string& body);

private:
    enum class Phase { Size, Data, DataEnd, Trailer, Done };

    Result step(std::string_view& input, std::string& body);
    Result takeData(std::string_view& input, std::string& body);
    Result takeDataEnd(std::string_view& input);
    Result takeLine(std::string_view& input);
    Result acceptSize(std::string_view line);

    size_t m_maximumFramingBytes;
    Phase m_phase = Phase::Size;
    uint64_t m_remaining = 0;
    size_t m_framingBytes = 0;
};

} // namespace lacewing
