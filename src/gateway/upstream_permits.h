#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "gateway/peer_message.h"
#include "gateway/request_pacer.h"
#include "gateway/upstream_limits.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace lacewing::gateway {

/// Whether a request may be sent to an upstream with a limit.
struct PermitAnswer {
    bool isGranted = false;
    /// If granted, the time after which the request may be sent, otherwise the time after which it may be
    /// worth asking again.
    Duration wait {};
};

/// Grants requests to those upstreams with a limit that no owner schedules.
///
/// Load pattern: an upstream takes one request per second or less from a whole fleet, so shares of that limit
/// for each host would be useless: most hosts would have a request when their share is spent, and spare
/// shares when they have none. One host decides for each upstream, chosen by rendezvous hashing among the
/// hosts in touch, and promises starts in the order of the requests for them. A promise beyond the time for
/// which the request can wait is refused at once, with the time of the next start. While hosts are out of
/// touch with each other, several may decide for the same upstream; each then grants only the part of the
/// limit that belongs to the hosts in touch with it.
class UpstreamPermits {
public:
    using Callback = std::function<void(const PermitAnswer& answer)>;

    struct Handlers {
        /// @return false if there is no link to the peer.
        std::function<bool(const HostId& peer, const PeerMessage& message)> send;
        /// @return the hosts that can decide, at least one: those in touch that are not stopping.
        std::function<std::set<HostId>()> deciders;
        /// @return the part of the fleet that is in touch, from 0 to 1.
        std::function<double()> shareInTouch;
        /// @return whether this host must not decide, since an owner in touch schedules the requests to the
        /// upstream, or since this host does not know the fleet yet.
        std::function<bool(const UpstreamId& upstream)> mustNotDecide;
    };

    /// @param limits must outlive the permits.
    UpstreamPermits(Scheduler& scheduler, const UpstreamLimits& limits, HostId self, Handlers handlers);

    /// @return the time until which asking for a permit is known to be useless, zero if it is not.
    Duration expectedWait(const UpstreamId& upstream) const;
    /// Asks for permission to send one request. The callback runs in a later iteration of the event loop.
    ///
    /// @param patience time for which the request can wait for its start.
    /// @return the ID for cancel().
    PermitId request(const UpstreamId& upstream, Duration patience, Callback callback);
    /// Withdraws a request whose callback has not run.
    void cancel(PermitId permit) { m_pending.erase(permit); }
    /// Handles a change of an upstream's limit.
    void limitChanged(const UpstreamId& upstream) { m_nextStart.erase(upstream); }
    /// Forgets what is known of all other upstreams.
    void retain(const std::set<UpstreamId>& upstreams);
    /// Handles a message of a peer that asks or answers.
    void peerMessage(const HostId& peer, const PeerMessage& message);

private:
    struct PendingPermit {
        UpstreamId upstream;
        MonotonicTime asked;
        Callback callback;
    };

    /// @return the host that decides for an upstream.
    HostId decider(const UpstreamId& upstream) const;
    PermitAnswer decide(const UpstreamId& upstream, Duration patience);
    void deliver(PermitId permit, PermitAnswer answer);

    Scheduler& m_scheduler;
    const UpstreamLimits& m_limits;
    HostId m_self;
    Handlers m_handlers;
    int64_t m_nextPermit = 1;
    std::map<PermitId, PendingPermit> m_pending;
    /// Of the upstreams for which this host decides.
    std::map<UpstreamId, RequestPacer> m_pacers;
    /// Next possible start at upstreams whose permits were refused.
    std::map<UpstreamId, MonotonicTime> m_nextStart;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
