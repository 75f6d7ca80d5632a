#pragma once

#include "gateway/adapter_copies.h"
#include "gateway/adapter_popularity.h"
#include "gateway/engine_control.h"
#include "gateway/engine_summary.h"
#include "gateway/load_limiter.h"
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
class EnginePlaces {
public:
    /// @param loads must outlive the places.
    explicit EnginePlaces(LoadLimiter& loads)
        : m_loads(loads)
    {
    }
    /// Fetches that are under way no longer count.
    ~EnginePlaces() { abandonLoads(); }
    EnginePlaces(const EnginePlaces&) = delete;
    EnginePlaces& operator=(const EnginePlaces&) = delete;

    void setCapacity(int places) { m_capacity = places; }
    /// Versions of adapters that operators have named; only these are present for requests.
    void setRelease(const AdapterRef& adapter, int64_t version);
    /// @return the version that operators have named, or nothing.
    std::optional<int64_t> release(const AdapterRef& adapter) const;

    /// @return whether the adapter has a place, in whatever state.
    bool has(const AdapterRef& adapter) const { return m_places.count(adapter) > 0; }
    /// @return whether requests may start on the adapter.
    bool isPresent(const AdapterRef& adapter) const;
    /// @return when a load that is under way is expected to end, or nothing if there is none.
    std::optional<MonotonicTime> loadEnd(const AdapterRef& adapter) const;
    bool hasFree() const { return static_cast<int>(m_places.size()) < m_capacity; }
    int loading() const;
    /// @param awaited adapters that requests wait for; their places are not open.
    /// @return places that are free or hold an adapter without a request.
    int open(const std::set<AdapterRef>& awaited) const;
    /// @return whether the engine has dropped the adapter lately and so loads it faster.
    bool isWarm(const AdapterRef& adapter) const { return m_copies.has(adapter); }
    Duration loadTime(const AdapterRef& adapter) const;
    /// @return adapters that are present or being loaded.
    std::vector<AdapterSummary> summaries() const;

    /// A request starts on an adapter that is present.
    void use(const AdapterRef& adapter) { ++m_places.at(adapter).users; }
    /// A request has ended.
    ///
    /// @return whether the place has become idle.
    bool unuse(const AdapterRef& adapter);
    /// The engine says that it does not hold an adapter that seemed to be present.
    void missing(const AdapterRef& adapter, MonotonicTime now);

    /// @return an order whose completion must be confirmed by giving it again, or nothing.
    std::optional<PlannedOrder> confirmation(MonotonicTime now) const;
    /// Begins to drop an idle adapter of a version that operators have replaced.
    std::optional<PlannedOrder> replaceOutdated(MonotonicTime now);
    PlannedOrder load(const AdapterRef& adapter, MonotonicTime now);
    /// Begins to drop the idle adapter that was asked for least.
    ///
    /// @param awaited adapters that are not dropped.
    std::optional<PlannedOrder> dropLeastPopular(
        const std::set<AdapterRef>& awaited, const AdapterPopularity& popularity, MonotonicTime now);

    /// An order was accepted or already carried out.
    ///
    /// @return whether the engine has counted it in its sequence.
    bool orderTookEffect(const PlannedOrder& order, OrderOutcome outcome, MonotonicTime now);
    /// What the order was to change is left to the next report.
    void orderWasRefused(const PlannedOrder& order);
    void reported(const EngineReport& report, MonotonicTime now);
    /// Fetches that are under way no longer count, since the engine is out of reach.
    void abandonLoads();

private:
    enum class State {
        Loading,
        Present,
        /// An order to unload was given and has not been confirmed.
        Unloading,
    };

    struct Place {
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
    using Places = std::map<AdapterRef, Place>;

    bool isCurrent(const AdapterRef& adapter, const Place& place) const;
    bool isOverfull() const { return static_cast<int>(m_places.size()) > m_capacity; }
    void beginUnload(Place& place, MonotonicTime now);
    void endLoading(Place& place);
    void erase(Places::iterator place);
    void dropped(const AdapterRef& adapter, MonotonicTime now);
    bool wasDroppedLately(const AdapterRef& adapter, MonotonicTime now) const;
    void addReported(const AdapterRef& adapter, int64_t version, State state, MonotonicTime now);

    LoadLimiter& m_loads;
    int m_capacity = 0;
    std::map<AdapterRef, int64_t> m_releases;
    Places m_places;
    AdapterCopies m_copies;
    /// Adapters that were dropped lately, which a report may still show.
    std::map<AdapterRef, MonotonicTime> m_dropped;
};

} // namespace lacewing::gateway
