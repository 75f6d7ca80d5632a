#pragma once

#include "base/scheduler.h"
#include "coordination/membership.h"

#include <map>

namespace lacewing {

/// Requests links on demand, for traffic from this daemon to peers to which it has no permanent link. This
/// matters in fleets above the full-mesh limit; in smaller ones all peers are linked anyway. A link is
/// requested at the first attempt to send a message; the request ends after idleTime without another.
class LinkDemand {
public:
    /// A link is no longer requested after this time without an attempt to send a message.
    static constexpr Duration idleTime = std::chrono::seconds(60);

    /// @param clock, membership must outlive the object.
    LinkDemand(const Clock& clock, Membership& membership)
        : m_clock(clock)
        , m_membership(membership)
    {
    }

    /// Records an attempt to send a message to a peer, whether or not a link exists.
    void recordSendAttempt(const HostId& peer);
    /// Withdraws requests for links that are idle for idleTime. Should be called about once a second.
    void expire();

    size_t size() const { return m_lastSendAttempt.size(); }

private:
    const Clock& m_clock;
    Membership& m_membership;
    std::map<HostId, MonotonicTime> m_lastSendAttempt;
};

} // namespace lacewing
