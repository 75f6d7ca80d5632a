#pragma once

#include "state/configuration.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace lacewing {

/// Converts between configurations and JSON. Entries are members of objects by their id, numbers are in the
/// unit of the struct, and object members are sorted, so equal configurations have equal text.
class ConfigurationJson {
public:
    /// What to do with members of entries that this version doesn't know.
    enum class UnknownMembers {
        Refuse,
        /// Lets a daemon read what a newer version has written, while hosts are replaced one after the other.
        Ignore,
    };

    explicit ConfigurationJson(UnknownMembers unknownMembers = UnknownMembers::Refuse)
        : m_unknownMembers(unknownMembers)
    {
    }

    /// @return everything but the revision.
    static nlohmann::json encode(const Configuration& configuration);
    /// @return one section: "workspaces", "keys", "adapters", "upstreams", "routes" or "loadLimits".
    static nlohmann::json encodeSection(const Configuration& configuration, const std::string& section);

    /// Checks the form only; checkConfiguration() checks the content.
    ///
    /// @return the configuration with revision 0, or nothing; see lastError().
    std::optional<Configuration> decode(const nlohmann::json& json);

    /// Adds the entries of one section to a configuration.
    ///
    /// @return false if the form is wrong; see lastError().
    bool decodeSection(const std::string& section, const nlohmann::json& json, Configuration& target);

    const std::string& lastError() const { return m_lastError; }

private:
    template <typename Entry>
    bool decodeEntry(const std::string& path, const nlohmann::json& json, Entry& entry);
    template <typename Entry, typename Add>
    bool decodeEntries(const std::string& section, const nlohmann::json& json, const Add& add);

    UnknownMembers m_unknownMembers;
    std::string m_lastError;
};

} // namespace lacewing
