#pragma once

#include "transport/http_field_rules.h"

#include <string_view>

struct evbuffer;

namespace lacewing {

/// Checks the raw bytes of a request's head, or of the trailer of a chunked body. libevhtp's parser accepts
/// bare line feeds, control bytes, any version and spaces around names, and its hooks can't see them because
/// they get fields as C strings; so the check comes before the parser. It extracts nothing.
class HttpHeadCheck {
public:
    enum class Result { NeedMore, Done, Failed };
    enum class Section { Head, Trailer };

    explicit HttpHeadCheck(size_t maximumBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    /// Gets ready for another section.
    void reset(Section section);
    /// Goes on at the byte where the last call stopped. The bytes stay in the input, except for empty lines
    /// before a head.
    Result check(evbuffer* input);

    /// @return the length of the whole section, after Done.
    size_t length() const { return m_lineStart; }
    /// @return whether any byte of the section has been seen.
    bool hasStarted() const { return m_lineStart + m_scanned > 0 || m_hasFirstLine; }
    /// @return the reason, after Failed.
    HttpFault fault() const { return m_fault; }

private:
    Result fail(int status, const char* reason);
    bool acceptLine(std::string_view line);
    bool acceptRequestLine(std::string_view line);

    size_t m_maximumBytes;
    Section m_section = Section::Head;
    bool m_hasFirstLine = false;
    // Offset of the first line that is not yet complete, and bytes of it known to have no end.
    size_t m_lineStart = 0;
    size_t m_scanned = 0;
    HttpFault m_fault;
};

} // namespace lacewing
