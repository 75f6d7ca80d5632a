#pragma once

#include "gateway/engine_adapter_slots.h"
#include "gateway/prefill_pacer.h"
#include "gateway/prefix_cache_model.h"
#include "gateway/run_request.h"
#include "gateway/serving_configuration.h"
#include "gateway/upstream_entry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// What a scheduler wants to be done.
struct SchedulerDecisions {
    std::vector<RunGrant> grants;
    std::vector<RunDenial> denials;
    std::optional<PlannedOrder> order;
    /// The engine's report is needed.
    bool needsReport = false;
    /// When to ask for decisions again without another event.
    std::optional<Duration> reevaluateAfter;
};

/// Decides for one engine which requests start, and which adapters it loads and drops.
///
/// Load pattern: many adapters with skewed popularity share few places, so places are what requests wait for.
/// Requests for an adapter that is present start at once; the others wait together for one load. A place in
/// use is never taken away; among the idle ones the adapter that was asked for least in the recent past goes.
/// In a burst, requests that can still be on time go before those that can't, and a request that could not
/// start in time is refused when it arrives rather than when its deadline passes.
///
/// Has no clock and does no input or output: each call tells what happened, decide() returns what to do.
class EngineScheduler {
public:
    /// @param loads shared by the schedulers of a host; must outlive the scheduler.
    EngineScheduler(UpstreamId engine, EngineLimits limits, FetchLimiter& fetchLimiter);
    ~EngineScheduler();
    EngineScheduler(const EngineScheduler&) = delete;
    EngineScheduler& operator=(const EngineScheduler&) = delete;

    const UpstreamId& engine() const { return m_engine; }

    void setLimits(const EngineLimits& limits);
    /// Versions of adapters that operators have named; requests start on these only.
    void setRelease(const AdapterRef& adapter, int64_t version) { m_slots.setRelease(adapter, version); }

    void request(RunRequest request, MonotonicTime now);
    /// The engine's first event for a run has arrived.
    void runProgressed(const RunKey& key, MonotonicTime now);
    void runEnded(const RunKey& key, RunEnding ending, MonotonicTime now);
    /// Ends all runs of a host that is gone.
    void hostLost(const HostId& host, MonotonicTime now);

    /// Answer to the order that decide() returned last.
    void orderAnswered(OrderOutcome outcome, MonotonicTime now);
    /// Answer to needsReport; nothing if the engine did not answer.
    void reportArrived(const std::optional<EngineReport>& report, MonotonicTime now);

    SchedulerDecisions decide(MonotonicTime now);
    EngineSummary summary(MonotonicTime now) const;
    /// @return whether the engine has a copy of an adapter that it dropped.
    bool hasCopy(const AdapterRef& adapter) const { return m_slots.hasCachedCopy(adapter); }
    bool hasWaitingRuns() const { return !m_waiting.empty(); }
    /// @return requests that wait for a start.
    std::vector<RunKey> waitingRuns() const;

private:
    struct Run {
        RunRequest request;
        /// Prompt tokens that the engine had to read for the run when it was granted.
        Tokens uncachedTokens;
        bool hasProgressed = false;
    };

    bool isUsable() const;
    bool needsSlot(const AdapterRef& adapter) const { return !adapter.adapter.empty(); }
    bool isServable(const AdapterRef& adapter) const;
    bool hasCapacityFor(const RunRequest& request) const;
    /// @return the shortest target pause of the streams that run, or zero if there is none.
    Duration shortestTargetPause() const;
    /// @return prompt tokens that the engine does not keep from earlier runs.
    Tokens uncachedTokens(const RunRequest& request) const;
    Tokens cacheDemand(const RunRequest& request) const;
    /// @return prompt tokens that wait here or are being read at the engine, without those it keeps.
    Tokens queuedPrompts() const;
    Duration estimateStart(const RunRequest& request, MonotonicTime now) const;
    std::optional<AdapterRef> nextLoad(MonotonicTime now) const;
    std::set<AdapterRef> awaitedAdapters() const;
    int fetchDemand() const;

    void grantRuns(SchedulerDecisions& decisions, MonotonicTime now);
    void denyExpired(SchedulerDecisions& decisions, MonotonicTime now);
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
    std::map<RunKey, Run> m_runs;
    std::vector<RunRequest> m_waiting;
    std::vector<RunDenial> m_denials;
    AdapterPopularity m_popularity;
    PrefillRate m_prefillRate;
    PrefillPacer m_prefillPacer;
    PrefixCacheModel m_prefixCache;
    /// Times between two places becoming idle, as a moving average.
    Duration m_slotTurnover = std::chrono::milliseconds(150);
    MonotonicTime m_lastIdle;
    /// Prompt tokens that the engine was given and has not read yet.
    Tokens m_backlog;
    Tokens m_cacheInUse;
    std::optional<int64_t> m_sequence;
    /// A report with a lower sequence is older than what is known already.
    int64_t m_minimumSequence = 0;
    /// When to accept a report even though it seems too old.
    MonotonicTime m_staleReportLimit;
    int m_failedOrders = 0;
    /// Calls in a row that the engine did not answer.
    int m_unansweredCalls = 0;
    /// The engine carries out an order for a whole model.
    bool m_isModelBusy = false;
    std::optional<PlannedOrder> m_order;
    bool m_isReportPending = false;
    MonotonicTime m_nextReport;
    MonotonicTime m_nextOrder;
};

} // namespace lacewing::gateway
