#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "experiment/weight_store.h"
#include "gateway/engine_scheduler.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace lacewing::experiment {

/// A model engine on virtual time: reads prompts one after the other, decodes all running requests in steps,
/// and loads and unloads adapters on order.
class ModelEngine {
public:
    /// What became of a run.
    enum class RunEvent {
        FirstEvent,
        /// The last event; the run is over.
        Finished,
        /// The engine does not hold the adapter; not run.
        AdapterMissing,
        /// The engine has crashed; the run is over.
        Lost,
    };
    using RunCallback = std::function<void(RunEvent event)>;
    using OrderCallback = std::function<void(gateway::OrderOutcome outcome)>;

    /// All must outlive the engine.
    ModelEngine(Scheduler& scheduler, WeightStore& store, const FleetShape& shape, ModelId model);

    /// @param urgency from 0 for first to 9 for last.
    /// @param parts of the prompt, if it shares parts with others.
    void run(const gateway::AdapterRef& adapter, Tokens prompt, int events, int urgency, RunCallback callback,
        std::vector<gateway::PromptPart> parts = {});
    void order(const gateway::PlannedOrder& order, const OrderCallback& callback);
    gateway::EngineReport report() const;
    bool isUp() const { return m_isUp; }
    bool holds(const gateway::AdapterRef& adapter) const;
    /// Loses all runs and adapters.
    void crash();
    void restart();
    Duration busyTime() const { return m_busyTime; }
    /// @param speed usual speed in multiples of the shape's.
    void setSpeed(double speed) { m_speed = speed; }
    /// @param slowdown by which everything takes longer that begins from now on.
    void setSlowdown(double slowdown) { m_slowdown = slowdown; }
    double slowdown() const { return m_slowdown; }

    /// How often the engine has read a prefix's last part, and the part's length.
    struct PartReads {
        int count = 0;
        Tokens tokens;
    };
    /// @return the parts that the engine has read, by the hash of the prefix that they end.
    const std::map<uint64_t, PartReads>& partReads() const { return m_partReads; }

private:
    struct Adapter {
        bool isLoaded = false;
        int users = 0;
    };

    struct Run {
        gateway::AdapterRef adapter;
        Tokens prompt;
        int events = 0;
        int urgency = 0;
        RunCallback callback;
        std::vector<gateway::PromptPart> parts;
    };

    void readNext();
    void promptRead();
    void finished(const std::shared_ptr<Run>& run);
    void load(const gateway::AdapterRef& adapter);
    void unload(const gateway::AdapterRef& adapter);
    Duration stepTime() const;
    /// @return the prompt's tokens that the engine does not keep, which it counts as read.
    Tokens readPrompt(const Run& run);
    void setRoomForKeptParts();

    Scheduler& m_scheduler;
    WeightStore& m_store;
    const FleetShape& m_shape;
    ModelId m_model;
    bool m_isUp = true;
    int64_t m_sequence = 0;
    std::map<gateway::AdapterRef, Adapter> m_adapters;
    std::deque<gateway::AdapterRef> m_warm;
    std::vector<std::shared_ptr<Run>> m_unread;
    std::vector<std::shared_ptr<Run>> m_running;
    /// The run whose prompt is being read.
    std::shared_ptr<Run> m_reading;
    Duration m_busyTime {};
    double m_speed = 1;
    double m_slowdown = 1;
    gateway::PrefixCacheModel m_kept;
    std::map<uint64_t, PartReads> m_partReads;
    /// Timers of the time before a crash do nothing.
    std::unique_ptr<Lifetime> m_life = std::make_unique<Lifetime>();
};

} // namespace lacewing::experiment
