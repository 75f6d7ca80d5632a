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

/// State of one name in a slot of an engine.
enum class ResidencyState {
    Loading,
    Resident,
    /// Takes no new requests; evicted once it has no reference.
    Draining,
    /// The order to evict it is under way.
    Evicting,
    /// The answer to an order was lost, so the engine may or may not hold it.
    Uncertain,
};

/// An order that the owner should send to the engine.
struct AdapterOrder {
    enum class Kind { Load, Evict };

    Kind kind = Kind::Load;
    /// Name on the engine.
    std::string name;
    AdapterKey adapter;
    /// Whether the owner must take one load from the fleet-wide limit now. An eviction that makes room takes
    /// the load that follows it, so that no adapter is evicted for a load that the limit then holds back.
    bool takesLoad = false;
    /// Class of the request that the load is for.
    RequestClass requestClass = RequestClass::Interactive;
};

/// Answer of the engine to an order.
enum class OrderResult {
    Done,
    /// The load failed (503 load_failed).
    Failed,
    /// The engine has no free slot (507), because it holds names that its owner has not seen yet.
    NoFreeSlot,
    /// The engine refused the fencing number (409): there is a newer owner.
    StaleFence,
    /// No answer came: the order may have taken effect, or may do so later.
    Lost,
};

/// Slots of one engine, kept by its owner. Decides which adapters to load and which to evict. An adapter with
/// a reference is never evicted, and no timer evicts: an adapter gives way only to one that is waited for,
/// except for names of earlier owners, which are never used and are evicted as soon as the engine reports
/// that nothing runs on them.
class AdapterResidency {
public:
    struct Options {
        size_t slots = 1;
        FencingNumber fence;
        /// Whether the engine refuses orders with an old fencing number. If not, names carry the number.
        bool checksFencing = false;
        /// Loads of this engine that may be in flight at once.
        size_t maximumLoads = 2;
        /// Slots that batch requests may not pin, so that an adapter of an urgent request always finds one
        /// that does not wait for a long batch request to end.
        size_t interactiveSlots = 0;
        Duration initialBackoff = std::chrono::milliseconds(500);
        Duration maximumBackoff = std::chrono::seconds(30);
        /// Wait of an adapter after which another one is drained for it if all are in use.
        Duration drainAfter = std::chrono::seconds(1);
        /// Time after a lost order to evict during which its name is not loaded again, because the order may
        /// still reach the engine.
        Duration lostOrderTime = std::chrono::seconds(10);
        uint64_t seed = 1;
    };

    AdapterResidency(Options options, std::unique_ptr<EvictionPolicy> policy);

    /// Takes in the engine's status: the first one after a take-over, one with a new boot id (the engine lost
    /// all adapters), or a later one.
    ///
    /// @param askedAt when the status was asked for. What it says about a name is ignored if an order for
    /// that name was sent or answered later.
    /// @return true if the engine has a new boot id, which the first status does not count as.
    bool observe(const EngineStatus& status, MonotonicTime askedAt);

    /// @return the name under which requests for the adapter are sent to the engine.
    std::string nameOf(const AdapterKey& adapter) const;

    /// @return true if a request of the class for the adapter may start now.
    bool isReady(const AdapterKey& adapter, RequestClass requestClass) const;

    /// Takes a reference for a request that starts. Only now does the request count for the adapter's value:
    /// a workspace that sends more than is served must not push the adapters of others out.
    ///
    /// @return false if the adapter is not ready; no reference was taken then.
    bool acquire(const AdapterKey& adapter, RequestClass requestClass, MonotonicTime now);

    /// Returns a reference when the request has ended on the engine. Call it once for each acquire().
    void release(const AdapterKey& adapter, RequestClass requestClass, MonotonicTime now);

    /// Chooses the next order and assumes that it is sent at once; the owner calls finished() with its
    /// result. Call again until it returns nothing.
    ///
    /// @param queue tells which adapters are waited for, and in which order.
    /// @param mayLoad whether the fleet-wide limit on loads allows one for a request of the class. Asking
    /// takes nothing from the limit.
    std::optional<AdapterOrder> nextOrder(
        MonotonicTime now, const RequestQueue& queue, const std::function<bool(RequestClass)>& mayLoad);

    /// Takes in the answer to an order.
    void finished(const AdapterOrder& order, OrderResult result, MonotonicTime now);

    /// @return the time before which the adapter is not loaded after failures; nothing if it may be loaded.
    std::optional<MonotonicTime> retryAt(const AdapterKey& adapter, MonotonicTime now) const;

    /// @return true once the engine has shown a higher fencing number than the owner's. The owner must step
    /// down.
    bool superseded() const { return m_superseded; }

    /// @return adapters that are ready or loading, for the view that entries get.
    std::vector<AdapterKey> resident() const;

    /// @return the value of the adapter that would give way to another one, in requests a second; 0 if a slot
    /// is free, and infinity if none can give way now.
    double evictionCost(const RequestQueue& queue, MonotonicTime now) const;

    /// @return references to an adapter.
    size_t references(const AdapterKey& adapter) const;

    /// @return the number of slots in use, including those of earlier owners' names.
    size_t usedSlots() const { return m_slots.size(); }

private:
    struct Slot {
        AdapterKey adapter;
        ResidencyState state = ResidencyState::Loading;
        /// A name that this owner can't use: of an earlier owner, or not in the form of an adapter's name.
        bool foreign = false;
        /// Requests of an earlier owner may still run on it.
        bool mayBeInUse = false;
        /// The load was ordered for a batch request.
        bool loadingForBatch = false;
        /// The load was ordered to show the fencing number; the adapter was listed as resident before.
        bool wasResident = false;
        bool lostEviction = false;
        /// Class of the request that a draining slot is wanted for.
        RequestClass drainedFor = RequestClass::Interactive;
        MonotonicTime lastUse;
        /// When an order for it was last sent or answered.
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

    void forgetBoot(MonotonicTime askedAt);
    void removeUnlisted(const EngineStatus& status, MonotonicTime askedAt);
    void takeListed(const LoadedAdapter& listed, MonotonicTime askedAt);
    void refresh(Slot& slot, const LoadedAdapter& listed, MonotonicTime askedAt) const;
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
        const WaitingAdapter& waiting, const RequestQueue& queue, size_t& roomPromised, MonotonicTime now);
    AdapterOrder load(const WaitingAdapter& waiting, MonotonicTime now);
    AdapterOrder evict(Slots::value_type& slot, MonotonicTime now);
    AdapterOrder evictForLoad(Slots::value_type& slot, RequestClass requestClass, MonotonicTime now);
    std::optional<AdapterOrder> makeRoom(
        const WaitingAdapter& waiting, const RequestQueue& queue, MonotonicTime now);
    bool mayGiveWay(const Slot& slot) const;
    Slots::value_type* chooseIdle(
        const WaitingAdapter& waiting, const RequestQueue& queue, MonotonicTime now);
    Slots::value_type* chooseToDrain(const WaitingAdapter& waiting, MonotonicTime now);
    Slots::value_type* choose(const std::vector<Slots::value_type*>& slots, MonotonicTime now) const;
    void loadFinished(Slots::iterator slot, OrderResult result, MonotonicTime now);
    void evictFinished(Slots::iterator slot, OrderResult result, MonotonicTime now);
    void backOff(const AdapterKey& adapter, MonotonicTime now);

    Options m_options;
    std::unique_ptr<EvictionPolicy> m_policy;
    Random m_random;
    std::string m_bootId;
    /// Whether the engine has seen this owner's fencing number, so that late orders of earlier owners fail.
    /// Always true for engines that ignore the number: there, the names differ.
    bool m_fenceKnown;
    bool m_superseded = false;
    Slots m_slots;
    /// Loads that evictions have taken from the fleet-wide limit and that have not started yet.
    size_t m_loadsTaken = 0;
    std::map<AdapterKey, References> m_references;
    std::map<AdapterKey, Backoff> m_backoffs;
    /// When names were evicted, so that a status that was asked for earlier does not bring them back.
    std::map<std::string, MonotonicTime> m_evictedAt;
    /// Names whose order to evict was lost, and until when they are not loaded.
    std::map<std::string, MonotonicTime> m_lostEvictions;
};

} // namespace lacewing
