#pragma once

#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "base/random.h"
#include "coordination/safety_rules.h"
#include "coordination/session_directory.h"
#include "state/table_service.h"

#include <map>

namespace lacewing {

/// Ends the sessions of failed daemons: of peers that name this daemon as guardian and whose heartbeats have
/// stopped, and of any peer whose session row has not changed for its ttl.
///
/// Load pattern: daemons that crash or pause while their session is still valid in the table. Acknowledging a
/// heartbeat promises not to end the session, whether or not the peer's row names this daemon yet. A newly
/// named guardian therefore protects the session holder at once, before it has read the row.
class SessionGuardian {
public:
    /// All references must outlive the object.
    ///
    /// @param self this daemon's current host and incarnation (0 without a session).
    SessionGuardian(HostId host, std::function<Incarnation()> incarnation, Duration guardTtl,
        TableService& table, Scheduler& scheduler, SessionDirectory& directory, const SafetyRules& rules,
        uint64_t seed);

    void start() { m_timer.start(); }

    /// Must be called for each heartbeat, right before it is acknowledged.
    ///
    /// @return the value for HeartbeatAck::guarding: true promises not to end this incarnation's session for
    /// the guard time from now.
    bool promise(const HostId& peer, Incarnation incarnation);

private:
    /// A peer's session, as far as this daemon may end it.
    struct GuardedSession {
        Incarnation incarnation;
        MonotonicTime promisedAt {};
        /// Set once a write that ends the session was sent; it may have taken effect or may still do so.
        bool ending = false;
        bool calling = false;
        /// Row version on which that write is conditional.
        RowVersion endingVersion;
        MonotonicTime retryAt {};
    };

    void tick();
    void endIfAllowed(const SessionEntry& entry, MonotonicTime now);
    bool mayEnd(const SessionEntry& entry, MonotonicTime now);
    GuardedSession& guardedSession(const HostId& host, Incarnation incarnation);
    void endSession(const SessionEntry& entry);
    void onEndSessionReply(const HostId& host);
    bool mayPromise(const HostId& host, const GuardedSession& known) const;

    HostId m_host;
    std::function<Incarnation()> m_incarnation;
    Duration m_guardTtl;
    TableService& m_table;
    Scheduler& m_scheduler;
    SessionDirectory& m_directory;
    const SafetyRules& m_rules;
    Random m_random;
    PeriodicTimer m_timer;
    MonotonicTime m_lastTick {};
    MonotonicTime m_graceUntil {};
    std::map<HostId, GuardedSession> m_guardedSessions;
    uint64_t m_writeCount = 0;
    Lifetime m_lifetime;
};

} // namespace lacewing
