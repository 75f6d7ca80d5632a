#pragma once

#include "base/scheduler.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace lacewing {

/// Fetches adapter weights for an engine.
class AdapterLoader {
public:
    /// Receives nothing on success, or the reason of the failure.
    using Callback = std::function<void(std::optional<std::string> error)>;

    virtual ~AdapterLoader() = default;

    /// @param done called once, never within this call.
    virtual void load(const std::string& adapter, const std::string& version, Callback done) = 0;
};

/// A loader that takes a fixed time and always succeeds.
class TimedAdapterLoader : public AdapterLoader {
public:
    /// @param scheduler must outlive the loader.
    TimedAdapterLoader(Scheduler& scheduler, Duration time)
        : m_scheduler(scheduler)
        , m_time(time)
    {
    }

    void load(const std::string& adapter, const std::string& version, Callback done) override
    {
        m_scheduler.runAfter(m_time, [done = std::move(done)] { done(std::nullopt); });
    }

private:
    Scheduler& m_scheduler;
    Duration m_time;
};

} // namespace lacewing
