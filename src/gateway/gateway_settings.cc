#include "gateway/gateway_settings.h"

#include "protocol/yaml_document.h"

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <limits>
#include <sstream>

namespace lacewing::gateway {

namespace {

/// An invalid value of a field, and the expected value.
struct FieldError {
    std::string what;
    std::string instead;
};

using FieldReader = std::function<std::optional<FieldError>(const std::string& text)>;

template <typename Id> FieldReader idField(Id& target)
{
    return [&target](const std::string& text) -> std::optional<FieldError> {
        if (text.empty())
            return FieldError { "is empty", "a name" };
        target = Id(text);
        return std::nullopt;
    };
}

FieldReader addressField(SocketAddress& target)
{
    return [&target](const std::string& text) -> std::optional<FieldError> {
        const auto address = SocketAddress::parse(text);
        if (!address)
            return FieldError { "\"" + text + "\" is not an address",
                "an IP address and a port, such as 127.0.0.1:80" };
        target = *address;
        return std::nullopt;
    };
}

std::optional<double> number(const std::string& text)
{
    size_t used = 0;
    try {
        const double value = std::stod(text, &used);
        if (used == text.size() && value >= 0 && std::isfinite(value))
            return value;
    } catch (const std::exception&) {
        // Not a number: the caller reports it with the field's name.
    }
    return std::nullopt;
}

constexpr double longestSeconds = 24 * 60 * 60;

FieldReader memoryField(size_t& bytes)
{
    return [&bytes](const std::string& text) -> std::optional<FieldError> {
        constexpr double fewestMegabytes = 16;
        constexpr double mostMegabytes = 1024 * 1024;
        const auto value = number(text);
        if (!value || *value < fewestMegabytes || *value > mostMegabytes)
            return FieldError { "\"" + text + "\" is not an amount of memory", "megabytes, 16 or more" };
        bytes = static_cast<size_t>(*value * GatewaySettings::bytesPerMegabyte);
        return std::nullopt;
    };
}

FieldReader durationField(Duration& target, double secondsPerUnit, double shortestSeconds = 0)
{
    return [&target, secondsPerUnit, shortestSeconds](const std::string& text) -> std::optional<FieldError> {
        const auto value = number(text);
        const double seconds = value.value_or(-1) * secondsPerUnit;
        if (seconds < shortestSeconds || seconds > longestSeconds)
            return FieldError { "\"" + text + "\" is not a valid duration",
                shortestSeconds > 0 ? "a positive number, at most a day" : "a number from 0 to a day" };
        target = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*value * secondsPerUnit));
        return std::nullopt;
    };
}

FieldReader numberField(double& target)
{
    return [&target](const std::string& text) -> std::optional<FieldError> {
        const auto value = number(text);
        if (!value)
            return FieldError { "\"" + text + "\" is not a number", "a number that is not negative" };
        target = *value;
        return std::nullopt;
    };
}

FieldReader offsetField(int& target)
{
    return [&target](const std::string& text) -> std::optional<FieldError> {
        constexpr int largest = std::numeric_limits<uint16_t>::max();
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, target);
        if (parsed.ec != std::errc() || parsed.ptr != end || std::abs(target) > largest)
            return FieldError { "\"" + text + "\" is not a difference of ports",
                "a whole number, or 0 for none" };
        return std::nullopt;
    };
}

FieldReader flagField(bool& target)
{
    return [&target](const std::string& text) -> std::optional<FieldError> {
        if (text != "true" && text != "false")
            return FieldError { "\"" + text + "\" is not a boolean", "true or false" };
        target = text == "true";
        return std::nullopt;
    };
}

FieldReader overloadPolicyField(OverloadPolicy& target)
{
    return [&target](const std::string& text) -> std::optional<FieldError> {
        if (text != "priority" && text != "arrival")
            return FieldError { "\"" + text + "\" is not a policy", "priority or arrival" };
        target = text == "priority" ? OverloadPolicy::Priority : OverloadPolicy::Arrival;
        return std::nullopt;
    };
}

using MapReader = std::function<std::optional<FieldError>(const YamlValue& value)>;

MapReader regionsField(region::RegionMap& target)
{
    return [&target](const YamlValue& value) -> std::optional<FieldError> {
        std::map<DataCentreId, RegionId> regions;
        for (const auto& [dataCentre, region] : value.members) {
            if (dataCentre.empty() || region.kind != YamlValue::Kind::Scalar || region.scalar.empty())
                return FieldError { "has no region for \"" + dataCentre + "\"",
                    "a map from data centres to regions" };
            regions.emplace(DataCentreId(dataCentre), RegionId(region.scalar));
        }
        target = region::RegionMap(std::move(regions));
        return std::nullopt;
    };
}

struct Field {
    FieldReader read;
    bool isRequired = true;
    /// Set for a field whose value is a map.
    MapReader readMap = nullptr;
};

std::map<std::string, Field> fieldsOf(GatewaySettings& settings)
{
    constexpr double second = 1;
    constexpr double millisecond = 0.001;
    return {
        { "host", { idField(settings.host) } },
        { "dataCentre", { idField(settings.dataCentre) } },
        { "region", { idField(settings.region), false } },
        { "regions", { nullptr, false, regionsField(settings.regions) } },
        { "callerAddress", { addressField(settings.callerAddress) } },
        { "readinessAddress", { addressField(settings.readinessAddress) } },
        { "directoryAddress", { addressField(settings.directoryAddress) } },
        { "peerAddress", { addressField(settings.peerAddress) } },
        { "metricsAddress", { addressField(settings.metricsAddress) } },
        { "relayPortOffset", { offsetField(settings.relayPortOffset), false } },
        { "storeAddress", { addressField(settings.storeAddress) } },
        { "leaseMilliseconds", { durationField(settings.leaseTime, millisecond, millisecond), false } },
        { "enginesCheckFencing", { flagField(settings.enginesCheckFencing), false } },
        { "stopSeconds", { durationField(settings.stopTime, second), false } },
        { "usageWindowSeconds", { durationField(settings.usageWindow, second), false } },
        { "usageToleranceShare", { numberField(settings.usageTolerance.share), false } },
        { "usageToleranceAmount", { numberField(settings.usageTolerance.amount), false } },
        { "retryRatio", { numberField(settings.retries.ratio), false } },
        { "retrySlack", { numberField(settings.retries.fixedAllowance), false } },
        { "retryWindowSeconds", { durationField(settings.retries.window, second), false } },
        { "directoryLifetimeSeconds", { durationField(settings.directoryLifetime, second), false } },
        { "memoryMegabytes", { memoryField(settings.memoryBytes), false } },
        { "promptAffinity", { flagField(settings.promptAffinity), false } },
        { "overloadPolicy", { overloadPolicyField(settings.overloadPolicy), false } },
        { "firstStart", { flagField(settings.isFirstStart), false } },
    };
}

std::string describe(const FileLocation& location, const std::string& field, const FieldError& error)
{
    const FileProblem problem { location, "'" + field + "': " + error.what, error.instead };
    return problem.text();
}

std::string readFields(const YamlValue& root, std::map<std::string, Field>& fields)
{
    for (const auto& [name, value] : root.members) {
        const auto field = fields.find(name);
        if (field == fields.end())
            return FileProblem { value.location, "unknown field '" + name + "'",
                "one of the documented fields" }
                .text();
        // A configuration template leaves a field empty if the platform has no value for it.
        if (value.kind == YamlValue::Kind::Null && !field->second.isRequired)
            continue;
        const MapReader& readMap = field->second.readMap;
        if (value.kind != (readMap ? YamlValue::Kind::Map : YamlValue::Kind::Scalar))
            return describe(value.location, name,
                { std::string("is ") + value.kindName(), readMap ? "a map" : "a single value" });
        if (const auto error = readMap ? readMap(value) : field->second.read(value.scalar))
            return describe(value.location, name, *error);
        field->second.isRequired = false;
    }
    for (const auto& [name, field] : fields) {
        if (field.isRequired)
            return FileProblem { root.location, "'" + name + "' is missing", "a value for it" }.text();
    }
    return "";
}

} // namespace

SocketAddress GatewaySettings::relayAddress() const
{
    if (relayPortOffset == 0)
        return {};
    return { peerAddress.ip, static_cast<uint16_t>(peerAddress.port + relayPortOffset) };
}

std::optional<GatewaySettings> GatewaySettingsReader::read(const std::string& path)
{
    m_lastError.clear();
    std::ifstream file(path);
    if (!file) {
        m_lastError = path + ": cannot be read; write the path of a settings file";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    YamlDocument document;
    const auto root = document.parse(path, text.str());
    if (!root || root->kind != YamlValue::Kind::Map) {
        m_lastError = document.problems().empty() ? path + ": is not a map; write one field per line"
                                                  : document.problems().front().text();
        return std::nullopt;
    }
    GatewaySettings settings;
    auto fields = fieldsOf(settings);
    m_lastError = readFields(*root, fields);
    if (!m_lastError.empty())
        return std::nullopt;
    settings.regions.complete(settings.dataCentre, settings.region);
    return settings;
}

} // namespace lacewing::gateway
