#pragma once

#include "base/ids.h"
#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "base/random.h"
#include "reach/reach_evidence.h"
#include "transport/connection_prober.h"

#include <functional>
#include <optional>
#include <vector>

namespace lacewing::reach {

/// An upstream whose link may be tried.
struct ProbeTarget {
    SocketAddress address;
    ServiceId service;
};

/// Decides whether this host reaches the upstreams at all.
///
/// Load pattern: the links of some hosts to all upstreams are cut for seconds. Exchanges give the first
/// signs; then connections to several upstreams of all services are tried, and the links count as cut only if
/// none can be made. They count as whole again once most of the tried upstreams have accepted connections
/// twice in a row, since links may return one by one.
class ReachMonitor {
public:
    struct Handlers {
        std::function<std::vector<ProbeTarget>()> upstreams;
        /// The links to the upstreams have been cut or are whole again.
        std::function<void()> onChange;
    };

    /// @param scheduler, prober, random, evidence must outlive the monitor.
    ReachMonitor(Scheduler& scheduler, ConnectionProber& prober, Random& random, ReachEvidence& evidence,
        Handlers handlers);

    void start() { m_timer.start(); }
    bool reachesUpstreams() const { return !m_cutSince; }
    /// @return time since the links were found to be cut; nothing while they are whole.
    std::optional<Duration> cutFor() const;
    /// @return time since an upstream was last heard or has accepted a connection; nothing if none has.
    std::optional<Duration> heardAge() const { return m_evidence.heardAge(m_scheduler.now()); }
    /// Tries the links unless an upstream was heard a short time ago, because a peer wants to know whether
    /// the upstreams can be reached from elsewhere.
    void confirm();

private:
    struct Round {
        size_t pending = 0;
        size_t tried = 0;
        size_t connected = 0;
    };

    void check();
    void startRound();
    void probed(bool isConnected);
    void roundEnded(const Round& round);
    void setCut(const Round& round);
    void setWhole();
    /// @return some upstreams, of as many services as possible.
    std::vector<ProbeTarget> chooseTargets();

    Scheduler& m_scheduler;
    ConnectionProber& m_prober;
    Random& m_random;
    ReachEvidence& m_evidence;
    Handlers m_handlers;
    std::optional<MonotonicTime> m_cutSince;
    /// The round of attempts that is under way.
    std::optional<Round> m_round;
    MonotonicTime m_nextRound;
    /// Rounds in a row in which most upstreams have accepted connections.
    int m_goodRounds = 0;
    /// Rounds in a row that have not confirmed a suspicion.
    int m_falseAlarms = 0;
    PeriodicTimer m_timer;
    Lifetime m_lifetime;
};

} // namespace lacewing::reach
