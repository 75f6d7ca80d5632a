#pragma once

#include "base/ids.h"
#include "state/outcome.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lacewing {

/// What a daemon says about its own readiness.
enum class DaemonState {
    Starting,
    Live,
    /// Stopping gracefully: takes no new work.
    Draining,
};

/// @return the state as sent to peers and shown to operators.
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

/// Queueing class of a request.
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
    /// How old the sender's knowledge is that no higher revision exists, in milliseconds.
    int64_t headAgeMs = 0;
    /// Whether the sender's last call to the table succeeded.
    bool tableUp = false;
    /// Requests in progress.
    int64_t load = 0;
};

/// Answers a heartbeat.
struct HeartbeatAck {
    uint64_t seq = 0;
    Incarnation incarnation;
    /// Incarnation of the heartbeat that is acknowledged.
    Incarnation peerIncarnation;
    /// True if the sender promises not to end the session of peerIncarnation for the guard time from now. It
    /// counts for the receiver if the sender is the guardian named in its row.
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
    /// The most tokens that the request may cost.
    Tokens cost;
    RequestClass requestClass = RequestClass::Interactive;
    /// Time left in which the request must have started, in milliseconds.
    int64_t deadlineMs = 0;
    /// Index of the first token wanted; greater than 0 for a resumed stream.
    int64_t resumeFrom = 0;
    bool streaming = false;
    bool repeatable = true;
    /// Method and path for a plain service; empty for a model engine.
    std::string method;
    /// Path with query; for a model engine the caller's path, which tells the kind of completion.
    std::string path;
    std::string contentType;
    std::string body;
};

/// Part of an answer.
struct RunChunk {
    StreamId stream;
    /// Index of the first token in this chunk.
    int64_t firstToken = 0;
    /// Number of tokens in this chunk.
    int64_t tokens = 0;
    std::string bytes;
};

/// End of an answer.
struct RunEnd {
    StreamId stream;
    Outcome outcome = Outcome::Unknown;
    /// Reason code, empty if answered.
    std::string code;
    /// HTTP status for the caller.
    int status = 0;
    int64_t retryAfterMs = 0;
    int64_t promptTokens = 0;
    int64_t generatedTokens = 0;
    /// Why an engine stopped to generate: "stop" or "length".
    std::string finishReason;
    /// Of a plain service's answer.
    std::string contentType;
};

/// Cancels a request because its caller left.
struct RunCancel {
    StreamId stream;
};

/// Allows the owner to send more bytes of a stream.
struct RunWindow {
    StreamId stream;
    int64_t bytes = 0;
};

/// An amount of tokens of one workspace.
struct TokenAmount {
    WorkspaceId workspace;
    Tokens tokens;
};

/// Asks a peer for amounts out of its buckets.
struct QuotaRequest {
    uint64_t seq = 0;
    std::vector<TokenAmount> wanted;
};

/// Answers an QuotaRequest. The amounts expire a fixed time after the ask was sent.
struct QuotaGrant {
    uint64_t seq = 0;
    std::vector<TokenAmount> granted;
    /// What is left in the sender's buckets.
    std::vector<TokenAmount> levels;
};

/// Reports what became of earlier grants.
struct QuotaReturn {
    uint64_t seq = 0;
    /// Amounts that were charged to requests.
    std::vector<TokenAmount> spent;
    /// Amounts that go back into the bucket.
    std::vector<TokenAmount> unused;
};

/// What the owner of an upstream tells entries about it.
struct UpstreamReport {
    UpstreamId upstream;
    FencingNumber fencingNumber;
    int64_t running = 0;
    /// Interactive requests that wait for room although their adapter is ready.
    int64_t queued = 0;
    /// The same for batch requests.
    int64_t queuedBatch = 0;
    /// Value of the adapter that a load of another one would evict, in requests per million seconds.
    int64_t evictionCostPerMegasecond = 0;
    /// Resident adapters as "adapter@version".
    std::vector<std::string> residents;
};

/// Sent when an owner's upstreams change, at most every few hundred milliseconds.
struct UpstreamReports {
    /// All upstreams that the sender owns; others it owns no more.
    std::vector<UpstreamReport> upstreams;
};

/// Asks a peer for a configuration.
struct ConfigFetch {
    ContentHash hash;
};

/// Answers a ConfigFetch; empty if the peer does not have it.
struct ConfigData {
    ContentHash hash;
    std::string content;
};

/// Said before a link is closed on purpose.
struct Goodbye {
    Incarnation incarnation;
};

using PeerMessage = std::variant<Heartbeat, HeartbeatAck, RunRequest, RunChunk, RunEnd, RunCancel, RunWindow,
    QuotaRequest, QuotaGrant, QuotaReturn, UpstreamReports, ConfigFetch, ConfigData, Goodbye>;

/// Sends messages to peers. A message may be lost if its link breaks; on one link order is kept.
class PeerMessenger {
public:
    virtual ~PeerMessenger() = default;

    /// @return false if there is no link to the peer; nothing was sent then.
    virtual bool send(const HostId& peer, const PeerMessage& message) = 0;
};

} // namespace lacewing
