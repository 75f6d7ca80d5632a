#pragma once

#include "base/metrics.h"
#include "gateway/call_admission.h"
#include "gateway/call_attributes.h"
#include "gateway/upstream_response.h"

#include <optional>

namespace lacewing::gateway {

/// What the log and the metrics tell of a call that has ended.
struct CallRecord {
    CallRecord(const CallAttributes& callAttributes, const CallAdmission& callAdmission,
        const UpstreamResponse& lastResponse)
        : attributes(callAttributes)
        , admission(callAdmission)
        , response(lastResponse)
    {
    }

    const CallAttributes& attributes;
    const CallAdmission& admission;
    /// The response that arrived last.
    const UpstreamResponse& response;
    Revision revision;
    /// The upstream that was chosen last; empty if none was.
    UpstreamId upstream;
    /// Version of the upstream that the request was sent to last; empty if it was sent to none.
    SoftwareVersion softwareVersion;
    int askedOwners = 0;
    int sends = 0;
    /// Time until the first byte of the answer; nothing if it has none.
    std::optional<Duration> firstByte;
    Duration duration {};
    const char* outcome = "";
    const char* reason = "";
};

/// Logs and counts a call that has ended.
void recordCall(MetricsRegistry& metrics, const CallRecord& record);

} // namespace lacewing::gateway
