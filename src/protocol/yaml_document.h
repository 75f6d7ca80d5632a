#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// A place in a file.
struct FileLocation {
    std::string file;
    /// Counts from 1; 0 stands for the whole file.
    int line = 0;
};

/// Something that is wrong at a place in a file.
struct FileProblem {
    FileLocation location;
    std::string what;
    /// What to write instead.
    std::string instead;

    /// @return "file:line: what; write instead".
    std::string text() const;
};

/// A YAML value that knows where it was written.
struct YamlValue {
    enum class Kind { Null, Scalar, Sequence, Map };

    Kind kind = Kind::Null;
    FileLocation location;
    std::string scalar;
    std::vector<YamlValue> items;
    std::map<std::string, YamlValue> members;

    /// @return the kind as a noun with its article, for messages.
    const char* kindName() const;
};

/// Reads YAML files and lays one over the other. Anchors, aliases, duplicate keys and keys that are no
/// scalars are problems.
class YamlDocument {
public:
    /// @param file name of the file, for messages.
    /// @return the root, or nothing if the text is not YAML; see problems().
    std::optional<YamlValue> parse(const std::string& file, const std::string& text);

    /// Lays an overlay over a base: maps merge by key, `null` deletes a key, everything else replaces.
    ///
    /// @param path where the maps are, for messages; empty at the root.
    void merge(YamlValue& base, const YamlValue& overlay, const std::string& path = "");

    /// @return everything that was wrong in all calls.
    const std::vector<FileProblem>& problems() const { return m_problems; }

private:
    std::vector<FileProblem> m_problems;
};

} // namespace lacewing
