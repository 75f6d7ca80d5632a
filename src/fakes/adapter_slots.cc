#include "fakes/adapter_slots.h"

#include <algorithm>
#include <utility>

namespace lacewing {

AdapterSlots::AdapterSlots(Scheduler& scheduler, const EngineOptions& options, const EngineFaults& faults,
    AdapterLoader& loader, MetricsRegistry& metrics)
    : m_scheduler(scheduler)
    , m_options(options)
    , m_faults(faults)
    , m_loader(loader)
    , m_metrics(metrics)
    , m_random(options.seed)
{
}

std::optional<EngineError> AdapterSlots::checkFencing(int64_t number)
{
    if (!m_options.checkFencing)
        return std::nullopt;
    if (number < m_fencingNumber) {
        ++m_metrics.counter("stale_orders_refused");
        return EngineError { 409, "stale_fencing_number",
            "the highest fencing number seen is " + std::to_string(m_fencingNumber) };
    }
    m_fencingNumber = number;
    return std::nullopt;
}

std::optional<EngineError> AdapterSlots::check(const LoadOrder& order)
{
    if (auto error = checkFencing(order.fencingNumber))
        return error;
    if (order.model != m_options.baseModel)
        return EngineError { 400, "invalid_request", "this engine serves the model " + m_options.baseModel };
    if (order.name == m_options.baseModel)
        return EngineError { 400, "invalid_request", "the name is that of the base model" };
    const auto found = m_slots.find(order.name);
    if (found == m_slots.end()) {
        if (static_cast<int64_t>(m_slots.size()) >= m_options.slots)
            return EngineError { 507, "no_free_slot", "all adapter slots are in use" };
        return std::nullopt;
    }
    if (found->second.adapter != order.adapter || found->second.version != order.version)
        return EngineError { 400, "invalid_request", "the name is in use for another adapter or version" };
    return std::nullopt;
}

void AdapterSlots::load(const LoadOrder& order, Callback done)
{
    if (auto error = check(order))
        return answerLater(std::move(done), std::move(error));
    const auto found = m_slots.find(order.name);
    if (found == m_slots.end())
        return startLoad(order, std::move(done));
    if (found->second.isResident)
        return answerLater(std::move(done), std::nullopt);
    found->second.waiting.push_back(std::move(done));
}

void AdapterSlots::startLoad(const LoadOrder& order, Callback done)
{
    Slot& slot = m_slots[order.name];
    slot.adapter = order.adapter;
    slot.version = order.version;
    slot.load = ++m_lastLoad;
    slot.started = m_scheduler.now();
    slot.waiting.push_back(std::move(done));
    m_loader.load(order.adapter, order.version,
        [this, name = order.name, load = slot.load](
            const std::optional<std::string>& error) { finishLoad(name, load, error); });
}

void AdapterSlots::finishLoad(
    const std::string& name, uint64_t load, const std::optional<std::string>& loaderError)
{
    const auto found = m_slots.find(name);
    if (found == m_slots.end() || found->second.load != load)
        return;
    Slot& slot = found->second;
    const std::vector<Callback> waiting = std::exchange(slot.waiting, {});
    const bool isInjected = m_random.chance(m_faults.loadFailures);
    std::optional<EngineError> error;
    if (loaderError || isInjected) {
        error = EngineError { 503, "load_failed", loaderError.value_or("the adapter could not be read") };
        ++m_metrics.counter("load_failures");
        m_slots.erase(found);
    } else {
        slot.isResident = true;
        ++m_metrics.counter("loads");
        m_metrics.gauge("load_seconds") += toSeconds(m_scheduler.now() - slot.started);
        if (m_onLoaded)
            m_onLoaded();
    }
    for (const Callback& done : waiting)
        done(error);
}

std::optional<EngineError> AdapterSlots::unload(const std::string& name, int64_t fencingNumber)
{
    if (auto error = checkFencing(fencingNumber))
        return error;
    const auto found = m_slots.find(name);
    if (found == m_slots.end())
        return EngineError { 404, "not_loaded", "no adapter is loaded under this name" };
    const std::vector<Callback> waiting = std::move(found->second.waiting);
    m_slots.erase(found);
    ++m_metrics.counter("unloads");
    for (const Callback& done : waiting)
        answerLater(done, EngineError { 503, "load_failed", "the adapter was unloaded while it loaded" });
    return std::nullopt;
}

std::optional<std::string> AdapterSlots::identityOf(const std::string& name) const
{
    const auto found = m_slots.find(name);
    if (found == m_slots.end() || !found->second.isResident)
        return std::nullopt;
    return found->second.adapter + "@" + found->second.version;
}

std::vector<std::string> AdapterSlots::residentNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, slot] : m_slots) {
        if (slot.isResident)
            names.push_back(name);
    }
    return names;
}

void AdapterSlots::answerLater(Callback done, std::optional<EngineError> error)
{
    m_scheduler.runAfter(Duration(0), [done = std::move(done), error = std::move(error)] { done(error); });
}

} // namespace lacewing
