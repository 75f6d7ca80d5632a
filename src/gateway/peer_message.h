#pragma once

#include "gateway/engine_scheduler.h"
#include "gateway/run_request.h"
#include "gateway/workspace_rate_limiter.h"
#include "state/row_store.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewing::gateway {

/// Sent to every peer at short intervals: the host lives, and what others need to know of it.
struct PeerHeartbeat {
    Incarnation incarnation;
    /// It serves callers and should be named to them.
    bool isReady = false;
    bool isStopping = false;
    /// The store answers it, so that it can become the owner of further engines.
    bool reachesStore = true;
    SocketAddress callerAddress;
    /// Store version of the configuration in force.
    RowVersion configurationVersion;
    /// Store version of the newest row of operators that the host has.
    RowVersion operatorVersion;
    /// Time since the host knew the configuration to be the newest; nothing if it never did.
    std::optional<Duration> configurationAge;
    /// For how long this host or the peers it heard have followed all spending.
    Duration usageKnownFor {};
    /// What has changed since the host's last report; all of it in the first heartbeat on a link.
    std::vector<UsageReport> usage;
    /// Adapters that its engines fetch from the weight store.
    int fetchesInFlight = 0;
    /// Engines that it owns.
    std::vector<EngineSummary> engines;
};

/// What a host has spent since its last report, between two heartbeats.
struct PeerUsage {
    Incarnation incarnation;
    std::vector<UsageReport> usage;
};

/// Asks a peer for the operators' rows that this host lacks.
struct PeerOperatorRequest {
    /// Rows of a higher version are wanted.
    RowVersion after;
};

/// Rows of operators, for a peer that has asked for them.
struct PeerOperatorRows {
    std::vector<StoredRow> rows;
};

/// Rows about upstreams that have changed, from a host that follows the store closely.
struct PeerUpstreamRows {
    std::vector<StoredRow> rows;
};

/// Asks the owner of an engine to let a request run.
struct PeerRunRequest {
    UpstreamId engine;
    RunId run;
    AdapterRef adapter;
    Tokens prompt;
    std::vector<PromptPart> parts;
    Tokens output;
    int priority = 0;
    /// From the time at which the message is sent.
    Duration onTimeWithin {};
    Duration latestWithin {};
    Duration targetPause {};
};

struct PeerRunGrant {
    RunId run;
    int urgency = 5;
    std::optional<int64_t> version;
};

struct PeerRunDenial {
    RunId run;
    RunRefusal reason = RunRefusal::Overloaded;
    Duration retryAfter {};
};

/// The first event of a run has arrived.
struct PeerRunProgress {
    UpstreamId engine;
    RunId run;
};

/// A run has ended, or is not wanted any more.
struct PeerRunEnd {
    UpstreamId engine;
    RunId run;
    RunEnding ending;
};

using PeerMessage = std::variant<PeerHeartbeat, PeerOperatorRequest, PeerOperatorRows, PeerUpstreamRows,
    PeerRunRequest, PeerRunGrant, PeerRunDenial, PeerRunProgress, PeerRunEnd, PeerUsage>;

/// @return the message as one CBOR frame.
std::string encodePeerMessage(const PeerMessage& message);
/// @return nothing if the frame is malformed or of an unknown type.
std::optional<PeerMessage> decodePeerMessage(std::string_view frame);

} // namespace lacewing::gateway
