#pragma once

#include "coordination/session_row.h"

namespace lacewing {

/// The rules on which exclusive ownership rests. Tests replace one of them to show that their checks find the
/// violation; the daemon always uses the rules as they are here.
class SafetyRules {
public:
    virtual ~SafetyRules() = default;

    /// @return how long a guardian keeps from ending a session after it acknowledged a heartbeat. It exceeds
    /// the holder's time by 1 % because the two clocks may run at slightly different speeds.
    virtual Duration promise(Duration guardTtl) const { return guardTtl + guardTtl / 100; }

    /// @return from when an acknowledged heartbeat counts for the holder.
    virtual MonotonicTime acknowledgedFrom(MonotonicTime sentAt, MonotonicTime receivedAt) const
    {
        return sentAt;
    }

    /// @return whether the given incarnation of a host can never act again.
    virtual bool isGone(const SessionRow& session, Incarnation incarnation) const
    {
        return session.incarnation > incarnation
            || (session.incarnation == incarnation && session.state == SessionState::Ended);
    }
};

} // namespace lacewing
