#include "protocol/configuration_yaml.h"

#include "protocol/unit_text.h"
#include "state/configuration_check.h"
#include "state/configuration_fields.h"

#include <algorithm>
#include <limits>
#include <set>

namespace lacewing {

namespace {

const std::vector<std::string> sectionNames
    = { "workspaces", "keys", "adapters", "upstreams", "routes", "loadLimits" };

std::string join(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

template <typename Tag> constexpr bool isId(const StrongId<Tag>* id)
{
    return true;
}
constexpr bool isId(const void* other)
{
    return false;
}

/// Collects problems and remembers which values have one, so that no value is reported twice.
class ProblemList {
public:
    void add(
        const std::string& path, const FileLocation& location, const std::string& what, std::string instead)
    {
        m_paths.insert(path);
        m_problems.push_back({ location, path.empty() ? what : path + ": " + what, std::move(instead) });
    }
    bool has(const std::string& path) const { return m_paths.count(path) != 0; }
    std::vector<FileProblem> take() { return std::move(m_problems); }

private:
    std::set<std::string> m_paths;
    std::vector<FileProblem> m_problems;
};

/// Reads the fields of one entry out of its map.
class EntryReader {
public:
    EntryReader(const YamlValue& map, std::string path, ProblemList& problems)
        : m_map(map)
        , m_path(std::move(path))
        , m_problems(problems)
    {
    }

    template <typename Value>
    void field(const char* name, Value& target, FieldUnit unit, FieldPresence presence)
    {
        m_known.emplace_back(name);
        const auto found = m_map.members.find(name);
        if (found != m_map.members.end()) {
            read(name, found->second, target, unit);
        } else if (presence == FieldPresence::Required) {
            m_problems.add(m_path + "." + name, m_map.location, "is missing", exampleFor(name, target, unit));
        }
    }

    /// Reports the keys that no field has asked for.
    void finish()
    {
        for (const auto& [name, value] : m_map.members) {
            if (std::find(m_known.begin(), m_known.end(), name) == m_known.end())
                m_problems.add(
                    m_path + "." + name, value.location, "is not a known key", "one of " + join(m_known));
        }
    }

private:
    template <typename Value>
    void read(const char* name, const YamlValue& value, Value& target, FieldUnit unit)
    {
        if (value.kind != YamlValue::Kind::Scalar || !assign(value.scalar, target, unit))
            report(name, value, exampleFor(name, target, unit));
    }

    void read(const char* name, const YamlValue& value, std::vector<AdapterVersion>& target, FieldUnit unit)
    {
        const bool isList = value.kind == YamlValue::Kind::Sequence
            && std::all_of(value.items.begin(), value.items.end(),
                [](const YamlValue& item) { return item.kind == YamlValue::Kind::Scalar; });
        if (!isList)
            return report(name, value, exampleFor(name, target, unit));
        for (const YamlValue& item : value.items)
            target.emplace_back(item.scalar);
    }

    void report(const char* name, const YamlValue& value, const std::string& example)
    {
        const std::string what = value.kind == YamlValue::Kind::Scalar
            ? "`" + value.scalar + "` is not valid"
            : std::string("is ") + value.kindName();
        m_problems.add(m_path + "." + name, value.location, what, example);
    }

    static bool assign(const std::string& text, std::string& target, FieldUnit unit)
    {
        target = text;
        return !text.empty();
    }
    template <typename Tag> static bool assign(const std::string& text, StrongId<Tag>& target, FieldUnit unit)
    {
        target = StrongId<Tag>(text);
        return !text.empty();
    }
    template <typename Tag>
    static bool assign(const std::string& text, StrongNumber<Tag>& target, FieldUnit unit)
    {
        int64_t number = 0;
        const bool valid = assign(text, number, unit);
        target = StrongNumber<Tag>(number);
        return valid;
    }
    static bool assign(const std::string& text, int64_t& target, FieldUnit unit)
    {
        const std::optional<int64_t> number = parseQuantity(text, unit);
        target = number.value_or(0);
        return number.has_value();
    }
    static bool assign(const std::string& text, int& target, FieldUnit unit)
    {
        const std::optional<int64_t> number = parseQuantity(text, unit);
        if (!number || *number < std::numeric_limits<int>::min() || *number > std::numeric_limits<int>::max())
            return false;
        target = static_cast<int>(*number);
        return true;
    }
    static bool assign(const std::string& text, double& target, FieldUnit unit)
    {
        const std::optional<double> number = parseFraction(text, unit);
        target = number.value_or(0);
        return number.has_value();
    }
    static bool assign(const std::string& text, bool& target, FieldUnit unit)
    {
        target = text == "true";
        return target || text == "false";
    }
    template <typename Enum>
    static std::enable_if_t<std::is_enum_v<Enum>, bool> assign(
        const std::string& text, Enum& target, FieldUnit unit)
    {
        for (const auto& [value, name] : EnumNames<Enum>::names) {
            if (text != name)
                continue;
            target = value;
            return true;
        }
        return false;
    }

    template <typename Value>
    static std::string exampleFor(const std::string& name, const Value& target, FieldUnit unit)
    {
        if constexpr (std::is_same_v<Value, bool>) {
            return "true or false";
        } else if constexpr (std::is_enum_v<Value>) {
            std::vector<std::string> names;
            for (const auto& [value, text] : EnumNames<Value>::names)
                names.emplace_back(text);
            return "one of " + join(names);
        } else if constexpr (std::is_same_v<Value, std::vector<AdapterVersion>>) {
            return "a list such as [v1, v2]";
        } else if constexpr (std::is_same_v<Value, std::string> || isId(static_cast<Value*>(nullptr))) {
            return "`" + name + ": ` and a text";
        } else {
            return quantityExample(unit);
        }
    }

    const YamlValue& m_map;
    std::string m_path;
    ProblemList& m_problems;
    std::vector<std::string> m_known;
};

/// Reads the sections of one merged document.
class ConfigurationReader {
public:
    ConfigurationReader(const YamlValue& root, ProblemList& problems)
        : m_root(root)
        , m_problems(problems)
    {
    }

    Configuration read()
    {
        checkSections();
        readMap("workspaces", m_configuration.workspaces);
        readMap("adapters", m_configuration.adapters);
        readMap("upstreams", m_configuration.upstreams);
        readList("keys", m_configuration.keys);
        readList("routes", m_configuration.routes);
        if (const YamlValue* map = section("loadLimits"))
            m_configuration.loadLimits = readEntry<LoadLimits>("loadLimits", *map);
        for (const ConfigurationProblem& problem : checkConfiguration(m_configuration))
            addUnlessReported(problem);
        return std::move(m_configuration);
    }

private:
    void checkSections()
    {
        for (const auto& [name, value] : m_root.members) {
            if (std::find(sectionNames.begin(), sectionNames.end(), name) == sectionNames.end())
                m_problems.add(
                    name, value.location, "is not a known section", "one of " + join(sectionNames));
        }
    }

    /// @return the map of a section, or nothing if it was left out or is no map.
    const YamlValue* section(const std::string& name)
    {
        const auto found = m_root.members.find(name);
        if (found == m_root.members.end())
            return nullptr;
        return isMap(name, found->second) ? &found->second : nullptr;
    }

    bool isMap(const std::string& path, const YamlValue& value)
    {
        if (value.kind == YamlValue::Kind::Map)
            return true;
        m_problems.add(path, value.location, std::string("is ") + value.kindName(),
            "a map of `name: value` (`{}` if there is none)");
        return false;
    }

    template <typename Entry> Entry readEntry(const std::string& path, const YamlValue& value)
    {
        Entry entry;
        if (!isMap(path, value))
            return entry;
        EntryReader reader(value, path, m_problems);
        visitFields(entry, reader);
        reader.finish();
        return entry;
    }

    template <typename Id, typename Entry> void readMap(const char* name, std::map<Id, Entry>& target)
    {
        const YamlValue* map = section(name);
        if (map == nullptr)
            return;
        for (const auto& [id, value] : map->members) {
            Entry entry = readEntry<Entry>(name + ("." + id), value);
            entry.id = Id(id);
            target.emplace(entry.id, std::move(entry));
        }
    }

    template <typename Entry> void readList(const char* name, std::vector<Entry>& target)
    {
        const YamlValue* map = section(name);
        if (map == nullptr)
            return;
        for (const auto& [id, value] : map->members) {
            Entry entry = readEntry<Entry>(name + ("." + id), value);
            entry.id = decltype(entry.id)(id);
            target.push_back(std::move(entry));
        }
    }

    /// Adds a broken rule, unless the value or an entry that it is part of could not be read at all.
    void addUnlessReported(const ConfigurationProblem& problem)
    {
        std::string path;
        const YamlValue* value = &m_root;
        FileLocation location = m_root.location;
        for (const std::string& part : problem.path) {
            path += (path.empty() ? "" : ".") + part;
            if (m_problems.has(path))
                return;
            const YamlValue* next = nullptr;
            if (value != nullptr && value->members.count(part) != 0)
                next = &value->members.at(part);
            if (next != nullptr)
                location = next->location;
            value = next;
        }
        m_problems.add(path, location, problem.what, problem.instead);
    }

    const YamlValue& m_root;
    ProblemList& m_problems;
    Configuration m_configuration;
};

bool isRootMap(const YamlValue& root, const std::string& file, ProblemList& problems)
{
    if (root.kind == YamlValue::Kind::Map)
        return true;
    problems.add("", { file, std::max(root.location.line, 1) }, std::string("the file is ") + root.kindName(),
        "a map of the sections " + join(sectionNames));
    return false;
}

bool isBefore(const FileProblem& a, const FileProblem& b)
{
    return a.location.file != b.location.file ? a.location.file < b.location.file
                                              : a.location.line < b.location.line;
}

} // namespace

std::optional<Configuration> ConfigurationYaml::parse(
    const YamlSource& base, const std::vector<YamlSource>& overlays)
{
    YamlDocument document;
    ProblemList problems;
    std::optional<YamlValue> root = document.parse(base.file, base.text);
    if (root && !isRootMap(*root, base.file, problems))
        root.reset();
    for (const YamlSource& overlay : overlays) {
        const std::optional<YamlValue> layer = document.parse(overlay.file, overlay.text);
        if (layer && isRootMap(*layer, overlay.file, problems) && root)
            document.merge(*root, *layer);
    }
    std::optional<Configuration> configuration;
    if (root)
        configuration = ConfigurationReader(*root, problems).read();
    m_problems = document.problems();
    const std::vector<FileProblem> found = problems.take();
    m_problems.insert(m_problems.end(), found.begin(), found.end());
    std::stable_sort(m_problems.begin(), m_problems.end(), isBefore);
    if (!m_problems.empty())
        configuration.reset();
    return configuration;
}

} // namespace lacewing
