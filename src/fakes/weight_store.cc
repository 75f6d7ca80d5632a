#include "fakes/weight_store.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

// Timers are rounded to nanoseconds, so a load that is closer to its end than this is done.
constexpr double roundingSeconds = 1e-8;

} // namespace

WeightStore::WeightStore(Scheduler& scheduler, const WeightStoreOptions& options)
    : m_scheduler(scheduler)
    , m_options(options)
    , m_allowance(options.burst)
    , m_allowanceTime(scheduler.now())
    , m_progressTime(scheduler.now())
{
}

bool WeightStore::takeAllowance()
{
    const MonotonicTime now = m_scheduler.now();
    m_allowance = std::min(
        m_options.burst, m_allowance + m_options.loadsPerSecond * toSeconds(now - m_allowanceTime));
    m_allowanceTime = now;
    if (m_allowance < 1 - roundingSeconds)
        return false;
    m_allowance -= 1;
    return true;
}

bool WeightStore::load(std::function<void()> done)
{
    if (!takeAllowance())
        return false;
    updateProgress();
    m_loads.push_back(Load { m_progress + toSeconds(m_options.loadTime), std::move(done) });
    m_peakLoads = std::max(m_peakLoads, m_loads.size());
    scheduleNext();
    return true;
}

double WeightStore::speed() const
{
    const auto loads = static_cast<double>(m_loads.size());
    return std::min(1.0, static_cast<double>(m_options.fullSpeedLoads) / std::max(loads, 1.0));
}

void WeightStore::updateProgress()
{
    const MonotonicTime now = m_scheduler.now();
    m_progress += speed() * toSeconds(now - m_progressTime);
    m_progressTime = now;
}

void WeightStore::scheduleNext()
{
    m_scheduler.cancel(m_timer);
    m_timer = 0;
    if (m_loads.empty())
        return;
    // All loads are equally long and advance alike, so the first to start is the first to end.
    const double seconds = std::max(0.0, m_loads.front().target - m_progress) / speed();
    m_timer = m_scheduler.runAfter(
        Duration(static_cast<int64_t>(std::ceil(seconds * 1e9))), [this] { finishLoads(); });
}

void WeightStore::finishLoads()
{
    m_timer = 0;
    updateProgress();
    std::vector<std::function<void()>> finished;
    while (!m_loads.empty() && m_loads.front().target <= m_progress + roundingSeconds) {
        finished.push_back(std::move(m_loads.front().done));
        m_loads.pop_front();
    }
    scheduleNext();
    for (const auto& done : finished)
        done();
}

} // namespace lacewing
