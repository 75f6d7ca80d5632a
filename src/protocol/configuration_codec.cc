#include "protocol/configuration_codec.h"

#include "base/digest.h"
#include "protocol/configuration_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace lacewing {

using nlohmann::json;

namespace {

/// 43,000 adapters with at most 64 in a leaf would be 4,400 objects, which a new daemon fetches one by one;
/// 256 make it 273.
constexpr size_t maximumLeafAdapters = 256;
/// With 256, a change of one of 4,300 keys would move 23 KB.
constexpr size_t maximumLeafEntries = 64;
constexpr size_t childrenPerNode = 16;
/// A node at this depth is malformed: it has used up all digits of the hash.
constexpr size_t maximumDepth = 64;
constexpr int formatVersion = 1;
constexpr const char* sectionNames[] = { "workspaces", "keys", "adapters", "upstreams", "routes" };

int digitValue(char digit)
{
    return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

/// Hashes are kept as 32 bytes, which halves the size of nodes.
json packHash(const ContentHash& hash)
{
    std::vector<uint8_t> bytes;
    const std::string& hex = hash.value();
    for (size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes.push_back(static_cast<uint8_t>(digitValue(hex[i]) * 16 + digitValue(hex[i + 1])));
    return json::binary(std::move(bytes));
}

std::optional<ContentHash> unpackHash(const json& value)
{
    constexpr size_t hashBytes = 32;
    if (!value.is_binary() || value.get_binary().size() != hashBytes)
        return std::nullopt;
    std::string hex;
    for (const uint8_t byte : value.get_binary()) {
        hex += "0123456789abcdef"[byte >> 4];
        hex += "0123456789abcdef"[byte & 15];
    }
    return ContentHash(std::move(hex));
}

/// An entry and the hash of its id, which decides its place in the tree.
struct PlacedEntry {
    std::string digits;
    std::string id;
    json value;
};

/// Writes objects bottom up.
class ObjectWriter {
public:
    ContentHash writeTree(json section, size_t maximumEntries)
    {
        m_maximumEntries = maximumEntries;
        std::vector<PlacedEntry> entries;
        entries.reserve(section.size());
        for (const auto& item : section.items())
            entries.push_back({ sha256Hex(item.key()), item.key(), std::move(item.value()) });
        return writeSubtree(std::move(entries), 0);
    }

    ContentHash write(const json& value)
    {
        std::string content;
        json::to_cbor(value, content);
        ContentHash hash(sha256Hex(content));
        m_objects.emplace(hash, std::move(content));
        return hash;
    }

    ConfigurationObjects take() { return std::move(m_objects); }

private:
    ContentHash writeSubtree(std::vector<PlacedEntry> entries, size_t depth)
    {
        if (entries.size() <= m_maximumEntries)
            return writeLeaf(std::move(entries));
        std::vector<PlacedEntry> parts[childrenPerNode];
        for (PlacedEntry& entry : entries)
            parts[digitValue(entry.digits[depth])].push_back(std::move(entry));
        json children = json::array();
        for (std::vector<PlacedEntry>& part : parts)
            children.push_back(packHash(writeSubtree(std::move(part), depth + 1)));
        return write({ { "children", std::move(children) } });
    }

    ContentHash writeLeaf(std::vector<PlacedEntry> entries)
    {
        json leaf = json::object();
        for (PlacedEntry& entry : entries)
            leaf[entry.id] = std::move(entry.value);
        return write({ { "entries", std::move(leaf) } });
    }

    size_t m_maximumEntries = 0;
    ConfigurationObjects m_objects;
};

std::optional<json> parseObject(const std::string& content)
{
    json value = json::from_cbor(content, true, false);
    if (!value.is_object())
        return std::nullopt;
    return value;
}

const json* findMember(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

/// Reads trees top down.
class ObjectReader {
public:
    explicit ObjectReader(const ConfigurationObjects& objects)
        : m_objects(objects)
    {
    }

    std::optional<json> load(const ContentHash& hash) const
    {
        const auto found = m_objects.find(hash);
        if (found == m_objects.end())
            return std::nullopt;
        return parseObject(found->second);
    }

    std::optional<json> loadRoot(const ContentHash& hash) const
    {
        std::optional<json> root = load(hash);
        if (!root || root->value("format", json()) != formatVersion || root->count("loadLimits") == 0)
            return std::nullopt;
        return root;
    }

    /// Gathers all entries of a tree.
    bool readTree(const json* reference, json& entries, size_t depth = 0) const
    {
        const std::optional<json> node = loadReference(reference);
        if (!node || depth > maximumDepth)
            return false;
        if (const json* leaf = findMember(*node, "entries")) {
            if (!leaf->is_object())
                return false;
            entries.update(*leaf);
            return true;
        }
        const json* children = findMember(*node, "children");
        return children != nullptr && children->is_array()
            && std::all_of(children->begin(), children->end(),
                [&](const json& child) { return readTree(&child, entries, depth + 1); });
    }

    /// Gathers the entries of the subtrees in which two trees differ.
    bool readDifference(
        const json* before, const json* after, json& removed, json& added, size_t depth = 0) const
    {
        if (before == nullptr || after == nullptr || depth > maximumDepth)
            return false;
        if (*before == *after)
            return true;
        const std::optional<json> oldNode = loadReference(before);
        const std::optional<json> newNode = loadReference(after);
        if (!oldNode || !newNode)
            return false;
        const json* oldChildren = findMember(*oldNode, "children");
        const json* newChildren = findMember(*newNode, "children");
        if (oldChildren == nullptr || newChildren == nullptr || oldChildren->size() != newChildren->size())
            return readTree(before, removed, depth) && readTree(after, added, depth);
        for (size_t i = 0; i < oldChildren->size(); ++i) {
            if (!readDifference(&(*oldChildren)[i], &(*newChildren)[i], removed, added, depth + 1))
                return false;
        }
        return true;
    }

private:
    std::optional<json> loadReference(const json* reference) const
    {
        const std::optional<ContentHash> hash = reference == nullptr ? std::nullopt : unpackHash(*reference);
        return hash ? load(*hash) : std::nullopt;
    }

    const ConfigurationObjects& m_objects;
};

ConfigurationJson lenientJson()
{
    return ConfigurationJson(ConfigurationJson::UnknownMembers::Ignore);
}

template <typename Id, typename Entry>
void replaceEntries(
    const std::map<Id, Entry>& removed, const std::map<Id, Entry>& added, std::map<Id, Entry>& target)
{
    for (const auto& [id, entry] : removed)
        target.erase(id);
    for (const auto& [id, entry] : added)
        target[id] = entry;
}

template <typename Entry>
void replaceEntries(
    const std::vector<Entry>& removed, const std::vector<Entry>& added, std::vector<Entry>& target)
{
    std::set<decltype(Entry::id)> ids;
    for (const Entry& entry : removed)
        ids.insert(entry.id);
    const auto isRemoved = [&](const Entry& entry) { return ids.count(entry.id) != 0; };
    target.erase(std::remove_if(target.begin(), target.end(), isRemoved), target.end());
    target.insert(target.end(), added.begin(), added.end());
}

/// Subtrees are in the order of hashes; lists are kept in the order of ids.
void sortLists(Configuration& configuration)
{
    std::sort(configuration.keys.begin(), configuration.keys.end(),
        [](const KeyConfig& a, const KeyConfig& b) { return a.id < b.id; });
    std::sort(configuration.routes.begin(), configuration.routes.end(),
        [](const RouteConfig& a, const RouteConfig& b) { return a.id < b.id; });
}

} // namespace

EncodedConfiguration ConfigurationCodec::encode(const Configuration& configuration) const
{
    ObjectWriter writer;
    json root = { { "format", formatVersion },
        { "loadLimits", ConfigurationJson::encodeSection(configuration, "loadLimits") } };
    for (const std::string section : sectionNames) {
        const size_t limit = section == "adapters" ? maximumLeafAdapters : maximumLeafEntries;
        json entries = ConfigurationJson::encodeSection(configuration, section);
        root[section] = packHash(writer.writeTree(std::move(entries), limit));
    }
    EncodedConfiguration result;
    result.root = writer.write(root);
    result.objects = writer.take();
    return result;
}

std::optional<std::vector<ContentHash>> ConfigurationCodec::references(const std::string& object) const
{
    const std::optional<json> value = parseObject(object);
    if (!value)
        return std::nullopt;
    std::vector<ContentHash> result;
    const auto add = [&](const json& reference) {
        std::optional<ContentHash> hash = unpackHash(reference);
        if (hash)
            result.push_back(std::move(*hash));
        return hash.has_value();
    };
    const auto children = value->find("children");
    if (children != value->end()) {
        if (!children->is_array() || !std::all_of(children->begin(), children->end(), add))
            return std::nullopt;
    } else if (value->count("format") != 0) {
        for (const char* section : sectionNames) {
            if (value->count(section) == 0 || !add(value->at(section)))
                return std::nullopt;
        }
    }
    return result;
}

std::optional<Configuration> ConfigurationCodec::decode(
    const ContentHash& root, const ConfigurationObjects& objects) const
{
    const ObjectReader reader(objects);
    const std::optional<json> node = reader.loadRoot(root);
    if (!node)
        return std::nullopt;
    ConfigurationJson decoder = lenientJson();
    Configuration configuration;
    if (!decoder.decodeSection("loadLimits", node->at("loadLimits"), configuration))
        return std::nullopt;
    for (const char* section : sectionNames) {
        json entries = json::object();
        if (!reader.readTree(findMember(*node, section), entries)
            || !decoder.decodeSection(section, entries, configuration))
            return std::nullopt;
    }
    sortLists(configuration);
    return configuration;
}

std::optional<ConfigurationDelta> ConfigurationCodec::update(Configuration& target, const ContentHash& from,
    const ContentHash& to, const ConfigurationObjects& objects) const
{
    const ObjectReader reader(objects);
    const std::optional<json> before = reader.loadRoot(from);
    const std::optional<json> after = reader.loadRoot(to);
    if (!before || !after)
        return std::nullopt;
    ConfigurationJson decoder = lenientJson();
    ConfigurationDelta delta;
    if (!decoder.decodeSection("loadLimits", after->at("loadLimits"), delta.after))
        return std::nullopt;
    delta.before.loadLimits = target.loadLimits;
    for (const char* section : sectionNames) {
        json removed = json::object();
        json added = json::object();
        if (!reader.readDifference(findMember(*before, section), findMember(*after, section), removed, added)
            || !decoder.decodeSection(section, removed, delta.before)
            || !decoder.decodeSection(section, added, delta.after))
            return std::nullopt;
    }
    replaceEntries(delta.before.workspaces, delta.after.workspaces, target.workspaces);
    replaceEntries(delta.before.adapters, delta.after.adapters, target.adapters);
    replaceEntries(delta.before.upstreams, delta.after.upstreams, target.upstreams);
    replaceEntries(delta.before.keys, delta.after.keys, target.keys);
    replaceEntries(delta.before.routes, delta.after.routes, target.routes);
    target.loadLimits = delta.after.loadLimits;
    sortLists(target);
    return delta;
}

} // namespace lacewing
