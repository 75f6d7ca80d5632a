#pragma once

#include "base/metrics.h"
#include "base/scheduler.h"
#include "fakes/adapter_loader.h"
#include "fakes/adapter_slots.h"
#include "fakes/engine_batch.h"
#include "fakes/engine_options.h"
#include "fakes/fault_settings.h"
#include "fakes/forbidden_text.h"
#include "transport/http_server.h"

#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/// The model engine's protocol of docs/upstream-protocol.md over the models of batching and residency.
class EngineHttp {
public:
    /// @param scheduler, loader must outlive this object.
    /// @param faults receives the settings; must not be used after this object is gone.
    EngineHttp(Scheduler& scheduler, const EngineOptions& options, AdapterLoader& loader,
        const std::vector<std::string>& forbiddenTexts, FaultSettings& faults);

    void handle(const std::shared_ptr<HttpExchange>& exchange);
    /// @return all counters in the Prometheus text format.
    std::string metricsText();

private:
    struct Answer;

    void complete(const std::shared_ptr<HttpExchange>& exchange, bool isChat);
    std::optional<GenerationRequest> parse(const HttpExchange& exchange, bool isChat, bool& stream);
    void sendToken(Answer& answer, int64_t index, const std::string& text);
    void sendEnd(Answer& answer, const GenerationEnd& end);
    void load(const std::shared_ptr<HttpExchange>& exchange);
    void unload(const std::shared_ptr<HttpExchange>& exchange);
    void showStatus(HttpExchange& exchange);
    void showCacheEvents(HttpExchange& exchange);
    void refuse(HttpExchange& exchange, const EngineError& error);

    EngineOptions m_options;
    EngineFaults m_faults;
    MetricsRegistry m_metrics;
    AdapterSlots m_slots;
    EngineBatch m_batch;
    ForbiddenText m_forbidden;
    EngineError m_lastError;
};

} // namespace lacewing
