#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lacewing {

/// The faults that a stand-in can be told to show. A fault is a number or a flag of the stand-in, or an
/// action. A name with a dot ("table.down") stands for a field of a nested object ({"table":{"down":true}}).
class FaultSettings {
public:
    /// @param target must outlive the settings.
    void addNumber(const std::string& name, double& target, double minimum, double maximum);
    /// Adds a number in [0, 1]; it may also be given as false or true.
    void addProbability(const std::string& name, double& target) { addNumber(name, target, 0, 1); }
    /// @param target must outlive the settings.
    void addFlag(const std::string& name, bool& target);
    /// Adds an action that runs each time its name is given with true or a number from 0 to the maximum.
    void addAction(const std::string& name, double maximum, std::function<void(double)> action);
    /// Called after each change, before the actions run.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    /// Sets all given faults, or none if one of them is unknown or out of range.
    ///
    /// @return the reason why nothing was changed, or nothing on success.
    std::optional<std::string> apply(const nlohmann::json& faults);
    /// @return the current faults in the form that apply() takes, without the actions.
    nlohmann::json show() const;

private:
    struct Setting {
        double* number = nullptr;
        bool* flag = nullptr;
        std::function<void(double)> action;
        double minimum = 0;
        double maximum = 1;
    };
    using Changes = std::map<std::string, double>;

    std::optional<std::string> collect(
        const nlohmann::json& object, const std::string& prefix, Changes& changes) const;
    std::optional<std::string> check(
        const std::string& name, const nlohmann::json& value, Changes& changes) const;

    std::map<std::string, Setting> m_settings;
    std::function<void()> m_onChange;
};

} // namespace lacewing
