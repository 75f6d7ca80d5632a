#include "gateway/engine_adapter_slots.h"

#include <algorithm>
#include <utility>

namespace lacewing::gateway {

namespace {

/// Time to load an adapter from the engine's cached copy.
constexpr Duration cachedLoadTime = std::chrono::milliseconds(25);
/// Interval between two checks whether an order is complete.
constexpr Duration confirmInterval = std::chrono::milliseconds(20);
/// Reports lag by up to this time; state changed more recently is not overwritten by a report.
constexpr Duration reportLag = std::chrono::milliseconds(600);

/// Earliest time at which a load is checked for completion: 90% of its usual duration.
Duration earliestCompletion(Duration usual)
{
    return usual - usual / 10;
}

} // namespace

void EngineAdapterSlots::setRelease(const AdapterRef& adapter, int64_t version)
{
    int64_t& known = m_releases[adapter];
    known = std::max(known, version);
}

std::optional<int64_t> EngineAdapterSlots::release(const AdapterRef& adapter) const
{
    const auto found = m_releases.find(adapter);
    return found == m_releases.end() ? std::nullopt : std::make_optional(found->second);
}

bool EngineAdapterSlots::isCurrent(const AdapterRef& adapter, const Slot& slot) const
{
    const auto named = release(adapter);
    return !named || slot.version >= *named;
}

bool EngineAdapterSlots::isPresent(const AdapterRef& adapter) const
{
    const auto slot = m_slots.find(adapter);
    return slot != m_slots.end() && slot->second.state == State::Present && isCurrent(adapter, slot->second);
}

std::optional<MonotonicTime> EngineAdapterSlots::expectedLoadEnd(const AdapterRef& adapter) const
{
    const auto slot = m_slots.find(adapter);
    if (slot == m_slots.end() || slot->second.state != State::Loading)
        return std::nullopt;
    return slot->second.confirmAt;
}

int EngineAdapterSlots::loading() const
{
    return static_cast<int>(std::count_if(m_slots.begin(), m_slots.end(),
        [](const auto& entry) { return entry.second.state == State::Loading; }));
}

int EngineAdapterSlots::openCount(const std::set<AdapterRef>& awaited) const
{
    int openCount = m_capacity - static_cast<int>(m_slots.size());
    for (const auto& [adapter, slot] : m_slots) {
        if (slot.state == State::Present && slot.users == 0 && awaited.count(adapter) == 0)
            ++openCount;
    }
    return std::max(0, openCount);
}

Duration EngineAdapterSlots::loadTime(const AdapterRef& adapter) const
{
    return hasCachedCopy(adapter) ? cachedLoadTime : m_fetchLimiter.fetchTime();
}

std::vector<AdapterSummary> EngineAdapterSlots::summaries() const
{
    std::vector<AdapterSummary> summaries;
    for (const auto& [adapter, slot] : m_slots) {
        const bool isUsable = slot.state != State::Unloading && isCurrent(adapter, slot);
        if (isUsable || slot.state == State::Loading)
            summaries.push_back({ adapter, slot.state == State::Loading });
    }
    return summaries;
}

bool EngineAdapterSlots::removeUser(const AdapterRef& adapter)
{
    const auto slot = m_slots.find(adapter);
    return slot != m_slots.end() && --slot->second.users == 0;
}

void EngineAdapterSlots::markMissing(const AdapterRef& adapter, MonotonicTime now)
{
    const auto slot = m_slots.find(adapter);
    if (slot == m_slots.end() || slot->second.state != State::Present)
        return;
    // Repeating the load order reveals whether the adapter is loaded.
    slot->second.state = State::Loading;
    slot->second.isAccepted = false;
    slot->second.confirmAt = now + confirmInterval;
}

std::optional<PlannedOrder> EngineAdapterSlots::pendingConfirmation(MonotonicTime now) const
{
    for (const auto& [adapter, slot] : m_slots) {
        const bool isLoading = slot.state == State::Loading;
        // While more adapters than slots are recorded, a load could exceed the capacity; wait for a report.
        if (slot.state == State::Present || now < slot.confirmAt || (isLoading && isOverCapacity()))
            continue;
        return PlannedOrder { isLoading ? AdapterOrder::Action::Load : AdapterOrder::Action::Unload,
            adapter };
    }
    return std::nullopt;
}

std::optional<PlannedOrder> EngineAdapterSlots::evictOutdated(MonotonicTime now)
{
    // Loading the new version beside the old one would take a second slot.
    for (auto& [adapter, slot] : m_slots) {
        if (slot.state != State::Present || slot.users > 0 || isCurrent(adapter, slot))
            continue;
        beginUnload(slot, now);
        return PlannedOrder { AdapterOrder::Action::Unload, adapter };
    }
    return std::nullopt;
}

PlannedOrder EngineAdapterSlots::load(const AdapterRef& adapter, MonotonicTime now)
{
    Slot& slot = m_slots[adapter];
    slot.state = State::Loading;
    slot.changedAt = now;
    slot.loadStarted = now;
    slot.confirmAt = now + earliestCompletion(loadTime(adapter));
    slot.isFetch = !hasCachedCopy(adapter);
    if (slot.isFetch)
        m_fetchLimiter.started();
    m_recentlyUnloaded.erase(adapter);
    return { AdapterOrder::Action::Load, adapter };
}

std::optional<PlannedOrder> EngineAdapterSlots::evictLeastPopular(
    const std::set<AdapterRef>& awaited, const AdapterPopularity& popularity, MonotonicTime now)
{
    auto victim = m_slots.end();
    double lowest = 0;
    for (auto slot = m_slots.begin(); slot != m_slots.end(); ++slot) {
        const bool isIdle = slot->second.state == State::Present && slot->second.users == 0;
        if (!isIdle || awaited.count(slot->first) > 0)
            continue;
        const double score = popularity.decayedCount(slot->first, now);
        if (victim != m_slots.end() && score >= lowest)
            continue;
        victim = slot;
        lowest = score;
    }
    if (victim == m_slots.end())
        return std::nullopt;
    beginUnload(victim->second, now);
    return PlannedOrder { AdapterOrder::Action::Unload, victim->first };
}

void EngineAdapterSlots::beginUnload(Slot& slot, MonotonicTime now)
{
    slot.state = State::Unloading;
    slot.isAccepted = false;
    slot.confirmAt = now + confirmInterval;
}

bool EngineAdapterSlots::orderTookEffect(const PlannedOrder& order, OrderOutcome outcome, MonotonicTime now)
{
    const bool isLoad = order.action == AdapterOrder::Action::Load;
    // The engine does not count a repeated order that is still in progress or already executed.
    const auto found = m_slots.find(order.adapter);
    const bool isRepeated = found != m_slots.end() && found->second.isAccepted;
    const bool isCounted = !isRepeated && (outcome == OrderOutcome::Accepted || !isLoad);
    if (found == m_slots.end())
        return isCounted;
    Slot& slot = found->second;
    slot.changedAt = now;
    slot.isAccepted = true;
    if (outcome == OrderOutcome::Accepted) {
        // An unload that is accepted but not complete waits for a run that this owner does not know.
        const bool isFirst = isLoad && !isRepeated;
        slot.state = isLoad ? State::Loading : State::Unloading;
        slot.confirmAt = now + (isFirst ? earliestCompletion(loadTime(order.adapter)) : confirmInterval);
        return isCounted;
    }
    if (!isLoad) {
        unloaded(order.adapter, now);
        erase(found);
        return isCounted;
    }
    if (std::exchange(slot.isFetch, false))
        m_fetchLimiter.finished(now - slot.loadStarted);
    slot.state = State::Present;
    slot.version = release(order.adapter).value_or(slot.version);
    return isCounted;
}

void EngineAdapterSlots::orderWasRefused(const PlannedOrder& order)
{
    const auto slot = m_slots.find(order.adapter);
    if (slot == m_slots.end() || slot->second.isAccepted)
        return;
    if (order.action == AdapterOrder::Action::Load && slot->second.users == 0) {
        erase(slot);
        return;
    }
    abandonFetch(slot->second);
    slot->second.state = State::Present;
    slot->second.changedAt = MonotonicTime();
}

void EngineAdapterSlots::reported(const EngineReport& report, MonotonicTime now)
{
    std::set<AdapterRef> reported;
    for (const HeldModel& model : report.models) {
        for (const HeldAdapter& held : model.adapters) {
            reported.insert({ model.model, held.adapter });
            addReported({ model.model, held.adapter }, held.version, State::Present, now);
        }
        for (const HeldAdapter& held : model.loading) {
            reported.insert({ model.model, held.adapter });
            addReported({ model.model, held.adapter }, held.version, State::Loading, now);
        }
    }
    for (auto slot = m_slots.begin(); slot != m_slots.end();) {
        const bool isGone = reported.count(slot->first) == 0 && slot->second.users == 0
            && now - slot->second.changedAt > reportLag;
        if (isGone)
            erase(slot++);
        else
            ++slot;
    }
}

void EngineAdapterSlots::addReported(
    const AdapterRef& adapter, int64_t version, State state, MonotonicTime now)
{
    if (wasRecentlyUnloaded(adapter, now))
        return;
    const auto [slot, isNew] = m_slots.try_emplace(adapter);
    if (!isNew && now - slot->second.changedAt < reportLag)
        return;
    slot->second.version = std::max(version, slot->second.version);
    if (isNew || (slot->second.state == State::Loading && state == State::Present)) {
        abandonFetch(slot->second);
        slot->second.state = state;
    }
    if (isNew) {
        slot->second.changedAt = now;
        slot->second.confirmAt = now + confirmInterval;
        slot->second.isAccepted = true;
    }
}

void EngineAdapterSlots::abandonFetches()
{
    for (auto& [adapter, slot] : m_slots)
        abandonFetch(slot);
}

void EngineAdapterSlots::abandonFetch(Slot& slot)
{
    if (std::exchange(slot.isFetch, false))
        m_fetchLimiter.abandoned();
}

void EngineAdapterSlots::erase(Slots::iterator slot)
{
    abandonFetch(slot->second);
    m_slots.erase(slot);
}

bool EngineAdapterSlots::wasRecentlyUnloaded(const AdapterRef& adapter, MonotonicTime now) const
{
    const auto found = m_recentlyUnloaded.find(adapter);
    return found != m_recentlyUnloaded.end() && now - found->second < reportLag;
}

void EngineAdapterSlots::unloaded(const AdapterRef& adapter, MonotonicTime now)
{
    for (auto entry = m_recentlyUnloaded.begin(); entry != m_recentlyUnloaded.end();)
        entry = now - entry->second < reportLag ? std::next(entry) : m_recentlyUnloaded.erase(entry);
    m_recentlyUnloaded[adapter] = now;
    m_copies.unloaded(adapter);
}

} // namespace lacewing::gateway
