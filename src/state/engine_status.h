#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace lacewing {

/// An adapter that an engine reports as loaded.
struct LoadedAdapter {
    std::string name;
    /// Number of requests that are running on this adapter.
    int running = 0;
};

/// Status that an engine reports.
struct EngineStatus {
    /// Identifies the engine process; changes with each restart.
    std::string bootId;
    /// Highest fencing number that the engine has received.
    FencingNumber fencingNumber;
    std::vector<LoadedAdapter> adapters;
    /// Number of adapters that the engine can keep loaded at the same time.
    int slots = 0;
    /// Number of running requests. Like `waiting`, it lags behind the actual load.
    int running = 0;
    /// Number of requests in the engine's queue.
    int waiting = 0;
};

} // namespace lacewing
