#include "gateway/call_record.h"

#include "base/log.h"

namespace lacewing::gateway {

void recordCall(MetricsRegistry& metrics, const CallRecord& record)
{
    const Route* route = record.admission.route;
    const ServingWorkspace* workspace = record.admission.workspace;
    const UpstreamResponse& response = record.response;
    LogEvent(LogLevel::Info, "call")
        .with("request", record.attributes.requestId)
        .with("route", route ? route->id.value() : "")
        .with("workspace", workspace ? workspace->id.value() : "")
        .with("revision", record.revision.value())
        .with("adapter", record.attributes.adapter)
        .with("upstream", record.upstream)
        .with("software_version", record.softwareVersion)
        .with("asks", record.askedOwners)
        .with("sends", record.sends)
        .with("status", response.attributes() ? response.attributes()->status : 0)
        .with("first_byte_ms", record.firstByte ? toMilliseconds(*record.firstByte) : -1)
        .with("longest_pause_ms", toMilliseconds(response.longestPause()))
        .with("framing", toString(response.framing()))
        .with("events", response.events().eventCount())
        .with("last_event", response.lastEventId().value_or(""))
        .with("ms", toMilliseconds(record.duration))
        .with("outcome", record.outcome)
        .with("reason", record.reason);
    const char* outcome = record.outcome;
    ++metrics.counter("lacewing_calls_total", { { "outcome", outcome } });
    metrics.histogram("lacewing_call_seconds", { { "outcome", outcome } })
        .observe(toSeconds(record.duration));
    if (!record.firstByte || !route)
        return;
    metrics.histogram("lacewing_first_byte_seconds", { { "kind", toString(route->kind) } })
        .observe(toSeconds(*record.firstByte));
}

} // namespace lacewing::gateway
