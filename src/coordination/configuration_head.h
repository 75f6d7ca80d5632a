#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Key of the table row that names the configuration in force.
inline constexpr const char* configurationHeadKey = "config/head";

/// Value of the row `config/head`.
struct ConfigurationHead {
    Revision revision;
    ContentHash hash;
    /// Write ids of the latest revisions, the latest first. They tell a submitter whose answer was lost
    /// whether it or another one made a revision, also when later ones have followed.
    std::vector<std::string> writeIds;

    /// @return the head that follows this one.
    ConfigurationHead next(const ContentHash& nextHash, const std::string& writeId) const;
    /// @return the write id that made a revision, or nothing if it is too old.
    std::optional<std::string> writeIdOf(Revision wanted) const;

    std::string text() const;
    /// @return nothing if the text is malformed.
    static std::optional<ConfigurationHead> parse(const std::string& text);
};

} // namespace lacewing
