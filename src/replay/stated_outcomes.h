#pragma once

#include "replay/replay_report.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// A bound on one measure of the report.
struct StatedOutcome {
    std::string measure;
    std::optional<double> minimum;
    std::optional<double> maximum;

    /// @return "answered_share: at least 0.99".
    std::string text() const;
};

/// A stated outcome that does not hold.
struct BrokenOutcome {
    StatedOutcome outcome;
    /// Nothing if the report has no such measure.
    std::optional<double> seen;

    std::string text() const;
};

/// Reads the file of stated outcomes and compares a report with it; see docs/trace-format.md.
class StatedOutcomes {
public:
    /// @return false if the text is not valid; see lastError().
    bool parse(const std::string& file, const std::string& text);

    std::vector<BrokenOutcome> broken(const ReplayReport& report) const;

    const std::vector<StatedOutcome>& outcomes() const { return m_outcomes; }
    const std::string& lastError() const { return m_lastError; }

private:
    std::vector<StatedOutcome> m_outcomes;
    std::string m_lastError;
};

} // namespace lacewing
