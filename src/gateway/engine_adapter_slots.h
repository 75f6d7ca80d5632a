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

/// An order for an adapter, or for a whole model if the adapter is empty.
struct PlannedOrder {
    AdapterOrder::Action action = AdapterOrder::Action::Load;
    AdapterRef adapter;
    int64_t expectedSequence = 0;
};

/// The places for adapters of one engine, as far as orders, their answers and the engine's reports tell.
///
/// Load pattern: many adapters share few places. A place in use is never taken away; among the idle ones the
/// adapter that was asked for least in the recent past goes.
///
/// Has no clock and does no input or output.
class EngineAdapterSlots {
public:
    /// @param loads must outlive the places.
    explicit EngineAdapterSlots(FetchLimiter& fetchLimiter)
        : m_fetchLimiter(fetchLimiter)
    {
    }
    /// Fetches that are under way no longer count.
    ~EngineAdapterSlots() { abandonFetches(); }
    EngineAdapterSlots(const EngineAdapterSlots&) = delete;
    EngineAdapterSlots& operator=(const EngineAdapterSlots&) = delete;

    void setCapacity(int slots) { m_capacity = slots; }
    /// Versions of adapters that operators have named; only these are present for requests.
    void setRelease(const AdapterRef& adapter, int64_t version);
    /// @return the version that operators have named, or nothing.
    std::optional<int64_t> release(const AdapterRef& adapter) const;

    /// @return whether the adapter has a place, in whatever state.
    bool has(const AdapterRef& adapter) const { return m_slots.count(adapter) > 0; }
    /// @return whether requests may start on the adapter.
    bool isPresent(const AdapterRef& adapter) const;
    /// @return when a load that is under way is expected to end, or nothing if there is none.
    std::optional<MonotonicTime> expectedLoadEnd(const AdapterRef& adapter) const;
    bool hasFreeSlot() const { return static_cast<int>(m_slots.size()) < m_capacity; }
    int loading() const;
    /// @param awaited adapters that requests wait for; their places are not open.
    /// @return places that are free or hold an adapter without a request.
    int openCount(const std::set<AdapterRef>& awaited) const;
    /// @return whether the engine has dropped the adapter lately and so loads it faster.
    bool hasCachedCopy(const AdapterRef& adapter) const { return m_copies.has(adapter); }
    Duration loadTime(const AdapterRef& adapter) const;
    /// @return adapters that are present or being loaded.
    std::vector<AdapterSummary> summaries() const;

    /// A request starts on an adapter that is present.
    void addUser(const AdapterRef& adapter) { ++m_slots.at(adapter).users; }
    /// A request has ended.
    ///
    /// @return whether the place has become idle.
    bool removeUser(const AdapterRef& adapter);
    /// The engine says that it does not hold an adapter that seemed to be present.
    void markMissing(const AdapterRef& adapter, MonotonicTime now);

    /// @return an order whose completion must be confirmed by giving it again, or nothing.
    std::optional<PlannedOrder> pendingConfirmation(MonotonicTime now) const;
    /// Begins to drop an idle adapter of a version that operators have replaced.
    std::optional<PlannedOrder> evictOutdated(MonotonicTime now);
    PlannedOrder load(const AdapterRef& adapter, MonotonicTime now);
    /// Begins to drop the idle adapter that was asked for least.
    ///
    /// @param awaited adapters that are not dropped.
    std::optional<PlannedOrder> evictLeastPopular(
        const std::set<AdapterRef>& awaited, const AdapterPopularity& popularity, MonotonicTime now);

    /// An order was accepted or already carried out.
    ///
    /// @return whether the engine has counted it in its sequence.
    bool orderTookEffect(const PlannedOrder& order, OrderOutcome outcome, MonotonicTime now);
    /// What the order was to change is left to the next report.
    void orderWasRefused(const PlannedOrder& order);
    void reported(const EngineReport& report, MonotonicTime now);
    /// Fetches that are under way no longer count, since the engine is out of reach.
    void abandonFetches();

private:
    enum class State {
        Loading,
        Present,
        /// An order to unload was given and has not been confirmed.
        Unloading,
    };

    struct Slot {
        State state = State::Loading;
        int64_t version = 0;
        int users = 0;
        /// The engine has accepted the order that the state stands for.
        bool isAccepted = false;
        /// When to ask whether the order is complete.
        MonotonicTime confirmAt;
        MonotonicTime changedAt;
        /// The adapter comes from the weight store, since the engine has no copy.
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
    /// Adapters that were dropped lately, which a report may still show.
    std::map<AdapterRef, MonotonicTime> m_recentlyUnloaded;
};

} // namespace lacewing::gateway
