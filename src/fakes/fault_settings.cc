#include "fakes/fault_settings.h"

#include <vector>

namespace lacewing {

using nlohmann::json;

void FaultSettings::addNumber(const std::string& name, double& target, double minimum, double maximum)
{
    Setting& setting = m_settings[name];
    setting.number = &target;
    setting.minimum = minimum;
    setting.maximum = maximum;
}

void FaultSettings::addFlag(const std::string& name, bool& target)
{
    m_settings[name].flag = &target;
}

void FaultSettings::addAction(const std::string& name, double maximum, std::function<void(double)> action)
{
    Setting& setting = m_settings[name];
    setting.action = std::move(action);
    setting.maximum = maximum;
}

std::optional<std::string> FaultSettings::check(
    const std::string& name, const json& value, Changes& changes) const
{
    const auto found = m_settings.find(name);
    if (found == m_settings.end())
        return "unknown fault \"" + name + "\"";
    const Setting& setting = found->second;
    if (!value.is_boolean() && (setting.flag || !value.is_number()))
        return "fault \"" + name + "\" has the wrong type";
    const double number = value.is_boolean() ? (value.get<bool>() ? 1 : 0) : value.get<double>();
    if (!(number >= setting.minimum && number <= setting.maximum))
        return "fault \"" + name + "\" is out of range";
    changes[name] = number;
    return std::nullopt;
}

std::optional<std::string> FaultSettings::collect(
    const json& object, const std::string& prefix, Changes& changes) const
{
    if (!object.is_object())
        return "a JSON object is expected";
    for (const auto& [key, value] : object.items()) {
        // Names have at most two parts, so deeper objects are refused by check().
        const std::optional<std::string> error = value.is_object() && prefix.empty()
            ? collect(value, key + ".", changes)
            : check(prefix + key, value, changes);
        if (error)
            return error;
    }
    return std::nullopt;
}

std::optional<std::string> FaultSettings::apply(const json& faults)
{
    Changes changes;
    if (auto error = collect(faults, "", changes))
        return error;
    for (const auto& [name, number] : changes) {
        const Setting& setting = m_settings.at(name);
        if (setting.number)
            *setting.number = number;
        if (setting.flag)
            *setting.flag = number != 0;
    }
    if (m_onChange)
        m_onChange();
    for (const auto& [name, number] : changes) {
        const Setting& setting = m_settings.at(name);
        if (setting.action && number != 0)
            setting.action(number);
    }
    return std::nullopt;
}

json FaultSettings::show() const
{
    json shown = json::object();
    for (const auto& [name, setting] : m_settings) {
        if (setting.action)
            continue;
        const size_t dot = name.find('.');
        json& place
            = dot == std::string::npos ? shown[name] : shown[name.substr(0, dot)][name.substr(dot + 1)];
        if (setting.flag)
            place = *setting.flag;
        else
            place = *setting.number;
    }
    return shown;
}

} // namespace lacewing
