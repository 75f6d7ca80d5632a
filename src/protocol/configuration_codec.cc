#include "protocol/configuration_codec.h"

#include "base/digest.h"
#include "protocol/configuration_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
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

/// Reads trees top down.
class ObjectReader {
public:
    explicit ObjectReader(const ConfigurationObjects& objects)
        : m_objects(objects)
    {
    }

    bool readTree(const std::string& section, const json& reference, size_t depth, Configuration& target)
    {
        const std::optional<json> node = load(reference);
        if (!node)
            return false;
        const auto entries = node->find("entries");
        if (entries != node->end())
            return m_json.decodeSection(section, *entries, target);
        const auto children = node->find("children");
        if (children == node->end() || !children->is_array() || depth >= maximumDepth)
            return false;
        return std::all_of(children->begin(), children->end(),
            [&](const json& child) { return readTree(section, child, depth + 1, target); });
    }

    bool readLoadLimits(const json& value, Configuration& target)
    {
        return m_json.decodeSection("loadLimits", value, target);
    }

private:
    std::optional<json> load(const json& reference) const
    {
        const std::optional<ContentHash> hash = unpackHash(reference);
        if (!hash)
            return std::nullopt;
        const auto found = m_objects.find(*hash);
        if (found == m_objects.end())
            return std::nullopt;
        return parseObject(found->second);
    }

    const ConfigurationObjects& m_objects;
    ConfigurationJson m_json { ConfigurationJson::UnknownMembers::Ignore };
};

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
    const auto found = objects.find(root);
    if (found == objects.end())
        return std::nullopt;
    const std::optional<json> value = parseObject(found->second);
    if (!value || value->value("format", json()) != formatVersion || value->count("loadLimits") == 0)
        return std::nullopt;
    Configuration configuration;
    ObjectReader reader(objects);
    if (!reader.readLoadLimits(value->at("loadLimits"), configuration))
        return std::nullopt;
    for (const char* section : sectionNames) {
        if (value->count(section) == 0 || !reader.readTree(section, value->at(section), 0, configuration))
            return std::nullopt;
    }
    sortLists(configuration);
    return configuration;
}

} // namespace lacewing
