#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "base/scheduler.h"
#include "fakes/adapter_loader.h"
#include "fakes/engine_options.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// An order to make an adapter resident.
struct LoadOrder {
    /// The name that completions use.
    std::string name;
    std::string model;
    std::string adapter;
    std::string version;
    int64_t fencingNumber = 0;
};

/// The adapters that an engine holds, and the orders that change them.
class AdapterSlots {
public:
    /// Receives nothing once the adapter is resident, or the error.
    using Callback = std::function<void(std::optional<EngineError>)>;

    /// All references must outlive this object.
    AdapterSlots(Scheduler& scheduler, const EngineOptions& options, const EngineFaults& faults,
        AdapterLoader& loader, MetricsRegistry& metrics);

    /// Loads an adapter. Orders for a name that is loading share one load.
    ///
    /// @param done called once, never within this call.
    void load(const LoadOrder& order, Callback done);

    /// Removes an adapter at once, also while it is loading or in use.
    ///
    /// @return the error, or nothing on success.
    std::optional<EngineError> unload(const std::string& name, int64_t fencingNumber);

    /// @return "adapter@version" of a resident name, or nothing.
    std::optional<std::string> identityOf(const std::string& name) const;
    std::vector<std::string> residentNames() const;
    /// @return the highest number of any order, or 0 if the engine ignores fencing numbers.
    int64_t fencingNumber() const { return m_fencingNumber; }
    /// Called each time an adapter has become resident.
    void onLoaded(std::function<void()> callback) { m_onLoaded = std::move(callback); }

private:
    struct Slot {
        std::string adapter;
        std::string version;
        bool isResident = false;
        /// Tells a load apart from an earlier one of the same name.
        uint64_t load = 0;
        MonotonicTime started;
        std::vector<Callback> waiting;
    };

    std::optional<EngineError> checkFencing(int64_t number);
    std::optional<EngineError> check(const LoadOrder& order);
    void startLoad(const LoadOrder& order, Callback done);
    void finishLoad(const std::string& name, uint64_t load, const std::optional<std::string>& error);
    void answerLater(Callback done, std::optional<EngineError> error);

    Scheduler& m_scheduler;
    const EngineOptions& m_options;
    const EngineFaults& m_faults;
    AdapterLoader& m_loader;
    MetricsRegistry& m_metrics;
    Random m_random;
    std::map<std::string, Slot> m_slots;
    int64_t m_fencingNumber = 0;
    uint64_t m_lastLoad = 0;
    std::function<void()> m_onLoaded;
};

} // namespace lacewing
