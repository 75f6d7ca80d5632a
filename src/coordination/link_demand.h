#pragma once

#include "base/scheduler.h"
#include "coordination/membership.h"

#include <map>

namespace lacewing {

/// Opens links on demand in fleets above the full-mesh limit, for daemons that send work to peers that aren't
/// their ring neighbours. A link is requested when a message is to be sent, and dropped after idleTime.
class LinkDemand {
public:
    /// A link is dropped after this time without a message.
    static constexpr Duration idleTime = std::chrono::seconds(60);

    /// @param clock, membership must outlive the object.
    LinkDemand(const Clock& clock, Membership& membership)
        : m_clock(clock)
        , m_membership(membership)
    {
    }

    /// Records an attempt to send a message to a peer, whether or not a link exists.
    void recordSendAttempt(const HostId& peer);
    /// Drops links that have been idle for idleTime. Called about once a second.
    void expire();

    size_t size() const { return m_lastSendAttempt.size(); }

private:
    const Clock& m_clock;
    Membership& m_membership;
    std::map<HostId, MonotonicTime> m_lastSendAttempt;
};

} // namespace lacewing
