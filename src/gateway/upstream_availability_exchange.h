#pragma once

#include "base/metrics.h"
#include "gateway/peer_message.h"
#include "gateway/upstream_directory.h"

#include <functional>
#include <string>

namespace lacewing::gateway {

/// Takes over what upstreams say of their availability, from responses and from peers, and tells peers.
///
/// That an upstream is leaving is told to all peers at once and to each new peer, since it is true for all. A
/// host that has heard it from a peer alone acts as if it had seen the response itself. A rest is asked of
/// one host, so peers aren't told, unless the upstream says how many rejections it bears from all of them.
class UpstreamAvailabilityExchange {
public:
    struct Handlers {
        std::function<void(const PeerMessage& message)> sendToAll;
        /// An upstream has turned out to be leaving, or to want a rest, or its rest has ended early.
        std::function<void(const UpstreamId& upstream)> onChange;
    };

    /// All must outlive the exchange.
    UpstreamAvailabilityExchange(
        const Clock& clock, UpstreamDirectory& upstreams, MetricsRegistry& metrics, Handlers handlers);

    /// @param source what was answered: the id of a request, "order" or "report"; for the log.
    void observed(const AvailabilityObservation& observation, const std::string& source);
    /// Takes over the statements that a message carries.
    void onMessage(const HostId& peer, const PeerMessage& message);

private:
    /// @param source the request or the peer; for the log.
    void learnLeaving(const LeavingStatement& statement, StatementOrigin origin, const std::string& source);
    void learnRest(const AvailabilityObservation& observation, const std::string& source);
    /// Lets all hosts slow down.
    void brittleRejected(const AvailabilityObservation& observation, const std::string& source);
    void endRest(const AvailabilityObservation& observation, const std::string& source);

    const Clock& m_clock;
    UpstreamDirectory& m_upstreams;
    MetricsRegistry& m_metrics;
    Handlers m_handlers;
};

} // namespace lacewing::gateway
