#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_rate.h"
#include "gateway/event_format.h"
#include "gateway/run_request.h"
#include "gateway/upstream_availability.h"
#include "transport/http_message.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// Attributes that a caller's request states in its headers.
struct CallAttributes {
    /// Unique for each attempt by the caller; empty if missing.
    std::string requestId;
    /// Time from the arrival of the request within which the caller expects the response.
    std::optional<Duration> deadline;
    /// API key of a workspace, if the request has one.
    std::optional<std::string> key;
    /// Empty for a request that does not need a model.
    ModelId model;
    /// Empty for the base model without an adapter.
    AdapterId adapter;
    std::optional<Tokens> promptTokens;
    /// Parts of the prompt in order; the last one is specific to the request or its session.
    std::vector<PromptPart> promptParts;
    std::optional<Tokens> maximumOutputTokens;
    /// Id of the last event that the caller has, if it takes a stream up.
    std::optional<std::string> lastEventId;
    /// The caller's try that brought the first event of that stream; empty if the caller doesn't name it.
    std::string resumedRequestId;
};

/// Header fields that the gateway sets on a request to an upstream.
struct ForwardingFields {
    /// Time remaining until the caller's deadline.
    std::optional<Duration> deadline;
    UpstreamId expectedUpstream;
    std::optional<WorkspaceId> workspace;
    /// Admission priority at an engine, from 0 (first) to 9 (last).
    std::optional<int> urgency;
    /// Version of the adapter's weights that the request needs.
    std::optional<int64_t> expectedVersion;
    /// Id of the last event sent to the caller, when a stream is resumed at another engine.
    std::optional<std::string> lastEventId;
};

/// Load that an upstream reports in the headers of a response.
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How much longer than usual work takes on the upstream at present; 1 for as usual. Nothing if not
    /// stated.
    std::optional<double> slowdown = std::nullopt;
};

/// Whether the head of a response has the field which states that the request has not run and never will.
enum class NotExecutedField {
    Absent,
    Stated,
    /// The field has a value that does not affirm it, or several fields differ.
    Unclear,
};

/// Attributes that an upstream states in the head of a response.
struct ResponseAttributes {
    int status = 0;
    /// Id of the request that the response belongs to; empty if not stated.
    std::string requestId;
    /// Whether the response states the ids of several requests.
    bool hasConflictingIds = false;
    /// The upstream that the response names as its own, if it names one.
    std::optional<UpstreamId> respondingUpstream;
    /// Whether the response has the seal header, by which the upstream attests it.
    bool isSealed = false;
    NotExecutedField notExecuted = NotExecutedField::Absent;
    std::optional<ReportedLoad> load;
    /// Requests that the upstream takes from all hosts together, if it states a limit.
    std::optional<RequestRate> requestLimit;
    /// The upstream states a limit that is no valid number.
    bool hasUnreadableLimit = false;
    /// Time for which the upstream is still cold, if it states that.
    std::optional<Duration> coldFor;
    AvailabilityStatement availability;
    /// Time for which the upstream keeps an idle connection open.
    std::optional<Duration> keepAlive;
    /// Whether the body is an event stream.
    bool isEventStream = false;
    bool hasContentEncoding = false;
};

/// Translates header fields between callers, the gateway and upstreams. Implemented for each platform.
class CallTranslator {
public:
    virtual ~CallTranslator() = default;

    virtual CallAttributes readRequest(const HttpHeaders& headers) const = 0;
    /// @return the caller's headers without hop-by-hop fields, and with the fields that the gateway sets in
    /// place of any that the caller sent.
    virtual HttpHeaders upstreamHeaders(
        const HttpHeaders& callerHeaders, const ForwardingFields& fields) const = 0;
    virtual ResponseAttributes readResponse(int status, const HttpHeaders& headers) const = 0;
    /// @return the format of the events of an upstream's stream.
    virtual const EventFormat& eventFormat() const = 0;
    /// @return the upstream's headers without hop-by-hop fields, and without the statement that the request
    /// has not run, which the gateway makes by the status of a refusal.
    virtual HttpHeaders callerHeaders(const HttpHeaders& upstreamHeaders) const = 0;
    /// @param retryAfter time after which the caller should retry, if it should.
    /// @return the headers of a response that the gateway generates itself.
    virtual HttpHeaders localReplyHeaders(
        const std::string& requestId, std::optional<Duration> retryAfter) const = 0;
};

} // namespace lacewing::gateway
