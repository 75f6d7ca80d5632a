#pragma once

#include "replay/expected_answer.h"
#include "replay/request_result.h"
#include "replay/upstream_counters.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing {

/// What a replay has shown: named numbers, which the stated outcomes refer to, and the faults in words.
class ReplayReport {
public:
    /// @param before, after counters of the upstreams.
    ReplayReport(const Configuration& configuration, const std::vector<PreparedRequest>& requests,
        const std::vector<RequestResult>& results, const UpstreamCounters& before,
        const UpstreamCounters& after);

    /// @return all measures by name; docs/trace-format.md lists them.
    const std::map<std::string, double>& measures() const { return m_measures; }
    /// @return the measure, or 0 for a refusal code that did not occur; nothing for an unknown name.
    std::optional<double> measure(const std::string& name) const;

    /// @return the report as a table.
    std::string table() const;
    const std::vector<std::string>& faults() const { return m_faults; }

private:
    void findOverlappedCalls();
    bool overlapsRun(size_t attempt, const std::vector<size_t>& sameCall) const;
    void countEndings();
    bool isCounted(size_t request) const;
    void addTimes();
    void addWorkspaces(const Configuration& configuration);
    void addRuns(const UpstreamCounters& before, const UpstreamCounters& after);
    void addQuantiles(const std::string& name, std::vector<Duration> values);
    double answeredShare(const WorkspaceId& workspace) const;

    const std::vector<PreparedRequest>& m_requests;
    const std::vector<RequestResult>& m_results;
    /// Attempts at a call that were told that it is running, and were open while another attempt at it was.
    /// Either may be the one that runs: attempts through two hosts can overtake each other.
    std::vector<bool> m_isOverlapped;
    std::map<std::string, double> m_measures;
    std::vector<std::string> m_faults;
};

} // namespace lacewing
