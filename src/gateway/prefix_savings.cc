#include "gateway/prefix_savings.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

affinity::PromptPrefixes prefixesOf(const AdapterRef& adapter, const std::vector<PromptPart>& parts)
{
    affinity::PromptPrefixes prefixes(adapter.model, adapter.adapter);
    for (const PromptPart& part : parts)
        prefixes.append(part.id, part.tokens);
    return prefixes;
}

} // namespace

PrefixSavings::PrefixSavings(
    const AdapterRef& adapter, const std::vector<PromptPart>& parts, Tokens prompt, Duration timeUntilLate)
    : m_needsAdapter(!adapter.adapter.empty())
    , m_affinity({ prefixesOf(adapter, parts), prompt, timeUntilLate })
{
}

void PrefixSavings::add(
    const EngineCandidate& candidate, const affinity::PrefixStatement& statement, Duration age)
{
    affinity::PrefixAffinity::Engine engine;
    if (statement.digest && (!m_needsAdapter || candidate.holdsAdapter))
        engine.digest = *statement.digest;
    engine.age = age;
    engine.memoryFill = statement.memoryFill;
    engine.wait = std::max(candidate.prefillBacklog, candidate.limitWait);
    engine.tokensPerMillisecond = candidate.promptTokensPerMillisecond;
    m_affinity.observe(engine);
    m_engines.push_back(std::move(engine));
}

bool PrefixSavings::apply(std::vector<EngineCandidate>& candidates) const
{
    for (size_t index = 0; index < std::min(candidates.size(), m_engines.size()); ++index)
        candidates[index].prefixSaving = m_affinity.netSaving(m_engines[index]);
    return m_affinity.sharedTokens() > Tokens(0);
}

} // namespace lacewing::gateway
