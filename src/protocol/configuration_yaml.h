#pragma once

#include "protocol/yaml_document.h"
#include "state/configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// A YAML file that has been read.
struct YamlSource {
    /// Name of the file, for messages.
    std::string file;
    std::string text;
};

/// Reads a configuration from a base file and the overlays of sites. Every problem of all files is collected,
/// so that an operator can repair them at once.
class ConfigurationYaml {
public:
    /// @param overlays laid over the base in this order.
    /// @return the configuration with revision 0, or nothing if there is any problem; see problems().
    std::optional<Configuration> parse(const YamlSource& base, const std::vector<YamlSource>& overlays);

    /// @return what was wrong in the last parse(), by file and line.
    const std::vector<FileProblem>& problems() const { return m_problems; }

private:
    std::vector<FileProblem> m_problems;
};

} // namespace lacewing
