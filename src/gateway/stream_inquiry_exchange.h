#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "gateway/peer_message.h"
#include "stream_inquiry/stream_inquiry.h"

#include <functional>
#include <map>
#include <optional>

namespace lacewing::gateway {

/// Asks all connected peers which version has begun a stream, and answers such questions of peers.
///
/// Load pattern: see StreamInquiry.
class StreamInquiryExchange {
public:
    using Callback = std::function<void(const std::optional<stream_inquiry::StreamBegin>& begin)>;

    struct Handlers {
        std::function<stream_inquiry::FleetReach()> fleet;
        /// @return what this host knows of a stream; of the service alone without a name.
        std::function<stream_inquiry::StreamKnowledge(
            const ServiceId& service, const std::optional<StreamName>& name)>
            knowledge;
        std::function<void(const HostId& peer, const PeerMessage& message)> send;
    };

    /// @param scheduler must outlive the exchange.
    StreamInquiryExchange(Scheduler& scheduler, Handlers handlers);

    /// @param name nothing if the caller names no stream.
    /// @param callback called in this call or later, with nothing if the peers can't tell.
    void inquire(const ServiceId& service, const std::optional<StreamName>& name, Callback callback);
    /// Handles the messages of peers that concern inquiries, and ignores the others.
    void onMessage(const HostId& peer, const PeerMessage& message);

private:
    struct Pending {
        stream_inquiry::StreamInquiry inquiry;
        Callback callback;
    };

    void answered(const HostId& peer, const PeerStreamAnswer& answer);
    void complete(StreamQueryId query);

    Scheduler& m_scheduler;
    Handlers m_handlers;
    StreamQueryId m_lastQuery;
    std::map<StreamQueryId, Pending> m_pending;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
