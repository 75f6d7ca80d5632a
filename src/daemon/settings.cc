#include "daemon/settings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <stdexcept>

namespace lacewing {

namespace {

/// An error at a line of the settings file.
class SettingsError : public std::runtime_error {
public:
    SettingsError(const YAML::Mark& mark, const std::string& message)
        : std::runtime_error("line " + std::to_string(mark.line + 1) + ": " + message)
    {
    }
};

std::string scalar(const YAML::Node& node, const std::string& name)
{
    if (!node.IsScalar() || node.Scalar().empty())
        throw SettingsError(node.Mark(), "'" + name + "' must be a non-empty string");
    return node.Scalar();
}

SocketAddress address(const YAML::Node& node, const std::string& name)
{
    const auto parsed = SocketAddress::parse(scalar(node, name));
    if (!parsed)
        throw SettingsError(
            node.Mark(), "'" + name + "' must be an IP address and a port, such as 127.0.0.1:8080");
    return *parsed;
}

std::string secret(const YAML::Node& node, const std::string& name)
{
    const std::string path = scalar(node, name);
    std::ifstream file(path);
    std::string content;
    if (!file || !(file >> content))
        throw SettingsError(node.Mark(), "'" + name + "': cannot read a secret from file \"" + path + "\"");
    return content;
}

std::chrono::milliseconds milliseconds(const YAML::Node& node, const std::string& name)
{
    const std::string text = scalar(node, name);
    size_t used = 0;
    double number = -1;
    try {
        number = std::stod(text, &used);
    } catch (const std::exception&) {
        used = 0;
    }
    const std::string unit = text.substr(used);
    const double factor = unit == "s" ? 1000 : (unit == "ms" ? 1 : 0);
    if (used == 0 || factor == 0 || number < 0)
        throw SettingsError(node.Mark(), "'" + name + "' must be a time with its unit, such as 5s or 500ms");
    return std::chrono::milliseconds(static_cast<int64_t>(number * factor));
}

std::vector<SeedSettings> seeds(const YAML::Node& node)
{
    if (!node.IsMap())
        throw SettingsError(node.Mark(), "'seeds' must map host ids to peer addresses");
    std::vector<SeedSettings> list;
    for (const auto& entry : node) {
        const std::string host = scalar(entry.first, "seeds");
        list.push_back({ HostId(host), address(entry.second, host) });
    }
    return list;
}

using FieldReader = std::function<void(const YAML::Node&, const std::string&)>;

std::map<std::string, FieldReader> fieldReaders(DaemonSettings& settings)
{
    return {
        { "host", [&](auto& node, auto& name) { settings.host = HostId(scalar(node, name)); } },
        { "region", [&](auto& node, auto& name) { settings.region = RegionId(scalar(node, name)); } },
        { "dataCentre",
            [&](auto& node, auto& name) { settings.dataCentre = DataCentreId(scalar(node, name)); } },
        { "callerAddress", [&](auto& node, auto& name) { settings.callerAddress = address(node, name); } },
        { "peerAddress", [&](auto& node, auto& name) { settings.peerAddress = address(node, name); } },
        { "platformAddress",
            [&](auto& node, auto& name) { settings.platformAddress = address(node, name); } },
        { "seeds", [&](auto& node, auto&) { settings.seeds = seeds(node); } },
        { "peerSecretFile", [&](auto& node, auto& name) { settings.peerSecret = secret(node, name); } },
        { "operatorSecretFile",
            [&](auto& node, auto& name) { settings.operatorSecret = secret(node, name); } },
        { "keySecretFile", [&](auto& node, auto& name) { settings.keySecret = secret(node, name); } },
        { "hostsLifetime",
            [&](auto& node, auto& name) { settings.hostsLifetime = milliseconds(node, name); } },
    };
}

void readFields(const YAML::Node& root, DaemonSettings& settings)
{
    if (!root.IsMap())
        throw SettingsError(root.Mark(), "the file must be a map of settings");
    std::map<std::string, FieldReader> readers = fieldReaders(settings);
    for (const auto& entry : root) {
        const std::string name = scalar(entry.first, "name");
        const auto reader = readers.find(name);
        if (reader == readers.end())
            throw SettingsError(entry.first.Mark(), "unknown or repeated setting '" + name + "'");
        reader->second(entry.second, name);
        readers.erase(reader);
    }
    readers.erase("seeds");
    readers.erase("hostsLifetime");
    if (!readers.empty())
        throw SettingsError(root.Mark(), "missing setting '" + readers.begin()->first + "'");
}

} // namespace

std::optional<DaemonSettings> SettingsReader::read(const std::string& path)
{
    DaemonSettings settings;
    try {
        readFields(YAML::LoadFile(path), settings);
    } catch (const YAML::BadFile&) {
        m_lastError = path + ": cannot read the file";
        return std::nullopt;
    } catch (const std::exception& error) {
        m_lastError = path + ": " + error.what();
        return std::nullopt;
    }
    return settings;
}

} // namespace lacewing
