#include "replay/placement_trace.h"

#include "base/random.h"
#include "base/zipf_distribution.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lacewing {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int shiftedAdapters = 50;
// Shares of the adapters: a few workspaces are large.
constexpr double workspaceShares[traceWorkspaces] = { 0.4, 0.3, 0.15, 0.1, 0.05 };
constexpr double greedyFactor = 5;

class TraceGenerator {
public:
    TraceGenerator(const PlacementDeployment& deployment, TraceScenario scenario, uint64_t seed)
        : m_deployment(deployment)
        , m_scenario(scenario)
        , m_random(seed)
        , m_adapterAtRank(static_cast<size_t>(deployment.adapters))
        , m_popularity(deployment.adapters, deployment.zipfExponent)
    {
        std::iota(m_adapterAtRank.begin(), m_adapterAtRank.end(), 0);
        shuffle();
        for (int adapter = 0; adapter < deployment.adapters; ++adapter)
            m_workspaceOf.push_back(drawWorkspace());
    }

    PlacementTrace generate()
    {
        PlacementTrace trace = times();
        size_t nextShift = 0;
        const double peak = m_deployment.requestsPerSecond * peakFactor();
        for (double at = 0;;) {
            at += -std::log(1 - m_random.uniform()) / peak;
            const auto time = Duration(static_cast<Duration::rep>(at * 1e9));
            if (time >= trace.length)
                break;
            while (nextShift < trace.shifts.size() && time >= trace.shifts[nextShift]) {
                shift();
                ++nextShift;
            }
            const TraceRequest request = draw(time);
            // Thinning: the peak rate is drawn, and a request is kept with the share of the peak that is due.
            if (m_random.uniform() * peakFactor() < factor(request, trace))
                trace.requests.push_back(request);
        }
        return trace;
    }

private:
    void shuffle()
    {
        for (size_t i = m_adapterAtRank.size() - 1; i > 0; --i)
            std::swap(m_adapterAtRank[i], m_adapterAtRank[m_random.below(i + 1)]);
    }

    int drawWorkspace()
    {
        double left = m_random.uniform();
        for (int workspace = 0; workspace < traceWorkspaces; ++workspace) {
            left -= workspaceShares[workspace];
            if (left < 0)
                return workspace;
        }
        return traceWorkspaces - 1;
    }

    PlacementTrace times() const
    {
        PlacementTrace trace;
        trace.warmUp = minutes(5);
        trace.length = minutes(35);
        trace.disturbanceBegin = trace.warmUp;
        trace.disturbanceEnd = trace.length;
        if (m_scenario == TraceScenario::FridayWave) {
            trace.length = minutes(55);
            trace.disturbanceBegin = minutes(20);
            trace.disturbanceEnd = minutes(50);
        }
        if (m_scenario == TraceScenario::PopularityShift) {
            trace.length = minutes(65);
            for (auto at = minutes(10); at < trace.length; at += minutes(5))
                trace.shifts.emplace_back(at);
        }
        return trace;
    }

    double peakFactor() const
    {
        if (m_scenario == TraceScenario::FridayWave)
            return 10;
        return m_scenario == TraceScenario::GreedyWorkspace ? greedyFactor : 1;
    }

    double factor(const TraceRequest& request, const PlacementTrace& trace) const
    {
        const bool disturbed = request.at >= trace.disturbanceBegin && request.at < trace.disturbanceEnd;
        if (m_scenario == TraceScenario::FridayWave)
            return disturbed && request.requestClass == RequestClass::Batch ? 10 : 1;
        if (m_scenario == TraceScenario::GreedyWorkspace)
            return request.workspace == greedyWorkspace && disturbed ? greedyFactor : 1;
        return 1;
    }

    void shift()
    {
        const size_t count = m_adapterAtRank.size();
        for (size_t rank = 0; rank < shiftedAdapters; ++rank)
            std::swap(m_adapterAtRank[rank], m_adapterAtRank[count / 3 + m_random.below(count * 2 / 3)]);
    }

    TraceRequest draw(Duration at)
    {
        TraceRequest request;
        request.at = at;
        request.adapter = m_adapterAtRank[m_popularity.draw(m_random)];
        request.workspace = m_workspaceOf[static_cast<size_t>(request.adapter)];
        const bool batch = m_random.chance(m_deployment.batchFraction);
        request.requestClass = batch ? RequestClass::Batch : RequestClass::Interactive;
        request.promptTokens = 50 + static_cast<int>(m_random.below(300));
        const int longest = batch ? 450 : 200;
        request.outputTokens = 20 + static_cast<int>(m_random.below(static_cast<uint64_t>(longest)));
        return request;
    }

    PlacementDeployment m_deployment;
    TraceScenario m_scenario;
    Random m_random;
    std::vector<int> m_adapterAtRank;
    std::vector<int> m_workspaceOf;
    ZipfDistribution m_popularity;
};

} // namespace

const char* toString(TraceScenario scenario)
{
    switch (scenario) {
    case TraceScenario::Steady:
        return "steady";
    case TraceScenario::FridayWave:
        return "wave";
    case TraceScenario::GreedyWorkspace:
        return "greedy";
    case TraceScenario::PopularityShift:
        return "shift";
    case TraceScenario::EngineRestarts:
        return "restarts";
    case TraceScenario::LoadFailures:
        return "load-failures";
    }
    return "invalid";
}

PlacementTrace generatePlacementTrace(
    const PlacementDeployment& deployment, TraceScenario scenario, uint64_t seed)
{
    return TraceGenerator(deployment, scenario, seed).generate();
}

} // namespace lacewing
