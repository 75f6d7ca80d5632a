#pragma once

#include "base/scheduler.h"
#include "gateway/configuration_tracker.h"
#include "gateway/peer_message.h"
#include "gateway/upstream_directory.h"
#include "gateway/upstream_limits.h"

#include <functional>

namespace lacewing::gateway {

/// Connects the limits of cold upstreams to a host's state: passes on rows, configuration, responses and
/// peers' statements, ends limits in time, logs their changes and tells peers what responses state.
class WarmUpControl {
public:
    struct Handlers {
        std::function<void(const PeerMessage& message)> sendToAll;
        /// The rate at which an upstream may get requests has changed.
        std::function<void(const UpstreamId& upstream)> onChange;
    };

    /// All must outlive the control.
    WarmUpControl(Scheduler& scheduler, WarmUpLimits& warmUp, const UpstreamLimits& limits,
        const UpstreamDirectory& upstreams, const ConfigurationTracker& configuration, Handlers handlers);
    ~WarmUpControl() { m_scheduler.cancel(m_timer); }
    WarmUpControl(const WarmUpControl&) = delete;
    WarmUpControl& operator=(const WarmUpControl&) = delete;

    /// Handles a change of the upstreams or of the configuration.
    void refresh();
    /// Handles a cold time that a response has stated.
    void observed(const ColdStatement& statement);
    /// Handles a cold time that a peer has told.
    void told(const ColdStatement& statement);
    /// @return whether this host may grant other hosts' requests to the upstream.
    bool mayDecide(const UpstreamId& upstream) const;

private:
    /// Begins and ends limits, and sets the timer for the next end.
    void update();
    static void log(const ColdChange& change);

    Scheduler& m_scheduler;
    WarmUpLimits& m_warmUp;
    const UpstreamLimits& m_limits;
    const UpstreamDirectory& m_upstreams;
    const ConfigurationTracker& m_configuration;
    Handlers m_handlers;
    MonotonicTime m_started;
    /// The rows that the first read of the table brought have been taken over.
    bool m_hasReadTable = false;
    TimerId m_timer = 0;
};

} // namespace lacewing::gateway
