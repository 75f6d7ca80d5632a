#pragma once

#include "affinity/prefix_affinity.h"
#include "gateway/engine_chooser.h"

namespace lacewing::gateway {

/// The candidates for a request and what their engines keep of prompts, to be weighed by
/// affinity::PrefixAffinity.
class PrefixSavings {
public:
    PrefixSavings(const AdapterRef& adapter, const std::vector<PromptPart>& parts, Tokens prompt,
        Duration timeUntilLate);

    /// Adds what the engine of the next candidate keeps.
    ///
    /// @param age time since the engine's owner stated it.
    void add(const EngineCandidate& candidate, const affinity::PrefixStatement& statement, Duration age);
    /// Sets the savings of the candidates, which must be those that were added, in the same order.
    ///
    /// @return whether an engine keeps a beginning of the prompt that other requests have used.
    bool apply(std::vector<EngineCandidate>& candidates) const;

private:
    bool m_needsAdapter;
    affinity::PrefixAffinity m_affinity;
    std::vector<affinity::PrefixAffinity::Engine> m_engines;
};

} // namespace lacewing::gateway
