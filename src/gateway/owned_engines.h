#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "gateway/configuration_tracker.h"
#include "gateway/engine_control.h"
#include "gateway/engine_scheduler.h"
#include "gateway/upstream_directory.h"

#include <functional>
#include <map>
#include <memory>

namespace lacewing::gateway {

/// Runs the schedulers of the engines that this host owns: sends their orders and passes their grants and
/// denials to the requesting hosts.
class OwnedEngines {
public:
    struct Handlers {
        std::function<void(const RunGrant& grant)> onGrant;
        std::function<void(const RunDenial& denial)> onDenial;
        /// An engine refused an order because it has seen a higher fencing number.
        std::function<void(const UpstreamId& engine)> onFenced;
        /// @return whether orders may be sent now.
        std::function<bool()> mayOrder;
        /// An order or a report request is sent to an engine; the kind is "order" or "report".
        std::function<void(const UpstreamId& engine, const char* kind)> onEngineRequest;
        /// @return the rate at which this host may grant runs on an engine; nothing without a limit.
        std::function<std::optional<RequestRate>(const UpstreamId& engine)> requestRate;
        /// @return the speed that the former owner of an engine published last; nothing if it published none.
        std::function<std::optional<speed::LearnedSpeed>(const UpstreamId& engine)> formerSpeed = nullptr;
    };

    OwnedEngines(Scheduler& scheduler, EngineControl& control, const UpstreamDirectory& upstreams,
        const ConfigurationTracker& configuration, HostId self, Handlers handlers);
    ~OwnedEngines();

    /// Sets the policy of the schedulers that start after this.
    void setOverloadPolicy(OverloadPolicy policy) { m_overloadPolicy = policy; }

    void claimed(const UpstreamId& engine, FencingNumber fencingNumber);
    /// Orders get another fencing number from now on; what waits and runs stays.
    void renumbered(const UpstreamId& engine, FencingNumber fencingNumber);
    void lost(const UpstreamId& engine);
    bool owns(const UpstreamId& engine) const { return m_engines.count(engine) > 0; }

    void request(const UpstreamId& engine, RunRequest request);
    void runProgressed(const UpstreamId& engine, const RunKey& key, std::optional<double> slowdown);
    void runEnded(const UpstreamId& engine, const RunKey& key, RunEnding ending);
    void hostLost(const HostId& host);

    void released(const AdapterRelease& release);
    /// Handles a change of the rate at which runs on an engine may be granted.
    void requestRateChanged(const UpstreamId& engine);
    /// Handles a change of the rates of several engines.
    void requestRatesChanged();
    /// Handles a change of the upstreams or the configuration.
    void refresh();
    std::vector<EngineSummary> summaries() const;
    /// @return nothing if this host does not run the engine's scheduler.
    std::optional<EngineSummary> summary(const UpstreamId& engine) const;
    /// @return what an engine keeps of shared prompts; nothing if this host does not run its scheduler.
    std::optional<affinity::SharedPrefixes> sharedPrefixes(const UpstreamId& engine) const;
    /// Adds to summaries what the engines keep of shared prompts.
    ///
    /// @param isForAll the summaries go to all peers, so that changes suffice.
    void addPrefixes(std::vector<EngineSummary>& summaries, bool isForAll);
    /// @return whether an engine that this host owns keeps a cached copy of an adapter that it unloaded.
    bool hasCopy(const UpstreamId& engine, const AdapterRef& adapter) const;
    /// @return whether an order was sent that has neither been answered nor timed out.
    bool hasOutstandingOrders() const { return m_outstandingOrders > 0; }
    FetchLimiter& fetchLimiter() { return m_fetchLimiter; }

private:
    struct OwnedEngine {
        FencingNumber fencingNumber;
        int64_t startedAt = 0;
        std::unique_ptr<EngineScheduler> scheduler;
        TimerId timer = 0;
        /// Identifies the scheduler, so that answers to calls of a previous one are ignored.
        uint64_t generation = 0;
        affinity::PrefixPublisher prefixes;
    };

    OwnedEngine* find(const UpstreamId& engine);
    /// @return the owned engines as a copy, since handlers may change the set.
    std::vector<UpstreamId> ownedIds() const;
    void startScheduler(const UpstreamId& engine, OwnedEngine& owned);
    /// Tells a scheduler whether its engine is leaving or resting.
    void applyAvailability(const UpstreamEntry& entry, EngineScheduler& scheduler) const;
    void denyWaiting(const EngineScheduler& scheduler, RunRefusal reason);
    void applyDecisions(const UpstreamId& engine);
    void sendOrder(const UpstreamId& engine, const PlannedOrder& planned);
    void orderAnswered(const UpstreamId& engine, uint64_t generation, OrderOutcome outcome);
    void requestReport(const UpstreamId& engine);
    std::optional<EngineLimits> limitsOf(const UpstreamEntry& entry) const;

    Scheduler& m_scheduler;
    EngineControl& m_control;
    const UpstreamDirectory& m_upstreams;
    const ConfigurationTracker& m_configuration;
    HostId m_self;
    Handlers m_handlers;
    OverloadPolicy m_overloadPolicy = OverloadPolicy::Arrival;
    FetchLimiter m_fetchLimiter;
    std::map<UpstreamId, OwnedEngine> m_engines;
    uint64_t m_nextGeneration = 1;
    /// Orders that were sent and have neither been answered nor timed out.
    int m_outstandingOrders = 0;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
