#include "gateway/upstream_statements.h"

#include "base/log.h"

namespace lacewing::gateway {

namespace {

constexpr int statusMisdirected = 421;

void observeLimit(CallServices& services, const UpstreamResponse& response, const AnsweredRequest& request)
{
    const ResponseAttributes& attributes = *response.attributes();
    LimitObservation observation;
    observation.upstream = request.upstream;
    observation.startedAt = request.startedAt;
    observation.rate = attributes.requestLimit;
    observation.isConclusive = response.isSuccess() && !attributes.hasUnreadableLimit;
    observation.requestSent = request.sent;
    observation.coldFor = attributes.coldFor;
    services.limitObserved(observation, request.id);
}

void observeAvailability(
    CallServices& services, const UpstreamResponse& response, const AnsweredRequest& request)
{
    const AvailabilityStatement& statement = response.attributes()->availability;
    // A success without the seal may come from anyone.
    if (response.isUnverified())
        return;
    AvailabilityObservation observation { request.upstream, request.startedAt, statement, std::nullopt };
    if (response.isSuccess())
        observation.succeeded = request.sent;
    if (observation.succeeded || !statement.isEmpty())
        services.availabilityObserved(observation, request.id);
}

} // namespace

void observeStatements(
    CallServices& services, const UpstreamResponse& response, const AnsweredRequest& request)
{
    // The late response to another request may state what no longer holds, and a misdirected request was
    // answered by another upstream.
    if (!response.matchesRequest() || response.attributes()->status == statusMisdirected)
        return;
    observeLimit(services, response, request);
    observeAvailability(services, response, request);
}

void recordWithheld(CallServices& services, const std::string& requestId, const UpstreamId& upstream)
{
    const auto leavingFor = services.availability.leavingFor(upstream, services.loop.now());
    const bool isUsable = services.upstreams.findUsable(upstream) != nullptr;
    const UpstreamEntry* entry = services.upstreams.find(upstream);
    const bool isEvacuated = entry && services.upstreams.isEvacuated(*entry);
    const char* reason = isUsable ? "resting" : leavingFor ? "leaving" : isEvacuated ? "evacuated" : "gone";
    ++services.metrics.counter("lacewing_withheld_requests_total", { { "reason", reason } });
    LogEvent(LogLevel::Info, "request_withheld")
        .with("request", requestId)
        .with("upstream", upstream)
        .with("reason", reason)
        .with("known_for_ms", toMilliseconds(leavingFor.value_or(Duration::zero())));
}

} // namespace lacewing::gateway
