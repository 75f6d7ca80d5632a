#pragma once

#include "coordination/session_row.h"

namespace lacewing {

/// The rules that guarantee exclusive ownership of leases. Tests override one rule at a time to show that
/// their checks detect the violation; the daemon always uses these implementations.
class SafetyRules {
public:
    virtual ~SafetyRules() = default;

    /// @return the minimum time that a guardian waits after acknowledging a heartbeat before it ends the
    /// session. It exceeds the holder's validity by 1 % to allow for clock drift between the two hosts.
    virtual Duration promise(Duration guardTtl) const { return guardTtl + guardTtl / 100; }

    /// @return the time from which an acknowledged heartbeat extends the holder's validity.
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
