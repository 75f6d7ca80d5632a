#pragma once

#include "transport/http_field_rules.h"

#include <cstdint>
#include <string_view>

namespace lacewing {

/// Checks the framing of a chunked body (RFC 9112 section 7.1) before a library's parser sees it: sizes of 1
/// to 16 hexadecimal digits without sign, prefix or extension, line ends of CR LF, and data as long as its
/// size. It extracts nothing, and ends before the trailer.
///
/// Load pattern: bodies come from callers and upstreams that may be hostile, in pieces of any length. Each
/// byte of framing is seen once and data is skipped, so the cost doesn't depend on how the body was cut.
class HttpChunkCheck {
public:
    enum class Result { NeedMore, Done, Failed };

    /// Gets ready for another body.
    ///
    /// @param maximumBodyBytes largest sum of the sizes that is accepted.
    void reset(uint64_t maximumBodyBytes);
    /// Goes on at the byte after those of the last call. Must not be called after Failed.
    ///
    /// @return Done at the end of the last chunk's size line; bytes after it are left.
    Result check(std::string_view bytes);

    /// @return whether the last chunk has been seen.
    bool isDone() const { return m_state == State::Done; }
    /// @return whether fields follow the last chunk.
    bool hasTrailer() const { return m_hasTrailer; }
    /// @return how many bytes of the last call came before the fault, or before the end of the last chunk.
    size_t acceptedBytes() const { return m_acceptedBytes; }
    /// @return the reason, after Failed.
    HttpFault fault() const { return m_fault; }

private:
    /// What the next byte belongs to.
    enum class State { Size, SizeLineFeed, Data, DataReturn, DataLineFeed, Done };

    /// @param bytes after the last chunk.
    void readTrailerStart(std::string_view bytes);
    bool acceptByte(char byte);
    bool acceptSizeByte(char byte);
    bool acceptSizeEnd();
    bool expect(char expected, char byte, State next);
    bool fail(int status, const char* reason);

    State m_state = State::Size;
    int m_digits = 0;
    /// Size of the chunk, or what is left of it while its data is read.
    uint64_t m_size = 0;
    uint64_t m_bodyBytesLeft = 0;
    size_t m_acceptedBytes = 0;
    /// Whether a byte after the last chunk has been seen.
    bool m_hasSeenTrailerStart = false;
    bool m_hasTrailer = false;
    HttpFault m_fault;
};

} // namespace lacewing
