#include "state/configuration_diff.h"

#include "state/configuration_fields.h"

#include <algorithm>
#include <sstream>

namespace lacewing {

namespace {

using Kind = ConfigurationChange::Kind;

/// A field formatted as text. Lists keep separate items, so that each added or removed item is reported as
/// a separate change.
struct FieldText {
    std::string name;
    std::string value;
    std::vector<std::string> items;
    bool isList = false;
};

const char* unitSuffix(FieldUnit unit)
{
    switch (unit) {
    case FieldUnit::None:
        return "";
    case FieldUnit::Tokens:
        return " tokens";
    case FieldUnit::TokensPerSecond:
        return " tokens/s";
    case FieldUnit::LoadsPerSecond:
        return " loads/s";
    case FieldUnit::Milliseconds:
        return "ms";
    }
    return "";
}

std::string numberText(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

/// Visitor for visitFields() that formats each field of an entry as text.
class FieldTextWriter {
public:
    template <typename Value>
    void field(const char* name, const Value& value, FieldUnit unit, FieldPresence presence)
    {
        m_fields.push_back({ name, text(value) + unitSuffix(unit), {}, false });
    }
    void field(
        const char* name, const std::vector<AdapterVersion>& versions, FieldUnit unit, FieldPresence presence)
    {
        FieldText list { name, "", {}, true };
        for (const AdapterVersion& version : versions)
            list.items.push_back(version.value());
        m_fields.push_back(std::move(list));
    }

    const std::vector<FieldText>& fields() const { return m_fields; }

private:
    template <typename Tag> static std::string text(const StrongId<Tag>& id) { return text(id.value()); }
    template <typename Tag> static std::string text(StrongNumber<Tag> number)
    {
        return std::to_string(number.value());
    }
    static std::string text(const std::string& value) { return value.empty() ? "none" : value; }
    static std::string text(bool value) { return value ? "true" : "false"; }
    static std::string text(int value) { return std::to_string(value); }
    static std::string text(int64_t value) { return std::to_string(value); }
    static std::string text(double value) { return numberText(value); }
    template <typename Enum> static std::enable_if_t<std::is_enum_v<Enum>, std::string> text(Enum value)
    {
        return enumName(value);
    }

    std::vector<FieldText> m_fields;
};

template <typename Entry> std::vector<FieldText> fieldTexts(const Entry& entry)
{
    Entry copy = entry;
    FieldTextWriter writer;
    visitFields(copy, writer);
    return writer.fields();
}

bool contains(const std::vector<std::string>& items, const std::string& item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

/// Accumulates the changes between two configurations, section by section.
class Comparison {
public:
    template <typename Map> void compare(const char* subject, const Map& before, const Map& after)
    {
        for (const auto& [id, entry] : before) {
            const auto found = after.find(id);
            if (found == after.end())
                addEntryChange(Kind::Removed, subject, toText(id), entry);
            else
                compareEntries(subject, toText(id), entry, found->second);
        }
        for (const auto& [id, entry] : after) {
            if (before.count(id) == 0)
                addEntryChange(Kind::Added, subject, toText(id), entry);
        }
    }

    template <typename Entry>
    void compareEntries(const char* subject, const std::string& id, const Entry& before, const Entry& after)
    {
        const std::vector<FieldText> old = fieldTexts(before);
        const std::vector<FieldText> updated = fieldTexts(after);
        for (size_t i = 0; i < old.size(); ++i) {
            if (old[i].isList)
                compareLists(subject, id, old[i], updated[i]);
            else if (old[i].value != updated[i].value)
                m_changes.push_back(
                    { Kind::Changed, subject, id, old[i].name, old[i].value, updated[i].value });
        }
    }

    std::vector<ConfigurationChange> take() { return std::move(m_changes); }

private:
    template <typename Tag> static std::string toText(const StrongId<Tag>& id) { return id.value(); }
    static std::string toText(const std::string& id) { return id; }

    template <typename Entry>
    void addEntryChange(Kind kind, const char* subject, const std::string& id, const Entry& entry)
    {
        ConfigurationChange change { kind, subject, id, "", "", "" };
        (kind == Kind::Added ? change.after : change.before) = summary(entry);
        m_changes.push_back(std::move(change));
    }

    static std::string summary(const WorkspaceConfig& entry)
    {
        return std::to_string(entry.rate.value()) + " tokens/s";
    }
    static std::string summary(const KeyConfig& entry) { return "workspace " + entry.workspace.value(); }
    static std::string summary(const AdapterConfig& entry) { return "workspace " + entry.workspace.value(); }
    static std::string summary(const UpstreamConfig& entry) { return entry.address; }
    static std::string summary(const RouteConfig& entry) { return entry.path; }

    void compareLists(
        const char* subject, const std::string& id, const FieldText& before, const FieldText& after)
    {
        for (const std::string& item : before.items) {
            if (!contains(after.items, item))
                m_changes.push_back({ Kind::Removed, subject, id, before.name, item, "" });
        }
        for (const std::string& item : after.items) {
            if (!contains(before.items, item))
                m_changes.push_back({ Kind::Added, subject, id, before.name, "", item });
        }
    }

    std::vector<ConfigurationChange> m_changes;
};

std::map<std::string, KeyConfig> byId(const std::vector<KeyConfig>& keys)
{
    std::map<std::string, KeyConfig> result;
    for (const KeyConfig& key : keys)
        result.emplace(key.id, key);
    return result;
}

std::map<RouteId, RouteConfig> byId(const std::vector<RouteConfig>& routes)
{
    std::map<RouteId, RouteConfig> result;
    for (const RouteConfig& route : routes)
        result.emplace(route.id, route);
    return result;
}

} // namespace

std::string ConfigurationChange::text() const
{
    const std::string name = id.empty() ? subject : subject + " " + id;
    if (field.empty())
        return name + (kind == Kind::Added ? " added (" + after + ")" : " removed (" + before + ")");
    switch (kind) {
    case Kind::Added:
        return name + ": " + field + " adds " + after;
    case Kind::Removed:
        return name + ": " + field + " drops " + before;
    case Kind::Changed:
        break;
    }
    return name + ": " + field + " " + before + " -> " + after;
}

std::vector<ConfigurationChange> diffConfigurations(const Configuration& before, const Configuration& after)
{
    Comparison comparison;
    comparison.compare("workspace", before.workspaces, after.workspaces);
    comparison.compare("key", byId(before.keys), byId(after.keys));
    comparison.compare("adapter", before.adapters, after.adapters);
    comparison.compare("upstream", before.upstreams, after.upstreams);
    comparison.compare("route", byId(before.routes), byId(after.routes));
    comparison.compareEntries("loadLimits", "", before.loadLimits, after.loadLimits);
    return comparison.take();
}

} // namespace lacewing
