#include "replay/batch_engine.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lacewing {

namespace {

constexpr double baseStepSeconds = 0.020;
constexpr double stepSecondsPerRequest = 0.0005;
constexpr double stepSecondsPerAdapter = 0.0015;
constexpr double prefillSecondsPerToken = 0.00015;

} // namespace

BatchEngine::BatchEngine(Scheduler& scheduler, std::function<void(int)> onDone)
    : m_scheduler(scheduler)
    , m_onDone(std::move(onDone))
{
}

BatchEngine::~BatchEngine()
{
    m_scheduler.cancel(m_timer);
}

Duration BatchEngine::start(int request, int adapter, int promptTokens, int outputTokens)
{
    progress();
    ++m_perAdapter[adapter];
    m_running[request] = { adapter, 0, outputTokens };
    const double step = stepSeconds();
    const double prefill = promptTokens * prefillSecondsPerToken;
    m_running[request].remaining = outputTokens + prefill / step;
    scheduleNext();
    return Duration(static_cast<Duration::rep>((prefill + step) * 1e9));
}

std::map<int, int> BatchEngine::stop()
{
    progress();
    std::map<int, int> left;
    for (const auto& [request, state] : m_running)
        left[request] = std::clamp(static_cast<int>(std::ceil(state.remaining)), 1, state.outputTokens);
    m_running.clear();
    m_perAdapter.clear();
    scheduleNext();
    return left;
}

const BatchEngine::Sums& BatchEngine::sums()
{
    progress();
    return m_sums;
}

void BatchEngine::resetSums()
{
    progress();
    m_sums = Sums {};
}

double BatchEngine::stepSeconds() const
{
    return baseStepSeconds + stepSecondsPerRequest * static_cast<double>(m_running.size())
        + stepSecondsPerAdapter * static_cast<double>(m_perAdapter.size());
}

void BatchEngine::progress()
{
    const double elapsed = toSeconds(m_scheduler.now() - m_progressedAt);
    m_progressedAt = m_scheduler.now();
    if (m_running.empty())
        return;
    const double steps = elapsed / stepSeconds();
    for (auto& [request, state] : m_running)
        state.remaining -= steps;
    m_sums.busySeconds += elapsed;
    m_sums.batchSeconds += elapsed * static_cast<double>(m_running.size());
    m_sums.adapterSeconds += elapsed * static_cast<double>(m_perAdapter.size());
    m_sums.tokens += steps * static_cast<double>(m_running.size());
}

void BatchEngine::scheduleNext()
{
    m_scheduler.cancel(m_timer);
    m_timer = 0;
    if (m_running.empty())
        return;
    double least = m_running.begin()->second.remaining;
    for (const auto& [request, state] : m_running)
        least = std::min(least, state.remaining);
    const double seconds = std::max(least, 0.0) * stepSeconds();
    // Rounded up, so that the request is due when the timer runs.
    const auto delay = Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e9)) + 1);
    m_timer = m_scheduler.runAfter(delay, [this] { finishDue(); });
}

void BatchEngine::finishDue()
{
    progress();
    std::vector<int> done;
    for (const auto& [request, state] : m_running) {
        if (state.remaining <= 1e-6)
            done.push_back(request);
    }
    for (const int request : done) {
        const auto adapter = m_perAdapter.find(m_running[request].adapter);
        if (--adapter->second == 0)
            m_perAdapter.erase(adapter);
        m_running.erase(request);
    }
    scheduleNext();
    for (const int request : done)
        m_onDone(request);
}

} // namespace lacewing
