#pragma once

#include "base/random.h"
#include "coordination/adapter_name.h"
#include "coordination/eviction_policy.h"
#include "coordination/request_queue.h"
#include "state/engine_status.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/// State of an engine slot and the adapter name in it.
enum class ResidencyState {
    Loading,
    Resident,
    /// Accepts no new requests and is evicted once its reference count drops to zero.
    Draining,
    /// An eviction order is in flight.
    Evicting,
    /// The response to an order was lost, so the engine may or may not hold the adapter.
    Uncertain,
};

/// Command to load or evict an adapter, which the owner sends to the engine.
struct AdapterOrder {
    enum class Kind { Load, Evict };

    Kind kind = Kind::Load;
    /// Name of the adapter on the engine.
    std::string name;
    AdapterKey adapter;
    /// Whether the owner must take a load permit from the fleet-wide limit before sending the order. An
    /// eviction that frees a slot already takes the permit of the load that follows it, so that no adapter is
    /// evicted for a load that the limit then delays.
    bool takesLoadPermit = false;
    /// Class of the request that needs the load.
    RequestClass requestClass = RequestClass::Interactive;
};

/// Outcome of an order.
enum class OrderResult {
    Done,
    /// The engine reported a failed load (503 load_failed).
    Failed,
    /// The engine has no free slot (507) because it holds adapters that the owner has not yet seen in a
    /// status.
    NoFreeSlot,
    /// The engine rejected the fencing number (409) because a newer owner exists.
    StaleFence,
    /// No response arrived. The order may have taken effect or may still do so.
    Lost,
};

/// Tracks the adapter slots of one engine for its owner and decides which adapters to load and evict.
///
/// Load pattern: requests for many more adapters than the engine has slots, where batch requests compete with
/// interactive ones. An adapter with a reference is never evicted. Eviction happens only when a request waits
/// for another adapter, never on a timer. Adapters that earlier owners loaded under other names are never
/// used; they are evicted as soon as the engine reports no running requests on them.
class AdapterResidency {
public:
    struct Options {
        size_t slots = 1;
        FencingNumber fence;
        /// Whether the engine rejects orders with an outdated fencing number. If not, the fencing number is
        /// part of the adapter names.
        bool checksFencing = false;
        /// Maximum number of concurrent loads on this engine.
        size_t maximumLoads = 2;
        /// Number of slots that batch requests may not pin, so that a load for an interactive request never
        /// has to wait for a long batch request to end.
        size_t interactiveSlots = 0;
        Duration initialBackoff = std::chrono::milliseconds(500);
        Duration maximumBackoff = std::chrono::seconds(30);
        /// How long a request waits for its adapter before another adapter is drained, if all are in use.
        Duration drainDelay = std::chrono::seconds(1);
        /// How long a name is not loaded again after the response to its eviction was lost, because the order
        /// may still reach the engine.
        Duration lostOrderQuarantine = std::chrono::seconds(10);
        uint64_t seed = 1;
    };

    AdapterResidency(Options options, std::unique_ptr<EvictionPolicy> policy);

    /// Updates the slots from the engine's status. A new boot id means that the engine has restarted and lost
    /// all adapters.
    ///
    /// @param requestedAt when the status was requested. Its information about a name is ignored if an order
    /// for that name was sent or completed later.
    /// @return true if the boot id has changed; false for the first status after a takeover.
    bool observe(const EngineStatus& status, MonotonicTime requestedAt);

    /// @return the adapter name to use in requests to the engine.
    std::string nameOf(const AdapterKey& adapter) const;

    /// @return true if a request of the given class may start on the adapter now.
    bool isReady(const AdapterKey& adapter, RequestClass requestClass) const;

    /// Acquires a reference for a request that starts. The use is recorded in the eviction policy here rather
    /// than on arrival, so that a workspace that sends more requests than are served cannot evict the
    /// adapters of others.
    ///
    /// @return false if the adapter is not ready, in which case no reference is acquired.
    bool acquire(const AdapterKey& adapter, RequestClass requestClass, MonotonicTime now);

    /// Releases a reference once the request has ended on the engine. Call it once for each acquire().
    void release(const AdapterKey& adapter, RequestClass requestClass, MonotonicTime now);

    /// Chooses the next order, which the owner must send at once and complete with finished(). Call it
    /// repeatedly until it returns std::nullopt.
    ///
    /// @param queue the waiting requests, which determine the adapters to load and their order.
    /// @param mayLoad whether the fleet-wide limit allows a load for a request of the class. The call itself
    /// takes no permit.
    /// @return the order, or std::nullopt if there is nothing to do now.
    std::optional<AdapterOrder> nextOrder(
        MonotonicTime now, const RequestQueue& queue, const std::function<bool(RequestClass)>& mayLoad);

    /// Applies the outcome of an order.
    void finished(const AdapterOrder& order, OrderResult result, MonotonicTime now);

    /// @return when the backoff of the adapter after failed loads ends; std::nullopt if there is none.
    std::optional<MonotonicTime> retryAt(const AdapterKey& adapter, MonotonicTime now) const;

    /// @return true once the engine has reported a higher fencing number than the owner's. The owner must
    /// then give up the engine.
    bool superseded() const { return m_superseded; }

    /// @return the resident and loading adapters, as reported to the entries.
    std::vector<AdapterKey> resident() const;

    /// @return the value of the adapter that would be evicted next, in requests per second; 0 if a slot is
    /// free, infinity if no adapter can be evicted now.
    double evictionCost(const RequestQueue& queue, MonotonicTime now) const;

    /// @return the number of references to an adapter.
    size_t references(const AdapterKey& adapter) const;

    /// @return the number of slots in use, including those with adapters of earlier owners.
    size_t usedSlots() const { return m_slots.size(); }

private:
    struct Slot {
        AdapterKey adapter;
        ResidencyState state = ResidencyState::Loading;
        /// The name is unusable for this owner: an earlier owner loaded it, or it is not a valid adapter
        /// name.
        bool foreign = false;
        /// Requests of an earlier owner may still be running on the adapter.
        bool mayBeInUse = false;
        /// The load is for a batch request.
        bool loadingForBatch = false;
        /// The adapter was already resident and is loaded again only to make the engine acknowledge the
        /// fencing number.
        bool wasResident = false;
        /// The outcome of an eviction is unknown.
        bool lostEviction = false;
        /// Class of the request that needs the draining slot.
        RequestClass drainedFor = RequestClass::Interactive;
        MonotonicTime lastUse;
        /// When an order for this slot was last sent or completed.
        MonotonicTime changedAt;
    };

    struct References {
        size_t interactive = 0;
        size_t batch = 0;

        size_t total() const { return interactive + batch; }
    };

    struct Backoff {
        int failures = 0;
        MonotonicTime until;
    };

    using Slots = std::map<std::string, Slot>;

    void resetAfterRestart(MonotonicTime requestedAt);
    void removeUnlisted(const EngineStatus& status, MonotonicTime requestedAt);
    void mergeListedAdapter(const LoadedAdapter& listed, MonotonicTime requestedAt);
    void refresh(Slot& slot, const LoadedAdapter& listed, MonotonicTime requestedAt) const;
    bool isForeign(const std::optional<AdapterName>& name) const;
    size_t pinnedByBatch() const;
    bool batchMayPin(const AdapterKey& adapter) const;
    bool batchMayLoad(const AdapterKey& adapter) const;
    bool isIdle(const Slot& slot) const;
    bool mayLoadNow(const AdapterKey& adapter, MonotonicTime now) const;
    size_t countInState(ResidencyState state) const;
    std::optional<AdapterOrder> evictDrained(
        const std::function<bool(RequestClass)>& mayLoad, MonotonicTime now);
    std::optional<AdapterOrder> evictUnusable(MonotonicTime now);
    std::optional<AdapterOrder> orderFor(
        const WaitingAdapter& waiting, const RequestQueue& queue, size_t& assignedSlots, MonotonicTime now);
    AdapterOrder load(const WaitingAdapter& waiting, MonotonicTime now);
    AdapterOrder evict(Slots::value_type& slot, MonotonicTime now);
    AdapterOrder evictForLoad(Slots::value_type& slot, RequestClass requestClass, MonotonicTime now);
    std::optional<AdapterOrder> freeSlotFor(
        const WaitingAdapter& waiting, const RequestQueue& queue, MonotonicTime now);
    bool isEvictable(const Slot& slot) const;
    Slots::value_type* chooseIdleVictim(
        const WaitingAdapter& waiting, const RequestQueue& queue, MonotonicTime now);
    Slots::value_type* chooseDrainVictim(const WaitingAdapter& waiting, MonotonicTime now);
    Slots::value_type* choose(const std::vector<Slots::value_type*>& slots, MonotonicTime now) const;
    void loadFinished(Slots::iterator slot, OrderResult result, MonotonicTime now);
    void evictFinished(Slots::iterator slot, OrderResult result, MonotonicTime now);
    void backOff(const AdapterKey& adapter, MonotonicTime now);

    Options m_options;
    std::unique_ptr<EvictionPolicy> m_policy;
    Random m_random;
    std::string m_bootId;
    /// Whether the engine has seen this owner's fencing number and therefore rejects delayed orders of
    /// earlier owners. Always true for engines that ignore fencing numbers, because there the names differ.
    bool m_fenceAcknowledged;
    bool m_superseded = false;
    Slots m_slots;
    /// Permits of the fleet-wide limit that evictions have taken for loads that have not started yet.
    size_t m_reservedLoadPermits = 0;
    std::map<AdapterKey, References> m_references;
    std::map<AdapterKey, Backoff> m_backoffs;
    /// Eviction times by name, so that a status requested before an eviction does not restore the slot.
    std::map<std::string, MonotonicTime> m_evictedAt;
    /// Names with a lost eviction, and the time until which they are not loaded again.
    std::map<std::string, MonotonicTime> m_lostEvictions;
};

} // namespace lacewing
