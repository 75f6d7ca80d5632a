#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "base/scheduler.h"
#include "gateway/call_admission.h"
#include "gateway/call_attributes.h"
#include "gateway/configuration_keeper.h"
#include "gateway/engine_view.h"
#include "gateway/retry_allowance.h"
#include "gateway/run_broker.h"
#include "gateway/upstream_directory.h"
#include "gateway/upstream_picker.h"
#include "gateway/workspace_rate_limiter.h"
#include "transport/http_client.h"

namespace lacewing::gateway {

/// What callers' requests use. All outlive the requests.
struct CallServices {
    Scheduler& loop;
    HttpClient& client;
    const CallTranslator& translator;
    const ConfigurationKeeper& configuration;
    const UpstreamDirectory& upstreams;
    EngineView& engines;
    RunBroker& broker;
    UpstreamPicker& picker;
    WorkspaceRateLimiter& usage;
    const CallAdmitter& admitter;
    RetryAllowance& retries;
    MetricsRegistry& metrics;
    Random& random;
    DataCentreId dataCentre;
    /// Tells all peers at once what workspaces have spent here.
    std::function<void()> reportUsage;
    /// False shortly before the process ends, when a stream that starts would be cut off.
    bool acceptsStreams = true;
};

} // namespace lacewing::gateway
