#include "fakes/json_fields.h"

namespace lacewing {

using nlohmann::json;

JsonFields::JsonFields(const std::string& body)
    : JsonFields(json::parse(body, nullptr, false))
{
}

JsonFields::JsonFields(const json& value)
    : m_object(value)
{
    if (!m_object.is_object())
        m_lastError = "a JSON object is expected";
}

const json* JsonFields::find(const char* name) const
{
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(name);
    return found == m_object.end() ? nullptr : &*found;
}

void JsonFields::fail(const char* name, const char* expected)
{
    if (!m_lastError)
        m_lastError = "field \"" + std::string(name) + "\" must be " + expected;
}

std::string JsonFields::requiredText(const char* name)
{
    const json* value = find(name);
    if (value && value->is_string())
        return value->get<std::string>();
    fail(name, "a string");
    return {};
}

std::string JsonFields::text(const char* name, const std::string& fallback)
{
    return find(name) ? requiredText(name) : fallback;
}

int64_t JsonFields::integer(const char* name, int64_t fallback, int64_t minimum, int64_t maximum)
{
    const json* value = find(name);
    if (!value)
        return fallback;
    const bool fits = value->is_number_integer()
        && (!value->is_number_unsigned() || value->get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX));
    if (fits && value->get<int64_t>() >= minimum && value->get<int64_t>() <= maximum)
        return value->get<int64_t>();
    const std::string expected
        = "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    fail(name, expected.c_str());
    return fallback;
}

bool JsonFields::flag(const char* name, bool fallback)
{
    const json* value = find(name);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    fail(name, "true or false");
    return fallback;
}

std::vector<json> JsonFields::requiredArray(const char* name)
{
    const json* value = find(name);
    if (value && value->is_array())
        return value->get<std::vector<json>>();
    fail(name, "an array");
    return {};
}

std::vector<json> JsonFields::array(const char* name)
{
    return find(name) ? requiredArray(name) : std::vector<json>();
}

std::string toText(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string errorBody(const std::string& code, const std::string& message)
{
    return toText({ { "error", { { "code", code }, { "message", message } } } });
}

} // namespace lacewing
