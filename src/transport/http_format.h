#pragma once

#include "transport/http_message.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace lacewing {

/// Appends the fields to a head, except those that the transport sets by itself. Control characters in
/// names and values become spaces, so that a value cannot add a field or end the head.
void appendFields(
    std::string& head, const HttpHeaders& headers, std::initializer_list<std::string_view> except);

/// Appends a target. Spaces and control characters, which would end it, are percent-encoded.
void appendTarget(std::string& head, std::string_view target);

/// @return the reason phrase of a status.
const char* reasonPhrase(int status);

} // namespace lacewing
