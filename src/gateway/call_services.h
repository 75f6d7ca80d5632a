#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "base/scheduler.h"
#include "gateway/call_admission.h"
#include "gateway/call_attributes.h"
#include "gateway/configuration_tracker.h"
#include "gateway/engine_view.h"
#include "gateway/plain_upstream_selector.h"
#include "gateway/quarantine_exchange.h"
#include "gateway/response_memory.h"
#include "gateway/retry_allowance.h"
#include "gateway/run_broker.h"
#include "gateway/stream_versions.h"
#include "gateway/upstream_directory.h"
#include "gateway/upstream_limits.h"
#include "gateway/upstream_permits.h"
#include "gateway/upstream_picker.h"
#include "gateway/workspace_rate_limiter.h"
#include "transport/http_client.h"

namespace lacewing::gateway {

/// Components that proxied calls share. All must outlive the calls.
struct CallServices {
    Scheduler& loop;
    HttpClient& client;
    const CallTranslator& translator;
    const ConfigurationTracker& configuration;
    const UpstreamDirectory& upstreams;
    EngineView& engines;
    RunBroker& broker;
    UpstreamPicker& picker;
    const UpstreamLimits& limits;
    UpstreamAvailability& availability;
    UpstreamPermits& permits;
    PlainUpstreamSelector& plainSelector;
    WorkspaceRateLimiter& usage;
    const CallAdmitter& admitter;
    RetryAllowance& retries;
    QuarantineExchange& quarantine;
    ResponseMemory& responseMemory;
    StreamVersions& streamVersions;
    MetricsRegistry& metrics;
    Random& random;
    /// Sends the workspaces' usage to all peers before the next heartbeat.
    std::function<void()> reportUsage;
    /// Handles what a response says about the limit of its upstream.
    std::function<void(const LimitObservation& observation, const std::string& requestId)> limitObserved;
    /// Handles what a response says about the availability of its upstream.
    std::function<void(const AvailabilityObservation& observation, const std::string& requestId)>
        availabilityObserved;
    /// False once the host drains, since a new stream could be cut off by the end of the process.
    bool acceptsStreams = true;
    /// When the process ends; set once the host stops.
    std::optional<MonotonicTime> stopDeadline = std::nullopt;
};

} // namespace lacewing::gateway
