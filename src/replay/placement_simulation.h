#pragma once

#include "base/random.h"
#include "base/virtual_scheduler.h"
#include "coordination/adapter_residency.h"
#include "coordination/upstream_health.h"
#include "coordination/upstream_selector.h"
#include "replay/batch_engine.h"
#include "replay/load_limiter.h"
#include "replay/offline_bound.h"
#include "replay/placement_trace.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lacewing {

enum class SelectorKind { Random, LeastQueue, Rendezvous, BoundedLoad };

/// What is compared.
struct PlacementPolicy {
    std::string name;
    SelectorKind selector = SelectorKind::BoundedLoad;
    bool fairQueue = true;
    bool costAwareEviction = true;
};

/// What became of one request of the trace.
struct PlacementRecord {
    TraceRequest request;
    /// When the owner first got it, its first token came, and its last one. Unset if that did not happen.
    std::optional<MonotonicTime> arrivedAt;
    std::optional<MonotonicTime> firstTokenAt;
    std::optional<MonotonicTime> finishedAt;
    /// Whether it had to wait for a load, and until when.
    bool stalled = false;
    std::optional<MonotonicTime> loadedAt;
    /// Reason code; empty unless refused.
    std::string refusal;
    int moves = 0;
};

/// Result of one run.
struct PlacementResult {
    std::vector<PlacementRecord> records;
    /// Arrivals per engine, for the offline bound.
    std::vector<std::vector<AdapterArrival>> arrivals;
    BatchEngine::Sums engineSums;
    size_t loads = 0;
    size_t evictions = 0;
};

/// Discrete-event simulation of several entries, the owners and the engines on virtual time, around the real
/// queue, residency, selector and health classes.
class PlacementSimulation {
public:
    PlacementSimulation(const PlacementDeployment& deployment, const PlacementPolicy& policy,
        TraceScenario scenario, const PlacementTrace& trace, uint64_t seed);
    ~PlacementSimulation();

    PlacementResult run();

private:
    struct Engine;
    struct Entry;

    struct Request {
        size_t entry = 0;
        std::set<UpstreamId> excluded;
        int remainingTokens = 0;
        std::optional<size_t> engine;
    };

    void addEngines();
    void addEntries();
    std::unique_ptr<UpstreamSelector> makeSelector();
    std::unique_ptr<RequestQueue> makeQueue() const;
    std::unique_ptr<AdapterResidency> makeResidency(size_t engine, FencingNumber fence);
    void scheduleNextArrival();
    void place(size_t index);
    void arrive(size_t index, size_t engine);
    void retryElsewhere(size_t index, size_t engine);
    void refuse(size_t index, const std::string& reason);
    void pump(size_t engine);
    void sendOrders(size_t engine);
    void startReady(size_t engine);
    void sendOrder(size_t engine, const AdapterOrder& order);
    void loadEnded(size_t engine, const AdapterOrder& order, bool failed);
    void moveWaiters(size_t engine, const AdapterKey& adapter);
    void requestDone(size_t engine, size_t index);
    void expire(size_t engine);
    void tick();
    void report();
    void restartOne();
    void boot(size_t engine);
    void resetSums();

    PlacementDeployment m_deployment;
    PlacementPolicy m_policy;
    TraceScenario m_scenario;
    const PlacementTrace& m_trace;
    Random m_random;
    VirtualScheduler m_scheduler;
    LoadLimiter m_limiter;
    std::vector<AdapterKey> m_adapters;
    std::map<AdapterKey, int> m_adapterNumbers;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<Request> m_requests;
    PlacementResult m_result;
    size_t m_nextArrival = 0;
    size_t m_firstToPump = 0;
};

} // namespace lacewing
