#pragma once

#include "gateway/adapter_popularity.h"
#include "gateway/cached_adapters.h"
#include "gateway/engine_control.h"
#include "gateway/engine_summary.h"
#include "gateway/fetch_limiter.h"
#include "gateway/upstream_entry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// An order to load or unload an adapter, or a base model if the adapter is empty.
struct PlannedOrder {
    AdapterOrder::Action action = AdapterOrder::Action::Load;
    AdapterRef adapter;
    int64_t expectedSequence = 0;
};

/// Tracks the adapter slots of one engine from the orders sent, their outcomes and the engine's reports.
///
/// Load pattern: many adapters share few slots. A slot in use is never evicted; among the idle ones the
/// adapter with the lowest recent demand is.
///
/// Has no clock and does no I/O.
class EngineAdapterSlots {
public:
    /// @param fetchLimiter must outlive the slots.
    explicit EngineAdapterSlots(FetchLimiter& fetchLimiter)
        : m_fetchLimiter(fetchLimiter)
    {
    }
    /// Releases the fetches in progress at the limiter.
    ~EngineAdapterSlots() { abandonFetches(); }
    EngineAdapterSlots(const EngineAdapterSlots&) = delete;
    EngineAdapterSlots& operator=(const EngineAdapterSlots&) = delete;

    void setCapacity(int slots) { m_capacity = slots; }
    /// Sets the minimum version of an adapter that operators have released; older ones do not count as
    /// present.
    void setRelease(const AdapterRef& adapter, int64_t version);
    /// @return the version that operators have released, or nothing.
    std::optional<int64_t> release(const AdapterRef& adapter) const;

    /// @return whether the adapter occupies a slot, in any state.
    bool has(const AdapterRef& adapter) const { return m_slots.count(adapter) > 0; }
    /// @return whether requests may start on the adapter.
    bool isPresent(const AdapterRef& adapter) const;
    /// @return when the load in progress is expected to complete, or nothing if there is none.
    std::optional<MonotonicTime> expectedLoadEnd(const AdapterRef& adapter) const;
    bool hasFreeSlot() const { return static_cast<int>(m_slots.size()) < m_capacity; }
    int loading() const;
    /// @param awaited adapters with waiting requests; their slots do not count as open.
    /// @return slots that are free or hold an idle adapter.
    int openCount(const std::set<AdapterRef>& awaited) const;
    /// @return whether the engine unloaded the adapter recently and so loads it faster, from a cached copy.
    bool hasCachedCopy(const AdapterRef& adapter) const { return m_copies.has(adapter); }
    Duration loadTime(const AdapterRef& adapter) const;
    /// @return adapters that are loaded or loading.
    std::vector<AdapterSummary> summaries() const;

    /// Counts a request that starts on a present adapter.
    void addUser(const AdapterRef& adapter) { ++m_slots.at(adapter).users; }
    /// Counts the end of a request.
    ///
    /// @return whether the slot has become idle.
    bool removeUser(const AdapterRef& adapter);
    /// Handles an engine's answer that it does not hold an adapter recorded as present.
    void markMissing(const AdapterRef& adapter, MonotonicTime now);

    /// @return an order to repeat in order to confirm its completion, or nothing.
    std::optional<PlannedOrder> pendingConfirmation(MonotonicTime now) const;
    /// Starts to unload an idle adapter whose version operators have replaced.
    std::optional<PlannedOrder> evictOutdated(MonotonicTime now);
    PlannedOrder load(const AdapterRef& adapter, MonotonicTime now);
    /// Starts to unload the idle adapter with the lowest recent demand.
    ///
    /// @param awaited adapters that must not be unloaded.
    std::optional<PlannedOrder> evictLeastPopular(
        const std::set<AdapterRef>& awaited, const AdapterPopularity& popularity, MonotonicTime now);

    /// Handles an order that the engine accepted or had already executed.
    ///
    /// @return whether the engine has counted it in its sequence.
    bool orderTookEffect(const PlannedOrder& order, OrderOutcome outcome, MonotonicTime now);
    /// Handles an order that the engine refused; the next report tells the actual state.
    void orderWasRefused(const PlannedOrder& order);
    void reported(const EngineReport& report, MonotonicTime now);
    /// Releases the fetches in progress at the limiter, since the engine is unreachable.
    void abandonFetches();

private:
    enum class State {
        Loading,
        Present,
        /// An order to unload was sent and has not been confirmed.
        Unloading,
    };

    struct Slot {
        State state = State::Loading;
        int64_t version = 0;
        int users = 0;
        /// The engine has accepted the order that led to the current state.
        bool isAccepted = false;
        /// When to check whether the order is complete.
        MonotonicTime confirmAt;
        MonotonicTime changedAt;
        /// The adapter is fetched from the weight store, since the engine has no cached copy.
        bool isFetch = false;
        MonotonicTime loadStarted;
    };
    using Slots = std::map<AdapterRef, Slot>;

    bool isCurrent(const AdapterRef& adapter, const Slot& slot) const;
    bool isOverCapacity() const { return static_cast<int>(m_slots.size()) > m_capacity; }
    void beginUnload(Slot& slot, MonotonicTime now);
    void abandonFetch(Slot& slot);
    void erase(Slots::iterator slot);
    void unloaded(const AdapterRef& adapter, MonotonicTime now);
    bool wasRecentlyUnloaded(const AdapterRef& adapter, MonotonicTime now) const;
    void addReported(const AdapterRef& adapter, int64_t version, State state, MonotonicTime now);

    FetchLimiter& m_fetchLimiter;
    int m_capacity = 0;
    std::map<AdapterRef, int64_t> m_releases;
    Slots m_slots;
    CachedAdapters m_copies;
    /// Recently unloaded adapters, which a lagging report may still list.
    std::map<AdapterRef, MonotonicTime> m_recentlyUnloaded;
};

} // namespace lacewing::gateway
