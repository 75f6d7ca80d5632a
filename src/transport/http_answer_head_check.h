#pragma once

#include <cstddef>
#include <string_view>

namespace lacewing {

/// Checks the raw bytes of an answer's head before evhttp sees them. evhttp takes any number that strtol and
/// sscanf take for a status or a version, and loses what follows a NUL, which may be a part of a length. It
/// extracts nothing; names and the rest of the values are checked after evhttp.
///
/// Load pattern: an upstream in trouble may send anything, in pieces of any length. Each byte is seen once,
/// and nothing is kept.
class HttpAnswerHeadCheck {
public:
    enum class Result { NeedMore, Done, Failed };

    /// Goes on at the byte after those of the last call. Must not be called after Failed.
    ///
    /// @return Done at the end of the head; bytes after it are left.
    Result check(std::string_view bytes);

    /// @return how many of the last call's bytes came before the fault, or before the end of the head.
    size_t acceptedBytes() const { return m_acceptedBytes; }

private:
    bool acceptByte(char byte);
    bool acceptStatusByte(char byte);

    size_t m_acceptedBytes = 0;
    /// Bytes of the line so far, without its end.
    size_t m_lineBytes = 0;
    bool m_isFirstLine = true;
    bool m_isAfterReturn = false;
    bool m_isDone = false;
};

} // namespace lacewing
