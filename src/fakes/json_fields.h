#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Reads the fields of a JSON object from an untrusted body. After the first field that is missing or of the
/// wrong type, lastError() tells why; later reads return defaults.
class JsonFields {
public:
    /// @param body the text; anything but a JSON object leaves an error.
    explicit JsonFields(const std::string& body);
    /// @param value anything but an object leaves an error.
    explicit JsonFields(const nlohmann::json& value);

    bool has(const char* name) const { return m_object.is_object() && m_object.contains(name); }
    std::string requiredText(const char* name);
    std::string text(const char* name, const std::string& fallback);
    /// @return an integer in [minimum, maximum], or the fallback if the field is absent.
    int64_t integer(const char* name, int64_t fallback, int64_t minimum, int64_t maximum);
    bool flag(const char* name, bool fallback);
    /// @return the elements of a required array.
    std::vector<nlohmann::json> requiredArray(const char* name);
    std::vector<nlohmann::json> array(const char* name);

    /// @return the reason of the first failure, or nothing.
    const std::optional<std::string>& lastError() const { return m_lastError; }

private:
    const nlohmann::json* find(const char* name) const;
    void fail(const char* name, const char* expected);

    nlohmann::json m_object;
    std::optional<std::string> m_lastError;
};

/// @return the text of a value. Invalid UTF-8 is replaced.
std::string toText(const nlohmann::json& value);

/// @return {"error":{"code":..,"message":..}} as text.
std::string errorBody(const std::string& code, const std::string& message);

} // namespace lacewing
