#pragma once

#include <cstdint>
#include <string>

namespace lacewing {

/// One caller's request of a trace; see docs/trace-format.md.
struct CallerRequest {
    /// Offset from the start of the replay.
    int64_t atMs = 0;
    /// Id of the caller's key in the configuration; empty on open routes.
    std::string key;
    /// Id of the route in the configuration.
    std::string route;
    /// "adapter" or "adapter@version"; empty for a plain service.
    std::string model;
    /// Size of the prompt, or of the body of a service call, in units of four bytes.
    int64_t promptTokens = 0;
    /// Content of the prompt or body.
    uint64_t seed = 0;
    int64_t maximumTokens = 0;
    bool stream = false;
    /// Idempotency key; empty for none.
    std::string requestId;
    /// Where the caller is.
    std::string dataCentre;
    /// Which host of the ranking the caller uses, counted from 0, modulo the number of hosts.
    int64_t hostRank = 0;
    /// The caller leaves after this many tokens; 0 for never.
    int64_t cancelAfterTokens = 0;
};

} // namespace lacewing
