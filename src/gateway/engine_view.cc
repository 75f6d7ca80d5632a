#include "gateway/engine_view.h"

#include "gateway/prefix_savings.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// Prompt tokens per millisecond; lower bound for owners that report no prefill rate.
constexpr double minimumPrefillRate = 1;
/// Upper bound of the random error in the ranking; beyond it, replicas of adapters would follow the error
/// instead of the load.
constexpr Duration maximumBacklogError = std::chrono::milliseconds(1000);

} // namespace

EngineView::EngineView(const Clock& clock, const UpstreamDirectory& upstreams, const FleetAgent& fleet,
    const PeerMesh& mesh, const OwnedEngines& owners, const UpstreamPicker& picker, HostId self,
    DataCentreId dataCentre)
    : m_clock(clock)
    , m_upstreams(upstreams)
    , m_fleet(fleet)
    , m_mesh(mesh)
    , m_owners(owners)
    , m_picker(picker)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

std::optional<HostId> EngineView::ownerOf(const UpstreamId& engine) const
{
    if (m_owners.owns(engine))
        return m_self;
    // Heartbeats announce a new owner sooner than the store.
    if (const auto* published = m_mesh.engine(engine))
        return published->owner;
    const auto record = m_fleet.registry().owner(engine, m_clock.now());
    // A restarted peer does not own the engines in the ownership records of its previous incarnation.
    if (!record || record->host == m_self || !m_mesh.isInTouch(record->host, record->incarnation))
        return std::nullopt;
    return record->host;
}

bool EngineView::entryHolds(const UpstreamEntry& entry, const AdapterRef& adapter)
{
    for (const HeldModel& model : entry.models) {
        if (model.model != adapter.model)
            continue;
        if (adapter.adapter.empty())
            return true;
        for (const HeldAdapter& held : model.adapters) {
            if (held.adapter == adapter.adapter)
                return true;
        }
    }
    return false;
}

std::vector<EngineCandidate> EngineView::candidates(const ServiceId& service, const AdapterRef& adapter,
    const std::set<UpstreamId>& excluded, const UpstreamFilter& filter, Tokens prompt)
{
    const MonotonicTime now = m_clock.now();
    const Duration updateInterval = std::min(m_mesh.heartbeatInterval(), maximumBacklogError);
    std::vector<EngineCandidate> candidates;
    for (const UpstreamEntry* entry : m_upstreams.usable(service, filter)) {
        if (excluded.count(entry->id) > 0 || m_upstreams.restLeft(*entry) > Duration::zero())
            continue;
        EngineCandidate candidate;
        candidate.engine = entry->id;
        candidate.isInCallersDataCentre = entry->dataCentre == m_dataCentre;
        candidate.isSuspect = m_picker.isSuspect(entry->id, now);
        const auto own = m_owners.summary(entry->id);
        const PeerStates::Engine* published = own ? nullptr : m_mesh.engine(entry->id);
        if (!own && !published) {
            candidate.hasOwner = ownerOf(entry->id).has_value();
            candidate.holdsAdapter = entryHolds(*entry, adapter);
            candidate.openSlots = 1;
            EngineSummary unknown;
            unknown.promptTokensPerMillisecond = PrefillRate().tokensPerMillisecond();
            candidate.setPromptTime(prompt, unknown, Duration::zero());
            candidates.push_back(std::move(candidate));
            continue;
        }
        const EngineSummary& summary = own ? *own : published->summary;
        const bool holdsModel
            = std::find(summary.models.begin(), summary.models.end(), adapter.model) != summary.models.end();
        if (!summary.isUsable || !holdsModel)
            continue;
        candidate.hasOwner = true;
        candidate.applySummary(summary, adapter);
        candidate.setPromptTime(prompt, summary, published ? now - published->heard : Duration::zero());
        candidate.hasCopy = own ? m_owners.hasCopy(entry->id, adapter) : m_mesh.hasCopy(entry->id, adapter);
        if (published) {
            candidate.updateInterval = updateInterval;
            const auto recorded = m_recordedRequests.find(entry->id);
            if (recorded != m_recordedRequests.end() && recorded->second.heard == published->heard) {
                candidate.prefillBacklog += PrefillRate::prefillTime(recorded->second.prompts,
                    std::max(minimumPrefillRate, summary.promptTokensPerMillisecond));
                candidate.limitWait += recorded->second.count * summary.startInterval;
            }
        }
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

bool EngineView::addPrefixSavings(std::vector<EngineCandidate>& candidates, const AdapterRef& adapter,
    const std::vector<PromptPart>& parts, Tokens prompt, Duration timeUntilLate) const
{
    if (!m_usesPromptAffinity || parts.empty())
        return false;
    PrefixSavings savings(adapter, parts, prompt, timeUntilLate);
    for (const EngineCandidate& candidate : candidates) {
        if (auto own = m_owners.sharedPrefixes(candidate.engine)) {
            const affinity::PrefixDigest digest(std::move(own->recent));
            savings.add(candidate, { own->memoryFill, digest }, Duration::zero());
            continue;
        }
        const PeerStates::Engine* published = m_mesh.engine(candidate.engine);
        const bool isStated = published && published->summary.prefixes;
        savings.add(candidate, isStated ? *published->summary.prefixes : affinity::PrefixStatement(),
            isStated ? m_clock.now() - published->heard : Duration::zero());
    }
    return savings.apply(candidates);
}

void EngineView::recordRequest(const UpstreamId& engine, Tokens prompt)
{
    if (m_owners.owns(engine))
        return;
    const auto* published = m_mesh.engine(engine);
    if (!published)
        return;
    RecordedRequests& recorded = m_recordedRequests[engine];
    if (recorded.heard != published->heard)
        recorded = { published->heard, Tokens(0), 0 };
    recorded.prompts += prompt;
    ++recorded.count;
}

} // namespace lacewing::gateway
