#include "state/configuration_check.h"

#include "base/digest.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace lacewing {

namespace {

constexpr size_t maximumIdLength = 128;
constexpr int64_t maximumTokens = 1'000'000'000'000;
constexpr int64_t maximumStartDeadlineMs = 3'600'000;
constexpr int maximumCount = 1'000'000;

bool isIdCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
        || c == '-';
}

bool isId(const std::string& text)
{
    return !text.empty() && text.size() <= maximumIdLength
        && std::all_of(text.begin(), text.end(), isIdCharacter);
}

bool isIpAddress(const std::string& text)
{
    unsigned char buffer[sizeof(in6_addr)];
    const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
    if (bracketed)
        return inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), buffer) == 1;
    return inet_pton(AF_INET, text.c_str(), buffer) == 1;
}

bool isSocketAddress(const std::string& text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    int port = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && rest == end && port > 0 && port <= 65535
        && isIpAddress(text.substr(0, colon));
}

bool hasPrefix(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

/// Validates a configuration and collects all problems, so that an operator can fix them in one pass.
class Checker {
public:
    explicit Checker(const Configuration& configuration)
        : m_configuration(configuration)
    {
        for (const auto& [id, upstream] : configuration.upstreams) {
            if (upstream.kind == UpstreamKind::ModelEngine)
                m_baseModels.insert(upstream.baseModel);
            else
                m_services.insert(upstream.service);
        }
    }

    std::vector<ConfigurationProblem> run()
    {
        for (const auto& [id, workspace] : m_configuration.workspaces)
            check(workspace);
        for (const KeyConfig& key : m_configuration.keys)
            check(key);
        for (const auto& [id, adapter] : m_configuration.adapters)
            check(adapter);
        for (const auto& [id, upstream] : m_configuration.upstreams)
            check(upstream);
        for (const RouteConfig& route : m_configuration.routes)
            check(route);
        check(m_configuration.loadLimits);
        return std::move(m_problems);
    }

private:
    void check(const WorkspaceConfig& workspace)
    {
        beginEntry("workspaces", workspace.id.value());
        checkRange("rate", workspace.rate.value(), 1, maximumTokens, " tokens/s");
        checkRange("burst", workspace.burst.value(), 1, maximumTokens, " tokens");
    }

    void check(const KeyConfig& key)
    {
        beginEntry("keys", key.id);
        if (!m_keyIds.insert(key.id).second)
            addProblem("", "the id is used twice", "another id");
        checkWorkspace(key.workspace);
        if (!isSha256Hex(key.hash))
            addProblem(
                "hash", "is not an HMAC-SHA-256", "64 lower-case hex digits from `lacewinglbctl key hash`");
        else if (!m_keyHashes.insert(key.hash).second)
            addProblem("hash", "belongs to another key entry too", "the hash of a key of its own");
    }

    void check(const AdapterConfig& adapter)
    {
        beginEntry("adapters", adapter.id.value());
        checkWorkspace(adapter.workspace);
        if (m_baseModels.count(adapter.baseModel) == 0)
            addProblem("baseModel", "no engine serves base model \"" + adapter.baseModel.value() + "\"",
                "the baseModel of an engine under upstreams");
        if (adapter.versions.empty())
            addProblem("versions", "is empty", "at least one version");
        std::set<AdapterVersion> versions;
        for (const AdapterVersion& version : adapter.versions) {
            if (!isId(version.value()))
                addProblem("versions", "version \"" + version.value() + "\" is not a name", idRule());
            if (!versions.insert(version).second)
                addProblem("versions", "lists \"" + version.value() + "\" twice", "each version once");
        }
        if (versions.count(adapter.defaultVersion) == 0)
            addProblem("defaultVersion",
                "\"" + adapter.defaultVersion.value() + "\" is not listed under versions",
                "one of the versions");
    }

    void check(const UpstreamConfig& upstream)
    {
        beginEntry("upstreams", upstream.id.value());
        if (!isSocketAddress(upstream.address))
            addProblem("address", "\"" + upstream.address + "\" is not an IP address with a port",
                "for example 127.0.0.1:8000 or [::1]:8000");
        else if (!m_addresses.insert(upstream.address).second)
            addProblem(
                "address", "another upstream has address " + upstream.address, "an address of its own");
        if (upstream.dataCentre.empty())
            addProblem("dataCentre", "is empty", "the name of a data centre");
        checkRange("maximumConcurrency", upstream.maximumConcurrency, 1, maximumCount, "");
        if (upstream.kind == UpstreamKind::ModelEngine)
            checkEngine(upstream);
        else
            checkService(upstream);
    }

    void checkEngine(const UpstreamConfig& engine)
    {
        if (!isId(engine.baseModel.value()))
            addProblem("baseModel", "an engine needs a base model", idRule());
        checkRange("adapterSlots", engine.adapterSlots, 1, maximumCount, "");
        if (!engine.service.empty())
            addProblem("service", "an engine belongs to no service group", "no service, or kind: service");
    }

    void checkService(const UpstreamConfig& service)
    {
        if (!isId(service.service))
            addProblem("service", "a plain service needs a service group", idRule());
        if (!service.baseModel.empty())
            addProblem("baseModel", "a plain service has no base model", "no baseModel, or kind: engine");
        if (service.adapterSlots != 0)
            addProblem(
                "adapterSlots", "a plain service holds no adapters", "no adapterSlots, or kind: engine");
    }

    void check(const RouteConfig& route)
    {
        beginEntry("routes", route.id.value());
        if (!m_routeIds.insert(route.id).second)
            addProblem("", "the id is used twice", "another id");
        checkPath(route.path);
        checkRange("startDeadline", route.startDeadlineMs, 1, maximumStartDeadlineMs, "ms");
        checkRange("cost", route.cost.value(), 0, maximumTokens, " tokens");
        if (!route.service.empty() && m_services.count(route.service) == 0)
            addProblem("service", "no upstream belongs to service \"" + route.service + "\"",
                "the service of a plain service under upstreams");
        if (route.service.empty() && route.cost != Tokens(0))
            addProblem("cost", "calls of engines are charged by their tokens", "no cost");
        if (route.open)
            checkOpen(route);
    }

    void checkOpen(const RouteConfig& route)
    {
        if (route.service.empty())
            addProblem("open", "calls of engines run for a workspace and need a key", "open: false");
        if (!route.repeatable)
            addProblem("repeatable", "a call that may not be repeated needs a workspace for its claim",
                "repeatable: true, or open: false");
        if (route.cost != Tokens(0))
            addProblem("cost", "an open route has no workspace to charge", "no cost");
    }

    void checkPath(const std::string& path)
    {
        if (path.empty() || path.front() != '/' || path.find_first_of("?# \t%") != std::string::npos)
            addProblem("path", "\"" + path + "\" is not a path prefix", "a path such as /booking/");
        else if (hasPrefix(path, "/operator/") || hasPrefix(path, "/v1/hosts") || path == "/")
            addProblem("path", "\"" + path + "\" is used by the daemon itself", "another path");
        else if (!m_paths.insert(path).second)
            addProblem("path", "another route has path \"" + path + "\"", "a path of its own");
    }

    void check(const LoadLimits& limits)
    {
        m_path = { "loadLimits" };
        if (m_baseModels.empty())
            return;
        if (!(limits.loadsPerSecond > 0 && limits.loadsPerSecond <= maximumCount))
            addProblem("loadsPerSecond", "is not in the range 0 to 1000000 loads/s", "for example 8 loads/s");
        checkRange("maximumInFlight", limits.maximumInFlight, 1, maximumCount, "");
    }

    void beginEntry(const std::string& section, const std::string& id)
    {
        m_path = { section, id };
        if (!isId(id))
            addProblem("", "\"" + id + "\" is not a name", idRule());
    }

    void checkWorkspace(const WorkspaceId& workspace)
    {
        if (m_configuration.workspaces.count(workspace) == 0)
            addProblem("workspace", "workspace \"" + workspace.value() + "\" does not exist",
                "the name of an entry under workspaces");
    }

    void checkRange(
        const std::string& field, int64_t value, int64_t lowest, int64_t highest, const std::string& unit)
    {
        if (value < lowest || value > highest)
            addProblem(field, std::to_string(value) + unit + " is out of range",
                std::to_string(lowest) + unit + " to " + std::to_string(highest) + unit);
    }

    static std::string idRule()
    {
        return "1 to " + std::to_string(maximumIdLength) + " letters, digits, '.', '_' or '-'";
    }

    void addProblem(const std::string& field, std::string what, std::string instead)
    {
        std::vector<std::string> path = m_path;
        if (!field.empty())
            path.push_back(field);
        m_problems.push_back({ std::move(path), std::move(what), std::move(instead) });
    }

    const Configuration& m_configuration;
    std::set<ModelId> m_baseModels;
    std::set<std::string> m_services;
    std::set<std::string> m_keyIds;
    std::set<std::string> m_keyHashes;
    std::set<std::string> m_addresses;
    std::set<RouteId> m_routeIds;
    std::set<std::string> m_paths;
    std::vector<std::string> m_path;
    std::vector<ConfigurationProblem> m_problems;
};

} // namespace

std::string ConfigurationProblem::text() const
{
    std::string text;
    for (const std::string& part : path)
        text += (text.empty() ? "" : ".") + part;
    return text + ": " + what + "; write " + instead;
}

std::vector<ConfigurationProblem> checkConfiguration(const Configuration& configuration)
{
    return Checker(configuration).run();
}

} // namespace lacewing
