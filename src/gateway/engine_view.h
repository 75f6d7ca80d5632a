#pragma once

#include "gateway/engine_chooser.h"
#include "gateway/fleet_agent.h"
#include "gateway/owned_engines.h"
#include "gateway/peer_mesh.h"
#include "gateway/upstream_directory.h"
#include "gateway/upstream_picker.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// This host's view of the engines, combined from their owners' heartbeats, its own schedulers, the engines'
/// entries in the store and the requests that it has sent since.
class EngineView {
public:
    /// All must outlive the view.
    EngineView(const Clock& clock, const UpstreamDirectory& upstreams, const FleetAgent& fleet,
        const PeerMesh& mesh, const OwnedEngines& owners, const UpstreamPicker& picker, HostId self,
        DataCentreId dataCentre);

    /// @param excluded engines that have denied the request.
    /// @param filter of the upstreams that the request may be sent to.
    /// @param prompt length of the request's prompt.
    std::vector<EngineCandidate> candidates(const ServiceId& service, const AdapterRef& adapter,
        const std::set<UpstreamId>& excluded, const UpstreamFilter& filter, Tokens prompt);
    /// Sets whether candidates are weighed by what their engines keep of the request's prompt.
    void setPromptAffinity(bool isEnabled) { m_usesPromptAffinity = isEnabled; }
    /// Sets the candidates' savings by what their engines keep of the prompt, unless the setting is off.
    ///
    /// @return whether an engine keeps a beginning of the prompt that other requests have used.
    bool addPrefixSavings(std::vector<EngineCandidate>& candidates, const AdapterRef& adapter,
        const std::vector<PromptPart>& parts, Tokens prompt, Duration timeUntilLate) const;
    /// @return the host that grants runs on an engine, or nothing if no owner is reachable.
    std::optional<HostId> ownerOf(const UpstreamId& engine) const;
    /// Adds a request to the engine's backlog until the owner's next heartbeat includes it.
    void recordRequest(const UpstreamId& engine, Tokens prompt);

private:
    struct RecordedRequests {
        MonotonicTime heard;
        Tokens prompts;
        int64_t count = 0;
    };

    static bool entryHolds(const UpstreamEntry& entry, const AdapterRef& adapter);

    const Clock& m_clock;
    const UpstreamDirectory& m_upstreams;
    const FleetAgent& m_fleet;
    const PeerMesh& m_mesh;
    const OwnedEngines& m_owners;
    const UpstreamPicker& m_picker;
    HostId m_self;
    DataCentreId m_dataCentre;
    std::map<UpstreamId, RecordedRequests> m_recordedRequests;
    bool m_usesPromptAffinity = false;
};

} // namespace lacewing::gateway
