#include "coordination/adapter_residency.h"

#include <algorithm>
#include <limits>
#include <set>

namespace lacewing {

AdapterResidency::AdapterResidency(Options options, std::unique_ptr<EvictionPolicy> policy)
    : m_options(options)
    , m_policy(std::move(policy))
    , m_random(options.seed)
    , m_fenceAcknowledged(!options.checksFencing)
{
}

bool AdapterResidency::observe(const EngineStatus& status, MonotonicTime requestedAt)
{
    if (status.fencingNumber > m_options.fence)
        m_superseded = true;
    const bool restarted = !m_bootId.empty() && m_bootId != status.bootId;
    if (restarted)
        resetAfterRestart(requestedAt);
    if (status.fencingNumber >= m_options.fence)
        m_fenceAcknowledged = true;
    m_bootId = status.bootId;
    removeUnlisted(status, requestedAt);
    for (const LoadedAdapter& listed : status.adapters)
        mergeListedAdapter(listed, requestedAt);
    for (auto it = m_evictedAt.begin(); it != m_evictedAt.end();)
        it = it->second < requestedAt ? m_evictedAt.erase(it) : std::next(it);
    return restarted;
}

std::string AdapterResidency::nameOf(const AdapterKey& adapter) const
{
    AdapterName name { adapter, std::nullopt };
    if (!m_options.checksFencing)
        name.fence = m_options.fence;
    return name.toString();
}

bool AdapterResidency::isReady(const AdapterKey& adapter, RequestClass requestClass) const
{
    const auto slot = m_slots.find(nameOf(adapter));
    if (slot == m_slots.end() || slot->second.state != ResidencyState::Resident || slot->second.foreign)
        return false;
    if (!m_fenceAcknowledged || m_superseded)
        return false;
    return requestClass == RequestClass::Interactive || batchMayPin(adapter);
}

bool AdapterResidency::acquire(const AdapterKey& adapter, RequestClass requestClass, MonotonicTime now)
{
    if (!isReady(adapter, requestClass))
        return false;
    References& references = m_references[adapter];
    ++(requestClass == RequestClass::Interactive ? references.interactive : references.batch);
    m_slots.at(nameOf(adapter)).lastUse = now;
    m_policy->recordUse(adapter, now);
    return true;
}

void AdapterResidency::release(const AdapterKey& adapter, RequestClass requestClass, MonotonicTime now)
{
    const auto found = m_references.find(adapter);
    if (found == m_references.end())
        return;
    size_t& count
        = requestClass == RequestClass::Interactive ? found->second.interactive : found->second.batch;
    if (count > 0)
        --count;
    if (found->second.total() == 0)
        m_references.erase(found);
    const auto slot = m_slots.find(nameOf(adapter));
    if (slot != m_slots.end())
        slot->second.lastUse = now;
}

std::optional<AdapterOrder> AdapterResidency::nextOrder(
    MonotonicTime now, const RequestQueue& queue, const std::function<bool(RequestClass)>& mayLoad)
{
    if (m_superseded)
        return std::nullopt;
    if (auto order = evictUnusable(now))
        return order;
    if (countInState(ResidencyState::Loading) >= m_options.maximumLoads)
        return std::nullopt;
    if (m_reservedLoadPermits == 0 && !mayLoad(RequestClass::Interactive) && !mayLoad(RequestClass::Batch))
        return std::nullopt;
    if (auto order = evictDrained(mayLoad, now))
        return order;
    const auto isReadyHere = [this](const AdapterKey& adapter, RequestClass requestClass) {
        return isReady(adapter, requestClass);
    };
    // Requests more adapters than there are slots, so that adapters that can't be loaded yet don't hide the
    // ones behind them.
    const size_t limit = 4 * m_options.slots + m_backoffs.size();
    size_t assignedSlots = 0;
    for (const WaitingAdapter& waiting : queue.waitingAdapters(isReadyHere, limit)) {
        const bool isBatch = waiting.requestClass == RequestClass::Batch;
        if (!mayLoadNow(waiting.adapter, now) || (isBatch && !batchMayLoad(waiting.adapter)))
            continue;
        const bool hasRoom = m_slots.size() < m_options.slots && m_reservedLoadPermits > 0;
        if (!hasRoom && !mayLoad(waiting.requestClass))
            continue;
        if (auto order = orderFor(waiting, queue, assignedSlots, now))
            return order;
    }
    return std::nullopt;
}

void AdapterResidency::finished(const AdapterOrder& order, OrderResult result, MonotonicTime now)
{
    if (result == OrderResult::StaleFence)
        m_superseded = true;
    if (result == OrderResult::Done)
        m_fenceAcknowledged = true;
    const auto slot = m_slots.find(order.name);
    if (slot == m_slots.end())
        return;
    if (order.kind == AdapterOrder::Kind::Load && slot->second.state == ResidencyState::Loading)
        loadFinished(slot, result, now);
    else if (order.kind == AdapterOrder::Kind::Evict && slot->second.state == ResidencyState::Evicting)
        evictFinished(slot, result, now);
}

std::optional<MonotonicTime> AdapterResidency::retryAt(const AdapterKey& adapter, MonotonicTime now) const
{
    const auto found = m_backoffs.find(adapter);
    if (found == m_backoffs.end() || found->second.until <= now)
        return std::nullopt;
    return found->second.until;
}

std::vector<AdapterKey> AdapterResidency::resident() const
{
    std::vector<AdapterKey> adapters;
    for (const auto& [name, slot] : m_slots) {
        const bool usable = slot.state == ResidencyState::Resident || slot.state == ResidencyState::Loading;
        if (usable && !slot.foreign)
            adapters.push_back(slot.adapter);
    }
    return adapters;
}

double AdapterResidency::evictionCost(const RequestQueue& queue, MonotonicTime now) const
{
    if (m_slots.size() < m_options.slots)
        return 0;
    double least = std::numeric_limits<double>::infinity();
    for (const auto& [name, slot] : m_slots) {
        const bool wanted = queue.hasWaitingRequests(slot.adapter, RequestClass::Interactive);
        if (isEvictable(slot) && !wanted)
            least = std::min(least, m_policy->value({ slot.adapter, slot.lastUse }, now));
    }
    return least;
}

bool AdapterResidency::isEvictable(const Slot& slot) const
{
    const bool settled = slot.state == ResidencyState::Resident || slot.state == ResidencyState::Uncertain;
    return settled && isIdle(slot);
}

size_t AdapterResidency::references(const AdapterKey& adapter) const
{
    const auto found = m_references.find(adapter);
    return found == m_references.end() ? 0 : found->second.total();
}

void AdapterResidency::resetAfterRestart(MonotonicTime requestedAt)
{
    // Orders sent after the status was requested may have reached the new process, so their slots are kept.
    for (auto it = m_slots.begin(); it != m_slots.end();)
        it = it->second.changedAt < requestedAt ? m_slots.erase(it) : std::next(it);
    m_lostEvictions.clear();
    m_fenceAcknowledged = !m_options.checksFencing;
}

void AdapterResidency::removeUnlisted(const EngineStatus& status, MonotonicTime requestedAt)
{
    std::set<std::string> listed;
    for (const LoadedAdapter& adapter : status.adapters)
        listed.insert(adapter.name);
    for (auto it = m_slots.begin(); it != m_slots.end();) {
        const Slot& slot = it->second;
        const bool orderInFlight
            = slot.state == ResidencyState::Loading || slot.state == ResidencyState::Evicting;
        // A load whose response was lost may still complete, so its slot stays reserved.
        const bool mayAppear = slot.state == ResidencyState::Uncertain && !slot.lostEviction;
        const bool gone
            = !orderInFlight && !mayAppear && slot.changedAt < requestedAt && listed.count(it->first) == 0;
        it = gone ? m_slots.erase(it) : std::next(it);
    }
}

void AdapterResidency::mergeListedAdapter(const LoadedAdapter& listed, MonotonicTime requestedAt)
{
    const auto known = m_slots.find(listed.name);
    if (known != m_slots.end()) {
        refresh(known->second, listed, requestedAt);
        return;
    }
    const auto evicted = m_evictedAt.find(listed.name);
    if (evicted != m_evictedAt.end() && evicted->second >= requestedAt)
        return;
    const std::optional<AdapterName> name = AdapterName::parse(listed.name);
    if (name && name->fence && *name->fence > m_options.fence)
        m_superseded = true;
    Slot slot;
    slot.adapter = name ? name->adapter : AdapterKey { AdapterId(listed.name), {} };
    slot.state = ResidencyState::Resident;
    slot.foreign = isForeign(name);
    slot.mayBeInUse = listed.running > 0;
    slot.lastUse = requestedAt;
    slot.changedAt = requestedAt;
    m_slots.emplace(listed.name, slot);
}

void AdapterResidency::refresh(Slot& slot, const LoadedAdapter& listed, MonotonicTime requestedAt) const
{
    if (slot.changedAt > requestedAt)
        return;
    if (slot.foreign || slot.mayBeInUse)
        slot.mayBeInUse = listed.running > 0;
    // After a lost eviction the name stays uncertain, because the delayed order may still arrive.
    if (slot.state == ResidencyState::Uncertain && !slot.lostEviction)
        slot.state = ResidencyState::Resident;
}

bool AdapterResidency::isForeign(const std::optional<AdapterName>& name) const
{
    if (!name)
        return true;
    return m_options.checksFencing ? name->fence.has_value() : name->fence != m_options.fence;
}

size_t AdapterResidency::pinnedByBatch() const
{
    const auto referenced = std::count_if(
        m_references.begin(), m_references.end(), [](const auto& entry) { return entry.second.batch > 0; });
    const auto loading = std::count_if(m_slots.begin(), m_slots.end(), [](const auto& entry) {
        return entry.second.state == ResidencyState::Loading && entry.second.loadingForBatch;
    });
    return static_cast<size_t>(referenced + loading);
}

bool AdapterResidency::batchMayPin(const AdapterKey& adapter) const
{
    const auto found = m_references.find(adapter);
    if (found != m_references.end() && found->second.batch > 0)
        return true;
    return pinnedByBatch() + m_options.interactiveSlots < m_options.slots;
}

bool AdapterResidency::batchMayLoad(const AdapterKey& adapter) const
{
    // Reserves one concurrent load for interactive requests.
    const size_t allowed = std::max<size_t>(1, m_options.maximumLoads - 1);
    const size_t underWay = countInState(ResidencyState::Loading) + countInState(ResidencyState::Evicting)
        + countInState(ResidencyState::Draining);
    return underWay < allowed && batchMayPin(adapter);
}

bool AdapterResidency::isIdle(const Slot& slot) const
{
    return !slot.mayBeInUse && (slot.foreign || references(slot.adapter) == 0);
}

bool AdapterResidency::mayLoadNow(const AdapterKey& adapter, MonotonicTime now) const
{
    if (retryAt(adapter, now))
        return false;
    const std::string name = nameOf(adapter);
    const auto lost = m_lostEvictions.find(name);
    if (lost != m_lostEvictions.end() && now < lost->second)
        return false;
    const auto slot = m_slots.find(name);
    if (slot == m_slots.end())
        return true;
    if (slot->second.state == ResidencyState::Resident)
        return !m_fenceAcknowledged;
    return slot->second.state == ResidencyState::Uncertain && !slot->second.lostEviction;
}

size_t AdapterResidency::countInState(ResidencyState state) const
{
    return static_cast<size_t>(std::count_if(
        m_slots.begin(), m_slots.end(), [=](const auto& entry) { return entry.second.state == state; }));
}

std::optional<AdapterOrder> AdapterResidency::evictUnusable(MonotonicTime now)
{
    for (auto& entry : m_slots) {
        const Slot& slot = entry.second;
        const bool lost = slot.state == ResidencyState::Uncertain && slot.lostEviction
            && now >= slot.changedAt + m_options.initialBackoff;
        const bool unusable = slot.state == ResidencyState::Resident && slot.foreign;
        if ((lost || unusable) && isIdle(slot))
            return evict(entry, now);
    }
    return std::nullopt;
}

std::optional<AdapterOrder> AdapterResidency::evictDrained(
    const std::function<bool(RequestClass)>& mayLoad, MonotonicTime now)
{
    for (auto& entry : m_slots) {
        const Slot& slot = entry.second;
        if (slot.state == ResidencyState::Draining && isIdle(slot) && mayLoad(slot.drainedFor))
            return evictForLoad(entry, slot.drainedFor, now);
    }
    return std::nullopt;
}

std::optional<AdapterOrder> AdapterResidency::orderFor(
    const WaitingAdapter& waiting, const RequestQueue& queue, size_t& assignedSlots, MonotonicTime now)
{
    const bool hasSlot = m_slots.count(nameOf(waiting.adapter)) > 0;
    if (hasSlot || m_slots.size() < m_options.slots)
        return load(waiting, now);
    const size_t slotsBeingFreed
        = countInState(ResidencyState::Evicting) + countInState(ResidencyState::Draining);
    if (assignedSlots < slotsBeingFreed) {
        ++assignedSlots;
        return std::nullopt;
    }
    if (slotsBeingFreed + countInState(ResidencyState::Loading) >= m_options.maximumLoads)
        return std::nullopt;
    return freeSlotFor(waiting, queue, now);
}

AdapterOrder AdapterResidency::load(const WaitingAdapter& waiting, MonotonicTime now)
{
    const std::string name = nameOf(waiting.adapter);
    const auto [entry, isNew] = m_slots.try_emplace(name);
    Slot& slot = entry->second;
    slot.wasResident = !isNew && slot.state == ResidencyState::Resident;
    slot.adapter = waiting.adapter;
    slot.state = ResidencyState::Loading;
    slot.loadingForBatch = waiting.requestClass == RequestClass::Batch;
    slot.changedAt = now;
    m_lostEvictions.erase(name);
    const bool taken = m_reservedLoadPermits > 0;
    m_reservedLoadPermits -= taken ? 1 : 0;
    return { AdapterOrder::Kind::Load, name, waiting.adapter, !taken, waiting.requestClass };
}

AdapterOrder AdapterResidency::evict(Slots::value_type& entry, MonotonicTime now)
{
    entry.second.state = ResidencyState::Evicting;
    entry.second.changedAt = now;
    return { AdapterOrder::Kind::Evict, entry.first, entry.second.adapter, false, RequestClass::Interactive };
}

AdapterOrder AdapterResidency::evictForLoad(
    Slots::value_type& entry, RequestClass requestClass, MonotonicTime now)
{
    AdapterOrder order = evict(entry, now);
    order.requestClass = requestClass;
    order.takesLoadPermit = true;
    ++m_reservedLoadPermits;
    return order;
}

std::optional<AdapterOrder> AdapterResidency::freeSlotFor(
    const WaitingAdapter& waiting, const RequestQueue& queue, MonotonicTime now)
{
    if (Slots::value_type* idle = chooseIdleVictim(waiting, queue, now))
        return evictForLoad(*idle, waiting.requestClass, now);
    if (now - waiting.arrival < m_options.drainDelay)
        return std::nullopt;
    Slots::value_type* victim = chooseDrainVictim(waiting, now);
    if (!victim)
        return std::nullopt;
    if (isIdle(victim->second))
        return evictForLoad(*victim, waiting.requestClass, now);
    victim->second.state = ResidencyState::Draining;
    victim->second.drainedFor = waiting.requestClass;
    victim->second.changedAt = now;
    return std::nullopt;
}

AdapterResidency::Slots::value_type* AdapterResidency::chooseIdleVictim(
    const WaitingAdapter& waiting, const RequestQueue& queue, MonotonicTime now)
{
    std::vector<Slots::value_type*> unwanted;
    std::vector<Slots::value_type*> wantedByBatch;
    for (auto& entry : m_slots) {
        const AdapterKey& adapter = entry.second.adapter;
        if (!isEvictable(entry.second) || queue.hasWaitingRequests(adapter, RequestClass::Interactive))
            continue;
        const bool wanted = queue.hasWaitingRequests(adapter, RequestClass::Batch);
        (wanted ? wantedByBatch : unwanted).push_back(&entry);
    }
    // A burst of batch requests may wait for most resident adapters, which must not block loads for
    // interactive requests.
    if (unwanted.empty() && waiting.requestClass == RequestClass::Interactive)
        return choose(wantedByBatch, now);
    return choose(unwanted, now);
}

AdapterResidency::Slots::value_type* AdapterResidency::chooseDrainVictim(
    const WaitingAdapter& waiting, MonotonicTime now)
{
    std::vector<Slots::value_type*> used;
    for (auto& entry : m_slots) {
        const Slot& slot = entry.second;
        if (slot.state != ResidencyState::Resident || now < slot.changedAt + m_options.drainDelay)
            continue;
        const auto references = m_references.find(slot.adapter);
        const bool servesInteractive = references != m_references.end() && references->second.interactive > 0;
        if (waiting.requestClass == RequestClass::Batch && servesInteractive)
            continue;
        used.push_back(&entry);
    }
    return choose(used, now);
}

AdapterResidency::Slots::value_type* AdapterResidency::choose(
    const std::vector<Slots::value_type*>& slots, MonotonicTime now) const
{
    if (slots.empty())
        return nullptr;
    std::vector<EvictionCandidate> candidates;
    candidates.reserve(slots.size());
    for (const Slots::value_type* entry : slots)
        candidates.push_back({ entry->second.adapter, entry->second.lastUse });
    return slots[m_policy->choose(candidates, now)];
}

void AdapterResidency::loadFinished(Slots::iterator entry, OrderResult result, MonotonicTime now)
{
    Slot& slot = entry->second;
    slot.changedAt = now;
    if (result == OrderResult::Done) {
        slot.state = ResidencyState::Resident;
        slot.lastUse = now;
        m_backoffs.erase(slot.adapter);
        return;
    }
    backOff(slot.adapter, now);
    if (result == OrderResult::Lost || slot.wasResident) {
        slot.state = ResidencyState::Uncertain;
        slot.lostEviction = false;
        return;
    }
    m_slots.erase(entry);
}

void AdapterResidency::evictFinished(Slots::iterator entry, OrderResult result, MonotonicTime now)
{
    Slot& slot = entry->second;
    slot.changedAt = now;
    if (result == OrderResult::Done) {
        m_evictedAt[entry->first] = now;
        m_slots.erase(entry);
        return;
    }
    slot.state = ResidencyState::Uncertain;
    slot.lostEviction = true;
    if (result == OrderResult::Lost)
        m_lostEvictions[entry->first] = now + m_options.lostOrderQuarantine;
}

void AdapterResidency::backOff(const AdapterKey& adapter, MonotonicTime now)
{
    for (auto it = m_backoffs.begin(); it != m_backoffs.end();) {
        const bool old = it->second.until + m_options.maximumBackoff < now;
        it = old && it->first != adapter ? m_backoffs.erase(it) : std::next(it);
    }
    Backoff& backoff = m_backoffs[adapter];
    const int doublings = std::min(backoff.failures++, 16);
    const Duration longest = std::min(m_options.initialBackoff * (1 << doublings), m_options.maximumBackoff);
    const double jittered = static_cast<double>(longest.count()) * (0.5 + 0.5 * m_random.uniform());
    backoff.until = now + Duration(static_cast<Duration::rep>(jittered));
}

} // namespace lacewing
