#include "transport/http_message.h"

#include <arpa/inet.h>
#include <strings.h>

#include <algorithm>
#include <charconv>

namespace lacewing {

namespace {

bool namesEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isIpNumber(int family, const std::string& text)
{
    in6_addr address {};
    return inet_pton(family, text.c_str(), &address) == 1;
}

} // namespace

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const Field& field : m_fields) {
        if (namesEqual(field.first, name))
            return field.second;
    }
    return std::nullopt;
}

size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<size_t>(std::count_if(m_fields.begin(), m_fields.end(),
        [name](const Field& field) { return namesEqual(field.first, name); }));
}

std::vector<std::string> HttpHeaders::values(std::string_view name) const
{
    std::vector<std::string> result;
    for (const auto& [fieldName, value] : m_fields) {
        if (namesEqual(fieldName, name))
            result.push_back(value);
    }
    return result;
}

bool HttpHeaders::hasOnly(std::string_view name, std::string_view value) const
{
    const std::vector<std::string> all = values(name);
    return !all.empty()
        && std::all_of(all.begin(), all.end(), [value](const std::string& each) { return each == value; });
}

std::optional<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view ip = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    SocketAddress address;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    int family = AF_INET;
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
        family = AF_INET6;
    }
    address.ip = std::string(ip);
    if (!isIpNumber(family, address.ip))
        return std::nullopt;
    return address;
}

std::string SocketAddress::text() const
{
    const bool isV6 = ip.find(':') != std::string::npos;
    return (isV6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

} // namespace lacewing
