#include "gateway/engine_places.h"

#include <algorithm>
#include <utility>

namespace lacewing::gateway {

namespace {

/// Time to load an adapter of which the engine still has a copy.
constexpr Duration warmLoadTime = std::chrono::milliseconds(25);
/// Pause between two questions whether a load is complete.
constexpr Duration confirmInterval = std::chrono::milliseconds(20);
/// Reports show the state of some time ago; what changed since then is kept as it is known here.
constexpr Duration reportLag = std::chrono::milliseconds(600);

/// Loads are expected to be complete no sooner than after this part of the usual time.
Duration earliestShare(Duration usual)
{
    return usual - usual / 10;
}

} // namespace

void EnginePlaces::setRelease(const AdapterRef& adapter, int64_t version)
{
    int64_t& known = m_releases[adapter];
    known = std::max(known, version);
}

std::optional<int64_t> EnginePlaces::release(const AdapterRef& adapter) const
{
    const auto found = m_releases.find(adapter);
    return found == m_releases.end() ? std::nullopt : std::make_optional(found->second);
}

bool EnginePlaces::isCurrent(const AdapterRef& adapter, const Place& place) const
{
    const auto named = release(adapter);
    return !named || place.version >= *named;
}

bool EnginePlaces::isPresent(const AdapterRef& adapter) const
{
    const auto place = m_places.find(adapter);
    return place != m_places.end() && place->second.state == State::Present
        && isCurrent(adapter, place->second);
}

std::optional<MonotonicTime> EnginePlaces::loadEnd(const AdapterRef& adapter) const
{
    const auto place = m_places.find(adapter);
    if (place == m_places.end() || place->second.state != State::Loading)
        return std::nullopt;
    return place->second.confirmAt;
}

int EnginePlaces::loading() const
{
    return static_cast<int>(std::count_if(m_places.begin(), m_places.end(),
        [](const auto& entry) { return entry.second.state == State::Loading; }));
}

int EnginePlaces::open(const std::set<AdapterRef>& awaited) const
{
    int open = m_capacity - static_cast<int>(m_places.size());
    for (const auto& [adapter, place] : m_places) {
        if (place.state == State::Present && place.users == 0 && awaited.count(adapter) == 0)
            ++open;
    }
    return std::max(0, open);
}

Duration EnginePlaces::loadTime(const AdapterRef& adapter) const
{
    return isWarm(adapter) ? warmLoadTime : m_loads.fetchTime();
}

std::vector<AdapterSummary> EnginePlaces::summaries() const
{
    std::vector<AdapterSummary> summaries;
    for (const auto& [adapter, place] : m_places) {
        const bool isUsable = place.state != State::Unloading && isCurrent(adapter, place);
        if (isUsable || place.state == State::Loading)
            summaries.push_back({ adapter, place.state == State::Loading });
    }
    return summaries;
}

bool EnginePlaces::unuse(const AdapterRef& adapter)
{
    const auto place = m_places.find(adapter);
    return place != m_places.end() && --place->second.users == 0;
}

void EnginePlaces::missing(const AdapterRef& adapter, MonotonicTime now)
{
    const auto place = m_places.find(adapter);
    if (place == m_places.end() || place->second.state != State::Present)
        return;
    // Ordering the load again settles whether the adapter is there.
    place->second.state = State::Loading;
    place->second.isAccepted = false;
    place->second.confirmAt = now + confirmInterval;
}

std::optional<PlannedOrder> EnginePlaces::confirmation(MonotonicTime now) const
{
    for (const auto& [adapter, place] : m_places) {
        const bool isLoading = place.state == State::Loading;
        // While there seem to be too many adapters, a load might be one too many; a report will tell.
        if (place.state == State::Present || now < place.confirmAt || (isLoading && isOverfull()))
            continue;
        return PlannedOrder { isLoading ? AdapterOrder::Action::Load : AdapterOrder::Action::Unload,
            adapter };
    }
    return std::nullopt;
}

std::optional<PlannedOrder> EnginePlaces::replaceOutdated(MonotonicTime now)
{
    // A load of the new version beside the old one would take a second place.
    for (auto& [adapter, place] : m_places) {
        if (place.state != State::Present || place.users > 0 || isCurrent(adapter, place))
            continue;
        beginUnload(place, now);
        return PlannedOrder { AdapterOrder::Action::Unload, adapter };
    }
    return std::nullopt;
}

PlannedOrder EnginePlaces::load(const AdapterRef& adapter, MonotonicTime now)
{
    Place& place = m_places[adapter];
    place.state = State::Loading;
    place.changedAt = now;
    place.loadStarted = now;
    place.confirmAt = now + earliestShare(loadTime(adapter));
    place.isFetch = !isWarm(adapter);
    if (place.isFetch)
        m_loads.started();
    m_dropped.erase(adapter);
    return { AdapterOrder::Action::Load, adapter };
}

std::optional<PlannedOrder> EnginePlaces::dropLeastPopular(
    const std::set<AdapterRef>& awaited, const AdapterPopularity& popularity, MonotonicTime now)
{
    auto victim = m_places.end();
    double lowest = 0;
    for (auto place = m_places.begin(); place != m_places.end(); ++place) {
        const bool isIdle = place->second.state == State::Present && place->second.users == 0;
        if (!isIdle || awaited.count(place->first) > 0)
            continue;
        const double score = popularity.of(place->first, now);
        if (victim != m_places.end() && score >= lowest)
            continue;
        victim = place;
        lowest = score;
    }
    if (victim == m_places.end())
        return std::nullopt;
    beginUnload(victim->second, now);
    return PlannedOrder { AdapterOrder::Action::Unload, victim->first };
}

void EnginePlaces::beginUnload(Place& place, MonotonicTime now)
{
    place.state = State::Unloading;
    place.isAccepted = false;
    place.confirmAt = now + confirmInterval;
}

bool EnginePlaces::orderTookEffect(const PlannedOrder& order, OrderOutcome outcome, MonotonicTime now)
{
    const bool isLoad = order.action == AdapterOrder::Action::Load;
    // A repeated order that is still being carried out, or already was, is not counted by the engine again.
    const auto found = m_places.find(order.adapter);
    const bool isRepeated = found != m_places.end() && found->second.isAccepted;
    const bool isCounted = !isRepeated && (outcome == OrderOutcome::Accepted || !isLoad);
    if (found == m_places.end())
        return isCounted;
    Place& place = found->second;
    place.changedAt = now;
    place.isAccepted = true;
    if (outcome == OrderOutcome::Accepted) {
        // An accepted order to unload waits for a run that this owner does not know.
        const bool isFirst = isLoad && !isRepeated;
        place.state = isLoad ? State::Loading : State::Unloading;
        place.confirmAt = now + (isFirst ? earliestShare(loadTime(order.adapter)) : confirmInterval);
        return isCounted;
    }
    if (!isLoad) {
        dropped(order.adapter, now);
        erase(found);
        return isCounted;
    }
    if (std::exchange(place.isFetch, false))
        m_loads.finished(now - place.loadStarted);
    place.state = State::Present;
    place.version = release(order.adapter).value_or(place.version);
    return isCounted;
}

void EnginePlaces::orderWasRefused(const PlannedOrder& order)
{
    const auto place = m_places.find(order.adapter);
    if (place == m_places.end() || place->second.isAccepted)
        return;
    if (order.action == AdapterOrder::Action::Load && place->second.users == 0) {
        erase(place);
        return;
    }
    endLoading(place->second);
    place->second.state = State::Present;
    place->second.changedAt = MonotonicTime();
}

void EnginePlaces::reported(const EngineReport& report, MonotonicTime now)
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
    for (auto place = m_places.begin(); place != m_places.end();) {
        const bool isGone = reported.count(place->first) == 0 && place->second.users == 0
            && now - place->second.changedAt > reportLag;
        if (isGone)
            erase(place++);
        else
            ++place;
    }
}

void EnginePlaces::addReported(const AdapterRef& adapter, int64_t version, State state, MonotonicTime now)
{
    if (wasDroppedLately(adapter, now))
        return;
    const auto [place, isNew] = m_places.try_emplace(adapter);
    if (!isNew && now - place->second.changedAt < reportLag)
        return;
    place->second.version = std::max(version, place->second.version);
    if (isNew || (place->second.state == State::Loading && state == State::Present)) {
        endLoading(place->second);
        place->second.state = state;
    }
    if (isNew) {
        place->second.changedAt = now;
        place->second.confirmAt = now + confirmInterval;
        place->second.isAccepted = true;
    }
}

void EnginePlaces::abandonLoads()
{
    for (auto& [adapter, place] : m_places)
        endLoading(place);
}

void EnginePlaces::endLoading(Place& place)
{
    if (std::exchange(place.isFetch, false))
        m_loads.abandoned();
}

void EnginePlaces::erase(Places::iterator place)
{
    endLoading(place->second);
    m_places.erase(place);
}

bool EnginePlaces::wasDroppedLately(const AdapterRef& adapter, MonotonicTime now) const
{
    const auto found = m_dropped.find(adapter);
    return found != m_dropped.end() && now - found->second < reportLag;
}

void EnginePlaces::dropped(const AdapterRef& adapter, MonotonicTime now)
{
    for (auto entry = m_dropped.begin(); entry != m_dropped.end();)
        entry = now - entry->second < reportLag ? std::next(entry) : m_dropped.erase(entry);
    m_dropped[adapter] = now;
    m_copies.dropped(adapter);
}

} // namespace lacewing::gateway
