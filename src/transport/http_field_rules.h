#pragma once

#include "transport/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/// Why a message is refused.
struct HttpFault {
    /// Status for the answer to a refused request. 0 if there is no fault.
    int status = 0;
    /// In snake_case.
    const char* reason = "";
};

/// What the header fields of a message say about its body and its connection.
struct HttpFraming {
    std::optional<uint64_t> contentLength;
    bool chunked = false;
    /// True if the sender can't use the connection after this message.
    bool closes = false;
    bool expectsContinue = false;
};

/// Interprets the fields strictly: whatever would let two parsers disagree about the end of the message is a
/// fault.
///
/// @param minorVersion 0 for HTTP/1.0, otherwise 1.
/// @param fault receives the reason.
/// @return nothing if there is a fault.
std::optional<HttpFraming> interpretFraming(const HttpHeaders& headers, int minorVersion, HttpFault& fault);

bool isHttpToken(std::string_view text);
/// @return true for bytes that never belong in a head, except as line ends; a tab does belong.
bool isHttpControl(char character);
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// @return text without spaces and tabs around it.
std::string_view trimmedField(std::string_view text);
/// @return text with each control byte replaced by a space, so that a value can't add lines to a head.
std::string cleanField(std::string_view text);
/// @return target with spaces and control bytes, which would end it, percent-encoded.
std::string cleanTarget(std::string_view target);

} // namespace lacewing
