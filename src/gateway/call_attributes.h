#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/run_request.h"
#include "transport/http_message.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// What a caller's request says about itself, beside method, path and body.
struct CallAttributes {
    /// Unique for each attempt of the caller; empty if missing.
    std::string requestId;
    /// How long the caller waits.
    std::optional<Duration> deadline;
    /// Key of a workspace, if one was presented.
    std::optional<std::string> key;
    /// Empty for a request that no model serves.
    ModelId model;
    /// Empty for the model's own weights.
    AdapterId adapter;
    std::optional<Tokens> promptTokens;
    /// The parts of the prompt in order; the last one belongs to the request or its session.
    std::vector<PromptPart> promptParts;
    std::optional<Tokens> maximumOutputTokens;
};

/// Fields that the gateway itself sets on a request to an upstream.
struct ForwardingFields {
    /// Time that is left of the caller's deadline.
    std::optional<Duration> deadline;
    UpstreamId expectedUpstream;
    std::optional<WorkspaceId> workspace;
    /// Order of admission at an engine: 0 is first, 9 is last.
    std::optional<int> urgency;
    /// Version of the adapter's weights that the request needs.
    std::optional<int64_t> expectedVersion;
    /// Id of the last event that the caller has, for a stream that goes on at another engine.
    std::optional<std::string> lastEventId;
};

/// Work at an upstream as it reports it with an answer.
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// What the head of an upstream's answer says.
struct ResponseAttributes {
    int status = 0;
    /// Request that the answer belongs to; empty if the answer does not say.
    std::string requestId;
    /// Whether the upstream vouches for the answer.
    bool isSealed = false;
    /// The upstream says that it has not run the request and never will.
    bool isNotExecuted = false;
    std::optional<ReportedLoad> load;
    /// How long the upstream keeps the connection open while it is idle.
    std::optional<Duration> keepAlive;
    /// An event stream rather than one body.
    bool isEventStream = false;
    bool hasContentEncoding = false;
};

/// Translates heads between callers, the gateway and upstreams. Implemented for each platform.
class CallTranslator {
public:
    virtual ~CallTranslator() = default;

    virtual CallAttributes readRequest(const HttpHeaders& headers) const = 0;
    /// @return the caller's fields without those of one connection and those that the gateway sets, and with
    /// the latter.
    virtual HttpHeaders upstreamHeaders(
        const HttpHeaders& callerHeaders, const ForwardingFields& fields) const = 0;
    virtual ResponseAttributes readResponse(int status, const HttpHeaders& headers) const = 0;
    /// @return the upstream's fields without those of one connection.
    virtual HttpHeaders callerHeaders(const HttpHeaders& upstreamHeaders) const = 0;
    /// @return fields of an answer of the gateway's own.
    ///
    /// @param retryAfter when the caller should come back, if it should.
    virtual HttpHeaders localReplyHeaders(
        const std::string& requestId, std::optional<Duration> retryAfter) const = 0;
};

} // namespace lacewing::gateway
