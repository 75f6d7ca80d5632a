#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing::experiment {

/// Worth that the requests of a group could earn, and did.
struct Share {
    double owed = 0;
    double earned = 0;
    int requests = 0;
    int served = 0;

    /// @return earned worth by owed worth; 1 if nothing was owed.
    double worth() const { return owed > 0 ? earned / owed : 1; }
};

/// What became of the requests of a class.
struct ClassOutcome {
    int requests = 0;
    int onTime = 0;
    int late = 0;
    /// Came back after a refusal.
    int returned = 0;
    /// Refused, and not served after a return either.
    int refused = 0;
    /// Of these: refused once more after the caller came back.
    int refusedAgain = 0;
    /// Admitted and then not served in time, or lost with an engine.
    int failed = 0;
    /// Total time that the refused requests had waited.
    Duration waitedInVain {};
};

/// Outcome of one simulated run.
struct FleetResult {
    Share all;
    /// By "class/...", "size/...", "data-centre/...", "workspace/..." and "rank/...", the popularity of the
    /// adapter.
    std::map<std::string, Share> groups;
    std::map<std::string, ClassOutcome> classes;
    /// "hot" for the workspace that sends more in some patterns, and "others".
    std::map<std::string, ClassOutcome> workspaces;
    /// By second of arrival.
    std::vector<Share> seconds;
    /// Times from the first attempt to the first event, of the requests that were served.
    std::vector<Duration> waits;
    std::map<std::string, int> refusals;
    int fetches = 0;
    /// Reading time of each engine of a single run.
    std::vector<double> busySeconds;
    /// Prompt tokens of all requests, and those that an engine read although one had read them before for the
    /// same adapter.
    Tokens promptTokens;
    Tokens tokensReadAgain;
    /// Digests of kept prefixes that owners sent to each peer, in bytes.
    size_t digestBytes = 0;
    /// Reading time of the busiest engine by the mean of all.
    double busiestByMean = 0;
    /// Largest number of requests that an engine with a limit got by the number that it allowed; 0 if no
    /// limit was stated.
    double worstLimitRatio = 0;

    /// @return the worth of the worst group whose name begins with a prefix.
    double worst(const std::string& prefix) const;
    /// @return the worth over the two worst seconds.
    double worstSeconds() const;
    /// @return a quantile of the waits in milliseconds; 0 if nothing was served.
    double waitMilliseconds(double quantile) const;
};

} // namespace lacewing::experiment
