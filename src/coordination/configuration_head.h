#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Key of the table row that identifies the current configuration.
inline constexpr const char* configurationHeadKey = "config/head";

/// Value of the row `config/head`.
struct ConfigurationHead {
    Revision revision;
    ContentHash hash;
    /// Write ids of the most recent revisions, latest first. A submitter that did not get a response uses
    /// them to find out whether it created a revision, even if later revisions have followed.
    std::vector<std::string> writeIds;

    /// @return the head of the next revision.
    ConfigurationHead next(const ContentHash& nextHash, const std::string& writeId) const;
    /// @return the write id that created the revision, or std::nullopt if it is no longer kept or does not
    /// exist.
    std::optional<std::string> writeIdOf(Revision wanted) const;

    std::string text() const;
    /// @return std::nullopt if the text is malformed.
    static std::optional<ConfigurationHead> parse(const std::string& text);
};

} // namespace lacewing
