#include "transport/http_format.h"

#include <strings.h>

#include <algorithm>
#include <cstdio>

namespace lacewing {

namespace {

void appendClean(std::string& head, std::string_view text)
{
    for (const char character : text) {
        const auto value = static_cast<unsigned char>(character);
        const bool isControl = (value < 0x20 && character != '\t') || value == 0x7f;
        head += isControl ? ' ' : character;
    }
}

} // namespace

void appendFields(
    std::string& head, const HttpHeaders& headers, std::initializer_list<std::string_view> except)
{
    for (const auto& [name, value] : headers) {
        const std::string& field = name;
        const bool isExcepted = std::any_of(except.begin(), except.end(), [&field](std::string_view other) {
            return other.size() == field.size() && strncasecmp(other.data(), field.data(), other.size()) == 0;
        });
        if (isExcepted)
            continue;
        appendClean(head, name);
        head += ": ";
        appendClean(head, value);
        head += "\r\n";
    }
}

void appendTarget(std::string& head, std::string_view target)
{
    for (const char character : target) {
        const auto value = static_cast<unsigned char>(character);
        if (value > 0x20 && value != 0x7f) {
            head += character;
            continue;
        }
        char encoded[4];
        std::snprintf(encoded, sizeof(encoded), "%%%02X", value);
        head += encoded;
    }
}

const char* reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Other";
    }
}

} // namespace lacewing
