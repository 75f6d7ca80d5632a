#pragma once

#include "base/ids.h"
#include "state/outcome.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lacewing {

/// Lifecycle state of a daemon, as reported to its peers.
enum class DaemonState {
    Starting,
    Live,
    /// Shutting down gracefully: accepts no new requests.
    Draining,
};

/// @return the name of the state, as sent to peers and shown to operators.
constexpr const char* toString(DaemonState state)
{
    switch (state) {
    case DaemonState::Starting:
        return "starting";
    case DaemonState::Live:
        return "live";
    case DaemonState::Draining:
        return "leaving";
    }
    return "invalid";
}

/// Scheduling class of a request.
enum class RequestClass {
    Interactive,
    Batch,
};

/// Sent once a second to each connected peer.
struct Heartbeat {
    uint64_t seq = 0;
    Incarnation incarnation;
    DaemonState state = DaemonState::Starting;
    Revision revision;
    ContentHash configurationHash;
    /// Time since the sender last knew that no higher revision existed, in milliseconds.
    int64_t headAgeMs = 0;
    /// Whether the sender's most recent call to the table succeeded.
    bool tableUp = false;
    /// Number of requests in progress.
    int64_t load = 0;
};

/// Acknowledges a heartbeat.
struct HeartbeatAck {
    uint64_t seq = 0;
    Incarnation incarnation;
    /// Incarnation in the acknowledged heartbeat.
    Incarnation peerIncarnation;
    /// True if the sender promises not to end the session of peerIncarnation until the guard time has
    /// elapsed. The receiver relies on it only if its session row names the sender as guardian.
    bool guarding = false;
    Revision revision;
    ContentHash configurationHash;
    int64_t headAgeMs = 0;
    bool tableUp = false;
};

/// Asks the owner of an upstream to run a request.
struct RunRequest {
    StreamId stream;
    RequestId requestId;
    WorkspaceId workspace;
    RouteId route;
    AdapterId adapter;
    AdapterVersion version;
    /// Base model of the adapter.
    ModelId model;
    UpstreamId upstream;
    /// Upper bound of the tokens that the request may cost.
    Tokens cost;
    RequestClass requestClass = RequestClass::Interactive;
    /// Remaining time until the request must have started, in milliseconds.
    int64_t deadlineMs = 0;
    /// Index of the first token to send; greater than 0 for a resumed stream.
    int64_t resumeFrom = 0;
    bool streaming = false;
    bool repeatable = true;
    /// Method and path for a plain service; empty for a model engine.
    std::string method;
    /// Path with query; for a model engine the caller's path, which determines the completion API.
    std::string path;
    std::string contentType;
    std::string body;
};

/// Part of a response.
struct RunChunk {
    StreamId stream;
    /// Index of the first token in this chunk.
    int64_t firstToken = 0;
    /// Number of tokens in this chunk.
    int64_t tokens = 0;
    std::string bytes;
};

/// Result of a request; the last message of its stream.
struct RunEnd {
    StreamId stream;
    Outcome outcome = Outcome::Unknown;
    /// Reason code from state/refusal.h; empty if the outcome is Answered.
    std::string code;
    /// HTTP status for the caller.
    int status = 0;
    int64_t retryAfterMs = 0;
    int64_t promptTokens = 0;
    int64_t generatedTokens = 0;
    /// Why an engine stopped generating: "stop" or "length".
    std::string finishReason;
    /// Content type of a plain service's response.
    std::string contentType;
};

/// Cancels a request because its caller disconnected.
struct RunCancel {
    StreamId stream;
};

/// Flow-control credit: allows the owner to send more bytes of a stream.
struct RunWindow {
    StreamId stream;
    int64_t bytes = 0;
};

/// A number of tokens of one workspace.
struct TokenAmount {
    WorkspaceId workspace;
    Tokens tokens;
};

/// Requests tokens from the token buckets that a peer holds.
struct QuotaRequest {
    uint64_t seq = 0;
    std::vector<TokenAmount> wanted;
};

/// Answers a QuotaRequest. The granted tokens expire a fixed time after the request was sent.
struct QuotaGrant {
    uint64_t seq = 0;
    std::vector<TokenAmount> granted;
    /// Tokens that remain in the sender's buckets.
    std::vector<TokenAmount> levels;
};

/// Reports how the tokens of earlier grants were used.
struct QuotaReturn {
    uint64_t seq = 0;
    /// Tokens that were charged to requests.
    std::vector<TokenAmount> spent;
    /// Unused tokens, which are returned to the bucket.
    std::vector<TokenAmount> unused;
};

/// State of an upstream that its owner reports to the daemons that route requests to it.
struct UpstreamReport {
    UpstreamId upstream;
    FencingNumber fencingNumber;
    int64_t running = 0;
    /// Number of interactive requests that wait for free capacity although their adapter is loaded.
    int64_t queued = 0;
    /// Number of such batch requests.
    int64_t queuedBatch = 0;
    /// Value of the adapter that the next load would evict, as rated by the eviction policy, in requests per
    /// million seconds. 0 if a slot is free.
    int64_t evictionCostPerMegasecond = 0;
    /// Adapters that are loaded or loading, as "adapter@version".
    std::vector<std::string> residents;
};

/// Sent when the state of an owner's upstreams changes, at most once every few hundred milliseconds.
struct UpstreamReports {
    /// All upstreams that the sender owns. It no longer owns an upstream that is missing here.
    std::vector<UpstreamReport> upstreams;
};

/// Requests a configuration object from a peer by its hash.
struct ConfigFetch {
    ContentHash hash;
};

/// Answers a ConfigFetch. The content is empty if the peer does not have the object.
struct ConfigData {
    ContentHash hash;
    std::string content;
};

/// Announces that the sender is about to close the link deliberately.
struct Goodbye {
    Incarnation incarnation;
};

using PeerMessage = std::variant<Heartbeat, HeartbeatAck, RunRequest, RunChunk, RunEnd, RunCancel, RunWindow,
    QuotaRequest, QuotaGrant, QuotaReturn, UpstreamReports, ConfigFetch, ConfigData, Goodbye>;

/// Sends messages to peers. Messages on the same link stay in order; a message may be lost if its link
/// breaks.
class PeerMessenger {
public:
    virtual ~PeerMessenger() = default;

    /// @return false if there is no link to the peer, in which case nothing was sent.
    virtual bool send(const HostId& peer, const PeerMessage& message) = 0;
};

} // namespace lacewing
