#pragma once

#include "replay/caller_request.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Reads and writes traces in the line-based form of docs/trace-format.md.
class TraceFile {
public:
    /// @param text the content of a trace file.
    /// @return the requests in order of time, or nothing; lastError() then names the line.
    std::optional<std::vector<CallerRequest>> parse(const std::string& text);

    static std::string format(const std::vector<CallerRequest>& requests);

    const std::string& lastError() const { return m_lastError; }

private:
    std::string m_lastError;
};

} // namespace lacewing
