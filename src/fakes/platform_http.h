#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "base/scheduler.h"
#include "fakes/fault_settings.h"
#include "fakes/held_exchanges.h"
#include "fakes/host_list.h"
#include "fakes/json_fields.h"
#include "fakes/peak_rate.h"
#include "fakes/table_store.h"
#include "fakes/weight_store.h"
#include "transport/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace lacewing {

struct PlatformOptions {
    WeightStoreOptions weights;
    Duration hostListLag = std::chrono::seconds(3);
    /// Decides which answers are lost and which loads fail.
    uint64_t seed = 1;
};

/// The platform's protocol of docs/upstream-protocol.md over in-memory models, with faults for each service.
class PlatformHttp {
public:
    /// @param scheduler must outlive this object.
    /// @param faults receives the settings of the services; must not be used after this object is gone.
    PlatformHttp(Scheduler& scheduler, const PlatformOptions& options, FaultSettings& faults);

    void handle(const std::shared_ptr<HttpExchange>& exchange);
    /// @return all counters in the Prometheus text format.
    std::string metricsText();

private:
    struct Answer {
        int status = 200;
        std::string body = "{}";
        std::string type = "application/json";
    };
    using Reply = std::function<void(Answer)>;
    /// Takes effect when called, and gives the answer now or later.
    using Action = std::function<void(const Reply&)>;

    /// One of the services, with its faults.
    struct Service {
        explicit Service(const char* serviceName)
            : name(serviceName)
        {
        }

        std::string name;
        bool down = false;
        bool silent = false;
        double slowMilliseconds = 0;
        double loseAnswers = 0;
        PeakRate reads;
        PeakRate writes;
        PeakRate calls;
    };

    void addFaults(FaultSettings& faults, Service& service);
    void serve(Service& service, bool isWrite, const std::shared_ptr<HttpExchange>& exchange, Action action);
    void finish(
        Service& service, bool isWrite, const std::shared_ptr<HttpExchange>& exchange, const Answer& answer);
    void count(Service& service, bool isWrite);

    void serveTable(const std::shared_ptr<HttpExchange>& exchange);
    void serveObject(const std::shared_ptr<HttpExchange>& exchange);
    void serveWeights(const std::shared_ptr<HttpExchange>& exchange);
    Answer read(const std::string& body);
    Answer list(const std::string& body);
    Answer commit(const std::string& body);
    Answer object(const HttpExchange& exchange, const std::string& hash);
    void load(const Reply& reply);

    Scheduler& m_scheduler;
    Random m_random;
    TableStore m_tableStore;
    HostList m_hosts;
    WeightStore m_weightStore;
    std::map<std::string, std::string> m_objectBytes;
    HeldExchanges m_held;
    MetricsRegistry m_metrics;
    Service m_table { "table" };
    Service m_objects { "objects" };
    Service m_weights { "weights" };
    Service m_hostList { "hosts" };
    double m_loadFailures = 0;
};

} // namespace lacewing
