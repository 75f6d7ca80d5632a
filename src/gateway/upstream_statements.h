#pragma once

#include "gateway/call_services.h"
#include "gateway/upstream_response.h"

#include <string>

namespace lacewing::gateway {

/// The request to which an upstream's response has arrived.
struct AnsweredRequest {
    std::string id;
    UpstreamId upstream;
    /// Start of the upstream's process.
    int64_t startedAt = 0;
    MonotonicTime sent;
};

/// Passes on what the head of a response says about its upstream's limit and availability. A response that
/// belongs to another request, or comes from another upstream, says nothing of this one.
///
/// @param response whose head has arrived.
void observeStatements(
    CallServices& services, const UpstreamResponse& response, const AnsweredRequest& request);

/// Records that an upstream that was chosen for a request may not get it any more.
void recordWithheld(CallServices& services, const std::string& requestId, const UpstreamId& upstream);

} // namespace lacewing::gateway
