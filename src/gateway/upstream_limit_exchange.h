#pragma once

#include "base/metrics.h"
#include "gateway/peer_message.h"
#include "gateway/upstream_directory.h"
#include "gateway/upstream_limits.h"

#include <functional>

namespace lacewing::gateway {

/// Keeps the hosts' knowledge of upstreams' limits in step: tells peers what this host observes, and takes
/// over what they tell.
///
/// A change is sent to all peers at once, and all limits are sent to a peer that has just connected. Requests
/// for runs and permits carry the limit that their sender knows, so that the host that grants them knows it
/// too, even if it can't reach the host that has observed it.
class UpstreamLimitExchange {
public:
    struct Handlers {
        std::function<void(const PeerMessage& message)> sendToAll;
        /// The limit of an upstream has changed.
        std::function<void(const UpstreamId& upstream)> onChange;
        /// A response has stated the cold time of an upstream.
        std::function<void(const ColdStatement& statement)> onCold;
        /// A peer has told the cold time of an upstream.
        std::function<void(const ColdStatement& statement)> onColdTold;
    };

    /// All must outlive the exchange.
    UpstreamLimitExchange(const Clock& clock, UpstreamLimits& limits, const UpstreamDirectory& upstreams,
        MetricsRegistry& metrics, Handlers handlers);

    /// @param requestId request whose response was observed, for the log.
    void observed(const LimitObservation& observation, const std::string& requestId);
    /// Takes over the limits that a message carries, whatever its type.
    void onMessage(const HostId& peer, const PeerMessage& message);

private:
    /// Logs and counts a change.
    ///
    /// @param source value of the metric's label.
    /// @param sourceField, sourceId the log field that names the request or the peer, and its value.
    void recordChange(const UpstreamLimit& limit, const std::optional<RequestRate>& before,
        const char* source, const char* sourceField, const std::string& sourceId);
    void told(const HostId& peer, const UpstreamLimit& limit);

    const Clock& m_clock;
    UpstreamLimits& m_limits;
    const UpstreamDirectory& m_upstreams;
    MetricsRegistry& m_metrics;
    Handlers m_handlers;
};

} // namespace lacewing::gateway
