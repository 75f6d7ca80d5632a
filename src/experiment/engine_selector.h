#pragma once

#include "gateway/engine_chooser.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::experiment {

/// A policy that orders engines for a request.
class EngineSelector {
public:
    virtual ~EngineSelector() = default;

    /// @return the engines to ask, best first.
    virtual std::vector<UpstreamId> rank(const gateway::AdapterRef& adapter,
        const std::vector<gateway::EngineCandidate>& candidates, Random& random) const = 0;
};

/// A policy that is compared.
struct Arm {
    std::string name;
    std::shared_ptr<const EngineSelector> selector;
    /// What an engine states of its slowdown, from its index, its slowdown and the time; null: the truth.
    std::function<std::optional<double>(size_t engine, double slowdown, MonotonicTime now)> statement
        = nullptr;
    /// The setting promptAffinity.
    bool usesPromptAffinity = false;
};

/// @return the gateway's own policy first, then what it is compared with: the same without errors of
/// judgement between updates, the engine with the shortest queue, and fixed homes.
std::vector<Arm> allArms();
/// @return the gateway's own policy without and with the setting promptAffinity.
std::vector<Arm> promptArms();

} // namespace lacewing::experiment
