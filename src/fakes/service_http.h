#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "base/scheduler.h"
#include "fakes/fault_settings.h"
#include "fakes/forbidden_text.h"
#include "fakes/held_exchanges.h"
#include "fakes/service_runs.h"
#include "transport/http_server.h"

#include <memory>
#include <string>

namespace lacewing {

struct ServiceOptions {
    Duration serviceTime = std::chrono::milliseconds(20);
    /// New at each start.
    std::string bootId;
    /// Decides which calls a fault strikes.
    uint64_t seed = 1;
    std::vector<std::string> forbiddenTexts;
};

/// A plain service that runs any call and counts its runs.
class ServiceHttp {
public:
    /// @param scheduler must outlive this object.
    /// @param faults receives the settings; must not be used after this object is gone.
    ServiceHttp(Scheduler& scheduler, const ServiceOptions& options, FaultSettings& faults);

    void handle(const std::shared_ptr<HttpExchange>& exchange);
    /// @return all counters in the Prometheus text format.
    std::string metricsText();

private:
    /// What happens to one call.
    enum class Fate { Answered, SilentBefore, SilentAfter, CloseBefore, CloseAfter, Refused };

    Fate drawFate();
    void finish(const std::shared_ptr<HttpExchange>& exchange, Fate fate);

    Scheduler& m_scheduler;
    ServiceOptions m_options;
    Random m_random;
    ForbiddenText m_forbidden;
    HeldExchanges m_held;
    ServiceRuns m_runs;
    MetricsRegistry m_metrics;
    int64_t m_running = 0;
    double m_silentBefore = 0;
    double m_silentAfter = 0;
    double m_closeBefore = 0;
    double m_closeAfter = 0;
    double m_refuse = 0;
    double m_slowMilliseconds = 0;
};

} // namespace lacewing
