#include "protocol/configuration_json.h"

#include "state/configuration_fields.h"

#include <algorithm>
#include <limits>

namespace lacewing {

using nlohmann::json;

namespace {

std::string memberName(const char* name, FieldUnit unit)
{
    return unit == FieldUnit::Milliseconds ? std::string(name) + "Ms" : name;
}

/// Writes the fields of an entry.
class EntryWriter {
public:
    template <typename Value>
    void field(const char* name, const Value& value, FieldUnit unit, FieldPresence presence)
    {
        m_json[memberName(name, unit)] = toJson(value);
    }
    json take() { return std::move(m_json); }

private:
    template <typename Tag> static json toJson(const StrongId<Tag>& id) { return id.value(); }
    template <typename Tag> static json toJson(StrongNumber<Tag> number) { return number.value(); }
    static json toJson(const std::vector<AdapterVersion>& versions)
    {
        json list = json::array();
        for (const AdapterVersion& version : versions)
            list.push_back(version.value());
        return list;
    }
    template <typename Value> static json toJson(const Value& value)
    {
        if constexpr (std::is_enum_v<Value>)
            return enumName(value);
        else
            return value;
    }

    json m_json = json::object();
};

template <typename Entry> json encodeEntry(Entry entry)
{
    EntryWriter writer;
    visitFields(entry, writer);
    return writer.take();
}

template <typename Entries> json encodeMap(const Entries& entries)
{
    json map = json::object();
    for (const auto& [id, entry] : entries)
        map[id.value()] = encodeEntry(entry);
    return map;
}

/// Reads the fields of an entry.
class MemberReader {
public:
    explicit MemberReader(const json& source)
        : m_source(source)
    {
    }

    template <typename Value>
    void field(const char* name, Value& target, FieldUnit unit, FieldPresence presence)
    {
        const std::string member = memberName(name, unit);
        const auto found = m_source.find(member);
        if (found == m_source.end()) {
            if (presence == FieldPresence::Required)
                fail(member, "is missing");
            return;
        }
        m_names.push_back(member);
        if (!assign(*found, target))
            fail(member, "has the wrong kind of value");
    }

    /// Makes members that no field has asked for a problem.
    void refuseUnknown()
    {
        if (m_names.size() == m_source.size())
            return;
        for (const auto& item : m_source.items()) {
            if (std::find(m_names.begin(), m_names.end(), item.key()) == m_names.end())
                fail(item.key(), "is not known");
        }
    }

    /// @return the first problem, or nothing.
    const std::optional<std::string>& error() const { return m_error; }

private:
    void fail(const std::string& member, const char* what)
    {
        if (!m_error)
            m_error = member + " " + what;
    }

    static bool assign(const json& value, std::string& target)
    {
        if (!value.is_string())
            return false;
        target = value.get<std::string>();
        return true;
    }
    template <typename Tag> static bool assign(const json& value, StrongId<Tag>& target)
    {
        if (!value.is_string())
            return false;
        target = StrongId<Tag>(value.get<std::string>());
        return true;
    }
    template <typename Tag> static bool assign(const json& value, StrongNumber<Tag>& target)
    {
        int64_t number = 0;
        if (!assign(value, number))
            return false;
        target = StrongNumber<Tag>(number);
        return true;
    }
    static bool assign(const json& value, int64_t& target)
    {
        if (!value.is_number_integer())
            return false;
        if (value.is_number_unsigned()
            && value.get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
            return false;
        target = value.get<int64_t>();
        return true;
    }
    static bool assign(const json& value, int& target)
    {
        int64_t number = 0;
        if (!assign(value, number) || number < std::numeric_limits<int>::min()
            || number > std::numeric_limits<int>::max())
            return false;
        target = static_cast<int>(number);
        return true;
    }
    static bool assign(const json& value, double& target)
    {
        if (!value.is_number())
            return false;
        target = value.get<double>();
        return true;
    }
    static bool assign(const json& value, bool& target)
    {
        if (!value.is_boolean())
            return false;
        target = value.get<bool>();
        return true;
    }
    static bool assign(const json& value, std::vector<AdapterVersion>& target)
    {
        if (!value.is_array())
            return false;
        for (const json& item : value) {
            if (!item.is_string())
                return false;
            target.emplace_back(item.get<std::string>());
        }
        return true;
    }
    template <typename Enum>
    static std::enable_if_t<std::is_enum_v<Enum>, bool> assign(const json& value, Enum& target)
    {
        if (!value.is_string())
            return false;
        for (const auto& [candidate, name] : EnumNames<Enum>::names) {
            if (value.get_ref<const std::string&>() != name)
                continue;
            target = candidate;
            return true;
        }
        return false;
    }

    const json& m_source;
    std::vector<std::string> m_names;
    std::optional<std::string> m_error;
};

} // namespace

json ConfigurationJson::encode(const Configuration& configuration)
{
    json result = json::object();
    for (const char* section : { "workspaces", "keys", "adapters", "upstreams", "routes", "loadLimits" })
        result[section] = encodeSection(configuration, section);
    return result;
}

json ConfigurationJson::encodeSection(const Configuration& configuration, const std::string& section)
{
    json list = json::object();
    if (section == "workspaces")
        return encodeMap(configuration.workspaces);
    if (section == "adapters")
        return encodeMap(configuration.adapters);
    if (section == "upstreams")
        return encodeMap(configuration.upstreams);
    if (section == "loadLimits")
        return encodeEntry(configuration.loadLimits);
    if (section == "keys") {
        for (const KeyConfig& key : configuration.keys)
            list[key.id] = encodeEntry(key);
    } else if (section == "routes") {
        for (const RouteConfig& route : configuration.routes)
            list[route.id.value()] = encodeEntry(route);
    }
    return list;
}

std::optional<Configuration> ConfigurationJson::decode(const json& source)
{
    if (!source.is_object()) {
        m_lastError = "the configuration is not an object";
        return std::nullopt;
    }
    Configuration configuration;
    for (const auto& item : source.items()) {
        if (!decodeSection(item.key(), item.value(), configuration))
            return std::nullopt;
    }
    return configuration;
}

template <typename Entry>
bool ConfigurationJson::decodeEntry(const std::string& path, const json& source, Entry& entry)
{
    if (!source.is_object()) {
        m_lastError = path + " is not an object";
        return false;
    }
    MemberReader reader(source);
    visitFields(entry, reader);
    if (m_unknownMembers == UnknownMembers::Refuse)
        reader.refuseUnknown();
    const std::optional<std::string> error = reader.error();
    if (error)
        m_lastError = path + "." + *error;
    return !error;
}

template <typename Entry, typename Add>
bool ConfigurationJson::decodeEntries(const std::string& section, const json& source, const Add& add)
{
    if (!source.is_object()) {
        m_lastError = section + " is not an object";
        return false;
    }
    for (const auto& item : source.items()) {
        Entry entry;
        entry.id = decltype(entry.id)(item.key());
        if (!decodeEntry(section + "." + item.key(), item.value(), entry))
            return false;
        add(std::move(entry));
    }
    return true;
}

bool ConfigurationJson::decodeSection(const std::string& section, const json& source, Configuration& target)
{
    const auto into = [](auto& map) {
        return [&map](auto entry) {
            auto id = entry.id;
            map.insert_or_assign(std::move(id), std::move(entry));
        };
    };
    const auto append = [](auto& list) { return [&list](auto entry) { list.push_back(std::move(entry)); }; };
    if (section == "workspaces")
        return decodeEntries<WorkspaceConfig>(section, source, into(target.workspaces));
    if (section == "keys")
        return decodeEntries<KeyConfig>(section, source, append(target.keys));
    if (section == "adapters")
        return decodeEntries<AdapterConfig>(section, source, into(target.adapters));
    if (section == "upstreams")
        return decodeEntries<UpstreamConfig>(section, source, into(target.upstreams));
    if (section == "routes")
        return decodeEntries<RouteConfig>(section, source, append(target.routes));
    if (section == "loadLimits")
        return decodeEntry(section, source, target.loadLimits);
    m_lastError = "section \"" + section + "\" is not known";
    return false;
}

} // namespace lacewing
