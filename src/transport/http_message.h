#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing {

/// Header fields in order. Names compare without case.
class HttpHeaders {
public:
    using Field = std::pair<std::string, std::string>;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<Field> fields)
        : m_fields(fields)
    {
    }

    void add(std::string name, std::string value)
    {
        m_fields.emplace_back(std::move(name), std::move(value));
    }
    /// @return the first value of a field, or nothing.
    std::optional<std::string> find(std::string_view name) const;
    /// @return how many fields have this name.
    size_t count(std::string_view name) const;
    /// @return the values of all fields with this name, in order.
    std::vector<std::string> values(std::string_view name) const;
    /// @return whether there are fields with this name, and all of them have this value.
    bool hasOnly(std::string_view name, std::string_view value) const;

    std::vector<Field>::const_iterator begin() const { return m_fields.begin(); }
    std::vector<Field>::const_iterator end() const { return m_fields.end(); }

private:
    std::vector<Field> m_fields;
};

/// IP number and port of a server.
struct SocketAddress {
    std::string ip;
    uint16_t port = 0;

    /// @param text "127.0.0.1:80" or "[::1]:80".
    /// @return nothing if the text is not an IP number with a port.
    static std::optional<SocketAddress> parse(std::string_view text);
    /// @return the address in the form that parse() takes.
    std::string text() const;

    friend bool operator==(const SocketAddress& a, const SocketAddress& b)
    {
        return a.ip == b.ip && a.port == b.port;
    }
    friend bool operator<(const SocketAddress& a, const SocketAddress& b)
    {
        return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
    }
};

} // namespace lacewing
