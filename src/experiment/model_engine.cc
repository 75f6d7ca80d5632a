#include "experiment/model_engine.h"

#include <algorithm>
#include <utility>

namespace lacewing::experiment {

using gateway::AdapterOrder;
using gateway::AdapterRef;
using gateway::OrderOutcome;

ModelEngine::ModelEngine(Scheduler& scheduler, WeightStore& store, const FleetShape& shape, ModelId model)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_shape(shape)
    , m_model(std::move(model))
{
}

bool ModelEngine::holds(const AdapterRef& adapter) const
{
    const auto found = m_adapters.find(adapter);
    return found != m_adapters.end() && found->second.isLoaded;
}

void ModelEngine::run(const AdapterRef& adapter, Tokens prompt, int events, int urgency, RunCallback callback,
    std::vector<gateway::PromptPart> parts)
{
    if (!m_isUp)
        return callback(RunEvent::Lost);
    if (!holds(adapter))
        return callback(RunEvent::AdapterMissing);
    ++m_adapters[adapter].users;
    m_unread.push_back(std::make_shared<Run>(
        Run { adapter, prompt, events, urgency, std::move(callback), std::move(parts) }));
    readNext();
}

Tokens ModelEngine::readPrompt(const Run& run)
{
    const Tokens kept = m_kept.cachedTokens(run.adapter, run.parts);
    affinity::PrefixHasher prefix(run.adapter.model, run.adapter.adapter);
    Tokens end;
    for (const gateway::PromptPart& part : run.parts) {
        prefix.append(part.id);
        end += part.tokens;
        if (end <= kept)
            continue;
        PartReads& reads = m_partReads[prefix.hash()];
        ++reads.count;
        reads.tokens = part.tokens;
    }
    return run.prompt - kept;
}

void ModelEngine::setRoomForKeptParts()
{
    Tokens room = m_shape.cacheTokens;
    for (const auto& run : m_running)
        room -= run->prompt + Tokens(static_cast<int64_t>(run->events) * m_shape.tokensPerEvent);
    m_kept.setCapacity(std::max(Tokens(0), room));
}

void ModelEngine::readNext()
{
    if (m_reading || m_unread.empty())
        return;
    const auto next = std::min_element(m_unread.begin(), m_unread.end(),
        [](const auto& a, const auto& b) { return a->urgency < b->urgency; });
    m_reading = *next;
    m_unread.erase(next);
    const auto reading
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(m_slowdown / m_speed
            * static_cast<double>(readPrompt(*m_reading).value()) / m_shape.promptTokensPerMillisecond));
    m_busyTime += reading;
    m_scheduler.runAfter(reading, m_life->guard([this] { promptRead(); }));
}

Duration ModelEngine::stepTime() const
{
    const Duration usual
        = m_shape.stepTime + m_shape.stepTimePerRequest * static_cast<int64_t>(m_running.size());
    return std::chrono::duration_cast<Duration>(m_slowdown / m_speed * usual);
}

void ModelEngine::promptRead()
{
    const auto run = std::exchange(m_reading, nullptr);
    m_running.push_back(run);
    setRoomForKeptParts();
    m_kept.promptProcessed(run->adapter, run->parts);
    m_scheduler.runAfter(
        stepTime() * m_shape.tokensPerEvent, m_life->guard([run] { run->callback(RunEvent::FirstEvent); }));
    m_scheduler.runAfter(
        stepTime() * m_shape.tokensPerEvent * run->events, m_life->guard([this, run] { finished(run); }));
    readNext();
}

void ModelEngine::finished(const std::shared_ptr<Run>& run)
{
    m_running.erase(std::find(m_running.begin(), m_running.end(), run));
    setRoomForKeptParts();
    const auto adapter = m_adapters.find(run->adapter);
    if (adapter != m_adapters.end())
        --adapter->second.users;
    run->callback(RunEvent::Finished);
}

void ModelEngine::order(const gateway::PlannedOrder& order, const OrderCallback& callback)
{
    if (!m_isUp)
        return callback(OrderOutcome::Unknown);
    const auto place = m_adapters.find(order.adapter);
    const bool isLoad = order.action == AdapterOrder::Action::Load;
    if (isLoad && place != m_adapters.end())
        return callback(place->second.isLoaded ? OrderOutcome::AlreadyHolds : OrderOutcome::Accepted);
    if (!isLoad && place == m_adapters.end())
        return callback(OrderOutcome::AlreadyHolds);
    if (order.expectedSequence != m_sequence)
        return callback(OrderOutcome::OutOfSequence);
    if (isLoad) {
        if (static_cast<int>(m_adapters.size()) >= m_shape.adapterPlaces)
            return callback(OrderOutcome::Invalid);
        load(order.adapter);
        ++m_sequence;
        return callback(OrderOutcome::Accepted);
    }
    if (place->second.users > 0 || !place->second.isLoaded)
        return callback(OrderOutcome::Invalid);
    unload(order.adapter);
    ++m_sequence;
    callback(OrderOutcome::AlreadyHolds);
}

void ModelEngine::load(const AdapterRef& adapter)
{
    m_adapters[adapter] = {};
    const auto warm = std::find(m_warm.begin(), m_warm.end(), adapter);
    const bool isFetch = warm == m_warm.end();
    if (!isFetch)
        m_warm.erase(warm);
    const Duration time = isFetch ? m_store.begin() : m_shape.warmLoadTime;
    if (isFetch)
        m_scheduler.runAfter(time, [this] { m_store.ended(); });
    m_scheduler.runAfter(time, m_life->guard([this, adapter] { m_adapters[adapter].isLoaded = true; }));
}

void ModelEngine::unload(const AdapterRef& adapter)
{
    m_adapters.erase(adapter);
    m_kept.forget(adapter);
    m_warm.push_back(adapter);
    if (static_cast<int>(m_warm.size()) > m_shape.warmCopies)
        m_warm.pop_front();
}

gateway::EngineReport ModelEngine::report() const
{
    gateway::EngineReport report;
    report.orderSequence = m_sequence;
    gateway::HeldModel model;
    model.model = m_model;
    for (const auto& [adapter, place] : m_adapters)
        (place.isLoaded ? model.adapters : model.loading).push_back({ adapter.adapter, 0 });
    report.models.push_back(std::move(model));
    return report;
}

void ModelEngine::crash()
{
    m_isUp = false;
    m_life = std::make_unique<Lifetime>();
    m_adapters.clear();
    m_warm.clear();
    m_kept = gateway::PrefixCacheModel();
    auto lost = std::exchange(m_unread, {});
    if (m_reading)
        lost.push_back(std::exchange(m_reading, nullptr));
    for (const auto& run : std::exchange(m_running, {}))
        lost.push_back(run);
    for (const auto& run : lost)
        run->callback(RunEvent::Lost);
}

void ModelEngine::restart()
{
    m_isUp = true;
    m_sequence = 0;
}

} // namespace lacewing::experiment
