#pragma once

#include "affinity/prefix_publisher.h"
#include "gateway/engine_adapter_slots.h"
#include "gateway/granted_runs.h"
#include "gateway/overload_policy.h"
#include "gateway/prefill_pacer.h"
#include "gateway/prefix_cache_model.h"
#include "gateway/request_pacer.h"
#include "gateway/run_queue_planner.h"
#include "gateway/run_request.h"
#include "gateway/serving_configuration.h"
#include "gateway/upstream_entry.h"
#include "speed/slowdown_estimate.h"
#include "speed/upstream_speeds.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// Actions that a scheduler requests from its caller.
struct SchedulerDecisions {
    std::vector<RunGrant> grants;
    std::vector<RunDenial> denials;
    std::optional<PlannedOrder> order;
    /// Request a report from the engine.
    bool needsReport = false;
    /// When to call decide() again if no event arrives before.
    std::optional<Duration> reevaluateAfter;
};

/// Schedules the requests of one engine: decides which start and which adapters are loaded and evicted.
///
/// Load pattern: many adapters with skewed popularity share few adapter slots, so slots are the scarce
/// resource. Requests for a loaded adapter start at once; requests for any other adapter share a single load.
/// A slot in use is never evicted; among the idle ones the adapter with the lowest recent demand is. In a
/// burst, requests that can still meet their latency target go before those that can't, and a request that
/// could not start before its deadline is denied on arrival instead of when the deadline passes. An engine in
/// need may state how many requests a second it takes; runs, orders and reports keep within that together.
///
/// Has no clock and does no I/O: each call reports an event, and decide() returns the actions to take.
class EngineScheduler {
public:
    /// @param fetchLimiter shared by the schedulers of a host; must outlive the scheduler.
    EngineScheduler(UpstreamId engine, EngineLimits limits, FetchLimiter& fetchLimiter);
    ~EngineScheduler();
    EngineScheduler(const EngineScheduler&) = delete;
    EngineScheduler& operator=(const EngineScheduler&) = delete;

    const UpstreamId& engine() const { return m_engine; }

    void setLimits(const EngineLimits& limits);
    void setOverloadPolicy(OverloadPolicy policy) { m_policy = policy; }
    /// Sets the rate at which runs may be granted; nothing if the engine states no limit.
    void setRequestRate(std::optional<RequestRate> rate, MonotonicTime now) { m_pacer.setRate(rate, now); }
    /// Sets the minimum version of an adapter that operators have released; requests start only on versions
    /// at least as new.
    void setRelease(const AdapterRef& adapter, int64_t version) { m_slots.setRelease(adapter, version); }

    /// Sets whether the engine is shutting down. If so, its waiting requests are denied, so that they are
    /// placed elsewhere, and it gets neither orders nor requests for reports.
    void setLeaving(bool isLeaving);
    /// Sets until when the engine wants no orders and no requests for reports; nothing if it takes them.
    void setRestEnd(std::optional<MonotonicTime> end) { m_restEnd = end; }

    void request(RunRequest request, MonotonicTime now);
    /// Reports that the first event of a run has arrived from the engine.
    ///
    /// @param slowdown that the engine has stated in the response.
    void runProgressed(const RunKey& key, MonotonicTime now, std::optional<double> slowdown = std::nullopt);
    void runEnded(const RunKey& key, RunEnding ending, MonotonicTime now);
    /// Ends all runs of a host that has failed.
    void hostLost(const HostId& host, MonotonicTime now);

    /// Reports the outcome of the order that decide() returned last.
    void orderAnswered(OrderOutcome outcome, MonotonicTime now);
    /// Reports the answer to needsReport; `report` is empty if the engine did not answer.
    void reportArrived(const std::optional<EngineReport>& report, MonotonicTime now);

    SchedulerDecisions decide(MonotonicTime now);
    EngineSummary summary(MonotonicTime now) const;
    /// Starts from what a former owner of the engine has learned.
    void seedSpeed(const speed::LearnedSpeed& learned, MonotonicTime now);
    /// @return what a further owner starts from; nothing if the engine doesn't state how much it is slowed.
    std::optional<speed::LearnedSpeed> learnedSpeed(MonotonicTime now) const;
    /// @return what the engine keeps of prompts that more than one request has used.
    affinity::SharedPrefixes sharedPrefixes() const;
    /// @return whether the engine keeps a cached copy of an adapter that it unloaded.
    bool hasCopy(const AdapterRef& adapter) const { return m_slots.hasCachedCopy(adapter); }
    bool hasWaitingRuns() const { return !m_waiting.empty(); }
    /// @return the requests that have been neither granted nor denied.
    std::vector<RunKey> waitingRuns() const;

private:
    bool isUsable() const;
    bool needsSlot(const AdapterRef& adapter) const { return !adapter.adapter.empty(); }
    bool isServable(const AdapterRef& adapter) const;
    /// @return prompt tokens that the engine's prefix cache does not hold.
    Tokens uncachedTokens(const RunRequest& request) const;
    /// @return uncached prompt tokens that wait here or are being prefilled by the engine.
    Tokens queuedPrompts() const;
    /// @return time until the engine may get orders; zero if it isn't resting.
    Duration restLeft(MonotonicTime now) const;
    Duration estimateStart(const RunRequest& request, MonotonicTime now) const;
    /// @return the time that the engine takes from now on to prefill so many tokens.
    Duration prefillTime(Tokens tokens, MonotonicTime now) const;
    /// @return the prefill rate at the present slowdown.
    PrefillRate rateNow(MonotonicTime now) const;
    /// @return time until the adapter of a request is loaded, if no load of it has begun.
    Duration expectedLoadWait(const RunRequest& request, MonotonicTime now) const;
    bool isPlanned() const { return m_policy == OverloadPolicy::Priority; }
    /// @return when a request's adapter can be used, as far as is known.
    MonotonicTime readyAt(const RunRequest& request, MonotonicTime now) const;
    /// Orders the waiting requests and denies those that can't start in time.
    void planQueue(bool newcomer, MonotonicTime now);
    std::optional<AdapterRef> nextLoad(MonotonicTime now) const;
    /// @return the adapters that requests up to a level of loadLevel() wait for.
    std::set<AdapterRef> awaitedAdapters(
        MonotonicTime now, int level = std::numeric_limits<int>::max()) const;
    /// @return the priority with which a request's adapter is loaded; 0 for all with OverloadPolicy::Arrival.
    int loadLevel(const RunRequest& request, MonotonicTime now) const;
    int fetchDemand(MonotonicTime now) const;

    /// Keeps an adapter for loading although the limit permits no start in time for the request that named
    /// it.
    void deferLoad(const AdapterRef& adapter, MonotonicTime now);
    /// @return whether the engine has not been used for so long that its limit may have ended unnoticed.
    bool isUnused(MonotonicTime now) const;

    void grantRuns(SchedulerDecisions& decisions, MonotonicTime now);
    /// @return number of orders that must be sent before a run of the adapter can start.
    size_t ordersUntilServable(const AdapterRef& adapter) const;
    /// Denies the requests that can't start in time.
    void denyHopeless(SchedulerDecisions& decisions, MonotonicTime now);
    void planOrder(SchedulerDecisions& decisions, MonotonicTime now);
    std::optional<PlannedOrder> chooseOrder(MonotonicTime now);
    std::optional<PlannedOrder> chooseLoad(MonotonicTime now);
    std::optional<PlannedOrder> chooseModel() const;
    void callAnswered(bool isAnswered);
    void denyAll(RunRefusal reason);

    UpstreamId m_engine;
    EngineLimits m_limits;
    FetchLimiter& m_fetchLimiter;
    std::set<ModelId> m_models;
    EngineAdapterSlots m_slots;
    GrantedRuns m_runs;
    std::vector<RunRequest> m_waiting;
    std::vector<RunDenial> m_denials;
    OverloadPolicy m_policy = OverloadPolicy::Arrival;
    /// The queue has been planned since the last decide().
    bool m_hasNewPlan = false;
    RunQueuePlanner m_planner;
    AdapterPopularity m_popularity;
    /// The rate without a slowdown.
    PrefillRate m_prefillRate;
    speed::SlowdownEstimate m_slowdown;
    PrefillPacer m_prefillPacer;
    RequestPacer m_pacer;
    /// Adapter that is loaded for callers that were told to come back; one at a time, so that loads which
    /// take several seconds do not evict each other.
    struct DeferredLoad {
        AdapterRef adapter;
        MonotonicTime until;
    };
    std::optional<DeferredLoad> m_deferredLoad;
    MonotonicTime m_lastGrant;
    PrefixCacheModel m_prefixCache;
    /// Moving average of the time between two slots becoming idle.
    Duration m_slotTurnover = std::chrono::milliseconds(150);
    MonotonicTime m_lastIdle;
    std::optional<int64_t> m_sequence;
    /// Reports with a lower sequence are outdated and ignored until m_staleReportLimit.
    int64_t m_minimumSequence = 0;
    /// From this time on reports are accepted even with a lower sequence, since the engine may have
    /// restarted.
    MonotonicTime m_staleReportLimit;
    int m_failedOrders = 0;
    /// Consecutive calls that the engine did not answer.
    int m_unansweredCalls = 0;
    bool m_isLeaving = false;
    std::optional<MonotonicTime> m_restEnd;
    /// The engine is loading or unloading a base model.
    bool m_isModelBusy = false;
    std::optional<PlannedOrder> m_order;
    bool m_isReportPending = false;
    MonotonicTime m_nextReport;
    MonotonicTime m_nextOrder;
};

} // namespace lacewing::gateway
