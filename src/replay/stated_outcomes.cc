#include "replay/stated_outcomes.h"

#include "protocol/yaml_document.h"

#include <cstdlib>

namespace lacewing {

namespace {

std::string numberText(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

/// Sets one bound of an outcome.
bool readBound(const std::string& name, const YamlValue& value, StatedOutcome& outcome)
{
    char* end = nullptr;
    const double number = std::strtod(value.scalar.c_str(), &end);
    if (value.kind != YamlValue::Kind::Scalar || value.scalar.empty() || *end != '\0')
        return false;
    if (name == "min" || name == "exactly")
        outcome.minimum = number;
    if (name == "max" || name == "exactly")
        outcome.maximum = number;
    return name == "min" || name == "max" || name == "exactly";
}

} // namespace

std::string StatedOutcome::text() const
{
    if (minimum && maximum && *minimum == *maximum)
        return measure + ": exactly " + numberText(*minimum);
    std::string text = measure + ":";
    if (minimum)
        text += " at least " + numberText(*minimum);
    if (maximum)
        text += " at most " + numberText(*maximum);
    return text;
}

std::string BrokenOutcome::text() const
{
    return outcome.text() + "; seen: " + (seen ? numberText(*seen) : "there is no such measure");
}

bool StatedOutcomes::parse(const std::string& file, const std::string& text)
{
    YamlDocument document;
    const auto root = document.parse(file, text);
    if (!root || !document.problems().empty()) {
        m_lastError = document.problems().empty() ? file + ": not YAML" : document.problems()[0].text();
        return false;
    }
    for (const auto& [measure, bounds] : root->members) {
        StatedOutcome outcome { measure, std::nullopt, std::nullopt };
        bool isValid = bounds.kind == YamlValue::Kind::Map && !bounds.members.empty();
        for (const auto& [name, value] : bounds.members)
            isValid = isValid && readBound(name, value, outcome);
        if (!isValid) {
            m_lastError = file + ":" + std::to_string(bounds.location.line) + ": \"" + measure
                + "\" needs one or more of min, max and exactly, each with a number";
            return false;
        }
        m_outcomes.push_back(std::move(outcome));
    }
    if (m_outcomes.empty())
        m_lastError = file + ": states no outcomes";
    return !m_outcomes.empty();
}

std::vector<BrokenOutcome> StatedOutcomes::broken(const ReplayReport& report) const
{
    std::vector<BrokenOutcome> broken;
    for (const StatedOutcome& outcome : m_outcomes) {
        const auto seen = report.measure(outcome.measure);
        const bool holds = seen && (!outcome.minimum || *seen >= *outcome.minimum)
            && (!outcome.maximum || *seen <= *outcome.maximum);
        if (!holds)
            broken.push_back({ outcome, seen });
    }
    return broken;
}

} // namespace lacewing
