#pragma once

#include "base/scheduler.h"
#include "coordination/membership.h"

#include <map>

namespace lacewing {

/// Keeps links to the peers that this daemon sends work to, in a fleet in which not all daemons are linked. A
/// link is asked for when a message finds none, and given up when nothing was sent for a while.
class LinkDemand {
public:
    /// Time without a message after which a link is not kept any more.
    static constexpr Duration idleTime = std::chrono::seconds(60);

    /// @param clock, membership must outlive the object.
    LinkDemand(const Clock& clock, Membership& membership)
        : m_clock(clock)
        , m_membership(membership)
    {
    }

    /// Notes that a message for a peer was to be sent, whether or not there was a link.
    void needed(const HostId& peer);
    /// Gives up links that were idle for too long. Called every second or so.
    void expire();

    size_t size() const { return m_lastNeeded.size(); }

private:
    const Clock& m_clock;
    Membership& m_membership;
    std::map<HostId, MonotonicTime> m_lastNeeded;
};

} // namespace lacewing
