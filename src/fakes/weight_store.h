#pragma once

#include "base/scheduler.h"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>

namespace lacewing {

/// Limits of the weight store.
struct WeightStoreOptions {
    double loadsPerSecond = 2;
    /// Loads that may start at once after a quiet time.
    double burst = 4;
    Duration loadTime = std::chrono::milliseconds(250);
    /// Loads in flight beyond this share the same total speed.
    int64_t fullSpeedLoads = 8;
};

/// The store of adapter weights: it limits how many loads start in a second, and loads slow each other down.
class WeightStore {
public:
    /// @param scheduler must outlive the store.
    WeightStore(Scheduler& scheduler, const WeightStoreOptions& options);

    /// Starts a load.
    ///
    /// @param done called when the load has ended, never within this call.
    /// @return false if the load was refused because of the rate; then done is never called.
    bool load(std::function<void()> done);

    size_t loadsInFlight() const { return m_loads.size(); }
    size_t peakLoadsInFlight() const { return m_peakLoads; }

private:
    struct Load {
        /// Value of m_progress at which the load is done.
        double target;
        std::function<void()> done;
    };

    bool takeAllowance();
    double speed() const;
    void updateProgress();
    void scheduleNext();
    void finishLoads();

    Scheduler& m_scheduler;
    WeightStoreOptions m_options;
    double m_allowance;
    MonotonicTime m_allowanceTime;
    /// Seconds that a load would have advanced since the start; all loads in flight advance alike.
    double m_progress = 0;
    MonotonicTime m_progressTime;
    std::list<Load> m_loads;
    size_t m_peakLoads = 0;
    TimerId m_timer = 0;
};

} // namespace lacewing
