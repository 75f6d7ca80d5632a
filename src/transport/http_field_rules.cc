#include "transport/http_field_rules.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace lacewing {

namespace {

constexpr int statusBadRequest = 400;

bool isTokenCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0
        || (character != 0 && std::strchr("!#$%&'*+-.^_`|~", character) != nullptr);
}

bool listContains(std::string_view list, std::string_view item)
{
    while (!list.empty()) {
        const size_t comma = std::min(list.find(','), list.size());
        if (equalsIgnoringCase(trimmedField(list.substr(0, comma)), item))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

HttpFault interpretLength(const HttpHeaders& headers, HttpFraming& framing)
{
    for (const auto& [name, value] : headers) {
        if (!equalsIgnoringCase(name, "Content-Length"))
            continue;
        uint64_t length = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
        if (value.empty() || error != std::errc() || end != value.data() + value.size())
            return { statusBadRequest, "malformed_content_length" };
        if (framing.contentLength && *framing.contentLength != length)
            return { statusBadRequest, "conflicting_content_length" };
        framing.contentLength = length;
    }
    return {};
}

HttpFault interpretTransferEncoding(const HttpHeaders& headers, int minorVersion, HttpFraming& framing)
{
    const size_t count = headers.count("Transfer-Encoding");
    if (count == 0)
        return {};
    if (framing.contentLength)
        return { statusBadRequest, "content_length_with_transfer_encoding" };
    if (minorVersion == 0)
        return { statusBadRequest, "transfer_encoding_in_http_1_0" };
    if (count > 1 || !equalsIgnoringCase(*headers.find("Transfer-Encoding"), "chunked"))
        return { statusBadRequest, "unsupported_transfer_encoding" };
    framing.chunked = true;
    return {};
}

} // namespace

bool isHttpToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isHttpControl(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return (value < 0x20 && character != '\t') || value == 0x7f;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view trimmedField(std::string_view text)
{
    const size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string cleanField(std::string_view text)
{
    std::string result(text);
    std::replace_if(result.begin(), result.end(), isHttpControl, ' ');
    return result;
}

std::string cleanTarget(std::string_view target)
{
    std::string result;
    for (const char character : target) {
        if (character != ' ' && character != '\t' && !isHttpControl(character)) {
            result += character;
            continue;
        }
        char encoded[4];
        std::snprintf(encoded, sizeof(encoded), "%%%02X", static_cast<unsigned char>(character));
        result += encoded;
    }
    return result;
}

std::optional<HttpFraming> interpretFraming(const HttpHeaders& headers, int minorVersion, HttpFault& fault)
{
    HttpFraming framing;
    fault = interpretLength(headers, framing);
    if (fault.status == 0)
        fault = interpretTransferEncoding(headers, minorVersion, framing);
    if (fault.status != 0)
        return std::nullopt;
    framing.closes = minorVersion == 0;
    for (const auto& [name, value] : headers) {
        if (equalsIgnoringCase(name, "Connection") && listContains(value, "close"))
            framing.closes = true;
        if (equalsIgnoringCase(name, "Expect") && equalsIgnoringCase(value, "100-continue"))
            framing.expectsContinue = minorVersion > 0;
    }
    return framing;
}

} // namespace lacewing
