#pragma once

#include "base/virtual_scheduler.h"
#include "experiment/engine_selector.h"
#include "experiment/fleet_result.h"
#include "experiment/load_pattern.h"
#include "experiment/model_engine.h"
#include "experiment/stated_limit.h"
#include "gateway/admission_search.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewing::experiment {

/// Plays one load against a fleet on virtual time: callers, entries that look for engines, owners that run
/// the gateway's EngineScheduler and FetchLimiter, and model engines. The same input gives the same result.
class FleetSimulation {
public:
    FleetSimulation(const FleetShape& shape, LoadPattern pattern, const Arm& arm, uint64_t seed);
    ~FleetSimulation();
    FleetSimulation(const FleetSimulation&) = delete;
    FleetSimulation& operator=(const FleetSimulation&) = delete;

    /// @param arrivals must be those of the same shape.
    FleetResult run(const std::vector<Arrival>& arrivals);

private:
    struct Engine {
        UpstreamId id;
        std::unique_ptr<ModelEngine> model;
        int owner = 0;
        /// Null while the engine has no owner.
        std::unique_ptr<gateway::EngineScheduler> scheduler;
        /// Distinguishes the schedulers that the engine has had.
        int generation = 0;
        TimerId timer = 0;
        /// What the owner told in its last heartbeat, and the number of that heartbeat.
        gateway::EngineSummary told;
        gateway::CachedAdapters copies;
        affinity::PrefixPublisher prefixes;
        /// When the owner's last heartbeat was sent.
        MonotonicTime toldAt;
        int heartbeat = 0;
        StatedLimit limit;
        /// When a host first got a response with a limit.
        std::optional<MonotonicTime> limitTold;
    };

    /// Prompts that a host has sent to an engine since the engine's last heartbeat.
    struct Asked {
        int heartbeat = 0;
        Tokens prompts;
        int64_t count = 0;
    };

    struct Host {
        bool isUp = true;
        std::unique_ptr<gateway::FetchLimiter> loads;
        std::map<size_t, Asked> asked;
        /// Fetches of its engines, as told in its last heartbeat.
        int toldFetches = 0;
    };

    /// One request of a caller, over all its attempts.
    struct Call {
        Arrival arrival;
        MonotonicTime begun;
        MonotonicTime attemptBegun;
        gateway::AdmissionSearch search;
        std::set<UpstreamId> tried;
        /// The engine that was asked last or runs the request.
        size_t engine = 0;
        gateway::RunKey key;
        int attempts = 1;
        int sends = 0;
        std::optional<MonotonicTime> firstEvent;
        bool isRunning = false;
        bool isOver = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    // Callers.
    void begin(const Arrival& arrival);
    void attempt(const CallPointer& call);
    void refuse(const CallPointer& call, Duration retryAfter, const std::string& reason);
    void timeOut(const CallPointer& call);
    void end(const CallPointer& call, double worth, bool isRefusal = false);
    void countOutcome(ClassOutcome& outcome, const Call& call, double worth, bool isRefusal) const;

    // Entries.
    void choose(const CallPointer& call);
    std::vector<gateway::EngineCandidate> candidates(const Call& call) const;
    void addPrefixSavings(std::vector<gateway::EngineCandidate>& candidates, const Call& call) const;
    void publishPrefixes(Engine& engine, gateway::EngineSummary& summary);
    void countReads();
    gateway::EngineCandidate candidate(const Call& call, size_t engine) const;
    void ask(const CallPointer& call, size_t choices);
    void denied(CallPointer call, const gateway::RunDenial& denial);
    void send(const CallPointer& call, int urgency);
    void runEvent(const CallPointer& call, ModelEngine::RunEvent event);
    void report(const Call& call, gateway::RunOutcome outcome);

    // Owners.
    void startOwner(size_t engine, int host);
    void loseOwner(size_t engine);
    void carryOut(size_t engine);
    void giveOrder(size_t engine, const gateway::PlannedOrder& order);
    void heartbeat(size_t host);
    /// Runs something at an engine's owner one link delay from now, unless the owner has changed by then.
    void atOwner(size_t engine, std::function<void(gateway::EngineScheduler& scheduler)> action);

    // Faults.
    void scheduleFaults();
    /// Slows an uneven engine or ends that, and schedules the next change.
    void toggleSlowdown(size_t engine);
    /// @return the slowdown that an engine states in a response; nothing if it states none.
    std::optional<double> statedSlowdown(size_t engine) const;
    void killHost(size_t host);
    /// Counts a request, an order or a report request against the engine's limit.
    void requestArrived(size_t engine);
    void stateLimits(std::optional<RequestRate> rate);
    /// Tells the engine's owner the limit that the engine states in a response.
    void limitTold(size_t engine);

    const RequestClass& classOf(const Call& call) const { return m_shape.classes[call.arrival.requestClass]; }
    gateway::AdapterRef adapterOf(const Call& call) const;
    void count(const Call& call, double worth);
    void countInto(Share& share, const Call& call, double worth) const;

    FleetShape m_shape;
    LoadPattern m_pattern;
    Arm m_arm;
    Random m_random;
    /// Of their own, so that the stretches are the same under each policy.
    Random m_stretches;
    VirtualScheduler m_scheduler;
    WeightStore m_store;
    std::vector<Host> m_hosts;
    std::vector<Engine> m_engines;
    std::map<gateway::RunKey, CallPointer> m_calls;
    int64_t m_nextRun = 1;
    FleetResult m_result;
};

} // namespace lacewing::experiment
