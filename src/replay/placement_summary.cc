#include "replay/placement_summary.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr Duration loadTime = std::chrono::milliseconds(250);
constexpr Duration shiftAbsorbed = std::chrono::seconds(30);
constexpr Duration shiftOver = std::chrono::seconds(90);

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

double PlacementSummary::worstWorkspaceShare() const
{
    double left = 0;
    for (const double tokens : served)
        left += tokens;
    std::vector<int> order;
    for (int workspace = 0; workspace < traceWorkspaces; ++workspace)
        order.push_back(workspace);
    std::sort(order.begin(), order.end(), [this](int a, int b) { return wanted[a] < wanted[b]; });
    double worst = 1;
    int open = traceWorkspaces;
    for (const int workspace : order) {
        const double fair = std::min(wanted[workspace], left / open);
        left -= fair;
        --open;
        if (fair > 0)
            worst = std::min(worst, served[workspace] / fair);
    }
    return worst;
}

void PlacementSummary::add(
    const PlacementResult& result, const PlacementDeployment& deployment, const PlacementTrace& trace)
{
    for (const PlacementRecord& record : result.records)
        addRecord(record, trace);
    loads += result.loads;
    engines.busySeconds += result.engineSums.busySeconds;
    engines.batchSeconds += result.engineSums.batchSeconds;
    engines.adapterSeconds += result.engineSums.adapterSeconds;
    engines.tokens += result.engineSums.tokens;
    addBounds(result, deployment, trace);
}

void PlacementSummary::addRecord(const PlacementRecord& record, const PlacementTrace& trace)
{
    const TraceRequest& request = record.request;
    if (request.at < trace.warmUp)
        return;
    const MonotonicTime sentAt(request.at);
    ++requests;
    refused += record.refusal.empty() ? 0 : 1;
    if (record.stalled) {
        ++stalls;
        const MonotonicTime end = record.loadedAt.value_or(MonotonicTime(trace.length));
        if (record.refusal.empty() && record.loadedAt)
            stallSeconds += toSeconds(end - sentAt);
    }
    const bool disturbed = request.at >= trace.disturbanceBegin && request.at < trace.disturbanceEnd;
    if (request.requestClass == RequestClass::Interactive && record.firstTokenAt) {
        auto& times = disturbed ? firstToken : quietFirstToken;
        if (disturbed || request.at < trace.disturbanceBegin)
            times.push_back(toSeconds(*record.firstTokenAt - sentAt));
    }
    if (disturbed) {
        const double tokens = request.promptTokens + request.outputTokens;
        wanted[request.workspace] += tokens;
        if (record.finishedAt && *record.finishedAt < MonotonicTime(trace.disturbanceEnd))
            served[request.workspace] += tokens;
    }
    addShift(record, trace);
}

void PlacementSummary::addShift(const PlacementRecord& record, const PlacementTrace& trace)
{
    Duration since = shiftOver;
    for (const Duration shift : trace.shifts) {
        if (record.request.at >= shift)
            since = record.request.at - shift;
    }
    if (since >= shiftOver) {
        ++steadyRequests;
        steadyStalls += record.stalled ? 1 : 0;
    } else if (since >= shiftAbsorbed) {
        ++shiftedRequests;
        shiftedStalls += record.stalled ? 1 : 0;
    }
}

void PlacementSummary::addBounds(
    const PlacementResult& result, const PlacementDeployment& deployment, const PlacementTrace& trace)
{
    std::vector<AdapterArrival> pooled;
    const auto slots = static_cast<size_t>(deployment.slots);
    for (const auto& arrivals : result.arrivals) {
        offlineStalls += lacewing::offlineStalls(arrivals, slots, loadTime, trace.warmUp);
        pooled.insert(pooled.end(), arrivals.begin(), arrivals.end());
    }
    std::sort(pooled.begin(), pooled.end(),
        [](const AdapterArrival& a, const AdapterArrival& b) { return a.at < b.at; });
    pooledOfflineStalls
        += lacewing::offlineStalls(pooled, slots * result.arrivals.size(), loadTime, trace.warmUp);
}

} // namespace lacewing
