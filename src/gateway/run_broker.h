#pragma once

#include "gateway/owned_engines.h"
#include "gateway/peer_mesh.h"

#include <functional>
#include <map>
#include <optional>
#include <variant>

namespace lacewing::gateway {

/// Answer of an engine's owner to a run request.
using RunAnswer = std::variant<RunGrant, RunDenial>;

/// Sends run requests to the engine's owner, which may be this host, and returns the answers. Requests whose
/// owner becomes unreachable are denied.
class RunBroker {
public:
    using Callback = std::function<void(const RunAnswer& answer)>;

    /// @param limits must outlive the broker.
    RunBroker(Scheduler& scheduler, const UpstreamLimits& limits, HostId self);

    /// Both must outlive the broker.
    void connect(OwnedEngines& owners, PeerMesh& mesh);

    /// Requests a run from the owner of an engine. The callback runs in a later iteration of the event loop.
    ///
    /// @param request its key is filled in.
    /// @return the ID for progressed() and ended().
    RunId ask(const HostId& owner, const UpstreamId& engine, RunRequest request, Callback callback);
    /// @param slowdown that the engine has stated in the response.
    void progressed(RunId run, std::optional<double> slowdown);
    /// Ends a granted run, or withdraws a request that has not been answered.
    void ended(RunId run, RunEnding ending);

    // Called by the gateway with events from owners and peers.

    void answered(const RunKey& key, const RunAnswer& answer);
    void peerMessage(const HostId& peer, const PeerMessage& message);
    void peerLost(const HostId& peer);

private:
    struct PendingRun {
        HostId owner;
        UpstreamId engine;
        /// Null after it was called.
        Callback callback;
    };

    void deliver(RunId run, const RunAnswer& answer);
    void requestFromPeer(const HostId& peer, const PeerRunRequest& message);

    Scheduler& m_scheduler;
    const UpstreamLimits& m_limits;
    HostId m_self;
    OwnedEngines* m_owners = nullptr;
    PeerMesh* m_mesh = nullptr;
    int64_t m_nextRun = 1;
    std::map<RunId, PendingRun> m_pendingRuns;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
