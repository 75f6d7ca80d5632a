#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace lacewing {

/// An adapter in the list of an engine.
struct LoadedAdapter {
    std::string name;
    /// Requests that run on it.
    int running = 0;
};

/// What an engine says about itself.
struct EngineStatus {
    /// Differs after each restart.
    std::string bootId;
    /// Highest fencing number that the engine has seen.
    FencingNumber fencingNumber;
    std::vector<LoadedAdapter> adapters;
    int slots = 0;
    /// Lagging load report.
    int running = 0;
    int waiting = 0;
};

} // namespace lacewing
