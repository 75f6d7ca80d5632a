#pragma once

#include "gateway/engine_scheduler.h"
#include "gateway/prompt_quarantine.h"
#include "gateway/run_request.h"
#include "gateway/stream_name.h"
#include "gateway/upstream_availability.h"
#include "gateway/upstream_limits.h"
#include "gateway/workspace_rate_limiter.h"
#include "state/row_store.h"
#include "stream_inquiry/stream_inquiry.h"
#include "table_sync/change_log.h"
#include "table_sync/row_packer.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewing::gateway {

/// Identifies a request for permission to use an upstream; unique within the requesting host.
using PermitId = StrongNumber<struct PermitIdTag>;

/// Identifies a question about a stream; unique within the asking host.
using StreamQueryId = StrongNumber<struct StreamQueryIdTag>;

/// Sent to every peer at short intervals. Shows that the host is alive and carries its state.
struct PeerHeartbeat {
    Incarnation incarnation;
    /// The host serves callers and may be included in the hosts announced to them.
    bool isReady = false;
    bool isStopping = false;
    /// The store answers the host's calls, so that it can claim further engines.
    bool reachesStore = true;
    SocketAddress callerAddress;
    /// Store version of the host's current configuration.
    RowVersion configurationVersion;
    /// Highest store version of the operators' rows that the host has.
    RowVersion operatorVersion;
    /// Revision of the host's current configuration; 0 if it has none or does not state it.
    Revision configurationRevision;
    /// Newest era of the store that the host knows of.
    StoreEra storeEra;
    /// Time since the configuration was last confirmed to be the newest; nothing if it never was.
    std::optional<Duration> configurationAge;
    /// Time for which this host, or the peers it has heard from, have tracked all usage.
    Duration usageKnownFor {};
    /// Usage that has changed since the host's last report; all usage in the first heartbeat on a link.
    std::vector<UsageReport> usage;
    /// Number of adapters that the host's engines are fetching from the weight store.
    int fetchesInFlight = 0;
    /// State of the engines that the host owns.
    std::vector<EngineSummary> engines;
    /// All limits of upstreams that the host knows, in the first heartbeat on a link. Later changes are sent
    /// as PeerUpstreamLimit.
    std::vector<UpstreamLimit> limits;
    /// All quarantines of prompts, in the first heartbeat on a link. Later changes are sent as
    /// PeerQuarantines.
    std::vector<Quarantine> quarantines;
    /// All upstreams that are known to be leaving, in the first heartbeat on a link. Later ones are sent as
    /// PeerUpstreamLeaving.
    std::vector<LeavingStatement> leaving;
    /// The software versions of all services, in the first heartbeat on a link. Later changes are sent as
    /// PeerServiceVersions.
    std::vector<StoredRow> serviceVersions;
    /// Versions between which the table of upstreams has no changes; stated by the hosts that read the table.
    std::optional<table_sync::ChangeSpan> quietUpstreams = std::nullopt;
    /// The host can make connections to upstreams.
    bool reachesUpstreams = true;
    /// Time since the host last heard an upstream; nothing if it has heard none.
    std::optional<Duration> upstreamsHeardAge = std::nullopt;
    /// Where the host takes requests of peers that it passes on to upstreams; port 0 if it takes none.
    SocketAddress relayAddress = {};
};

/// Usage on a host since its last report, sent between two heartbeats.
struct PeerUsage {
    Incarnation incarnation;
    std::vector<UsageReport> usage;
};

/// Requests the operators' rows that the sender lacks.
struct PeerOperatorRequest {
    /// Only rows with a higher version are requested.
    RowVersion after;
};

/// Operators' rows, in response to PeerOperatorRequest.
struct PeerOperatorRows {
    std::vector<table_sync::PackedRow> rows;
};

/// Changes of the table of upstreams: from a host that reads it, or in response to PeerUpstreamRequest.
struct PeerUpstreamRows {
    table_sync::ChangeSet changes;
};

/// Requests the changes of the table of upstreams that the sender lacks.
struct PeerUpstreamRequest {
    /// Only changes with a higher version are requested.
    RowVersion after;
};

/// Asks the owner of an engine to admit a request.
struct PeerRunRequest {
    UpstreamId engine;
    RunId run;
    AdapterRef adapter;
    Tokens prompt;
    std::vector<PromptPart> parts;
    Tokens output;
    int priority = 0;
    /// The following times count from the sending of the message.
    Duration onTimeWithin {};
    Duration latestWithin {};
    Duration targetPause {};
    /// What the sender knows of the engine's limit, which the owner may have missed.
    std::optional<UpstreamLimit> limit;
    WorkspaceId workspace = {};
    Duration returnsWithin {};
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
    bool isPromised = false;
};

/// The first event of a run has arrived.
struct PeerRunProgress {
    UpstreamId engine;
    RunId run;
    /// Slowdown that the engine has stated in the response; nothing if it stated none.
    std::optional<double> slowdown = std::nullopt;
};

/// A run has ended or was cancelled.
struct PeerRunEnd {
    UpstreamId engine;
    RunId run;
    RunEnding ending;
};

/// An upstream has stated another limit, or none.
struct PeerUpstreamLimit {
    UpstreamLimit limit;
};

/// An upstream has stated that it is leaving.
struct PeerUpstreamLeaving {
    LeavingStatement statement;
};

/// An upstream that bears few rejections has rejected a request of the sender.
struct PeerBrittleRejection {
    rejection::BrittleRejection rejection;
};

/// The software versions of services have changed.
struct PeerServiceVersions {
    std::vector<StoredRow> rows;
};

/// Asks the deciding host for permission to send a request to an upstream that has stated a limit.
struct PeerPermitRequest {
    UpstreamId upstream;
    PermitId permit;
    /// Time for which the request can wait for its start.
    Duration patience {};
    /// What the sender knows of the upstream's limit, which the deciding host may have missed.
    std::optional<UpstreamLimit> limit;
};

struct PeerPermitAnswer {
    PermitId permit;
    bool isGranted = false;
    /// Time until the start if granted, otherwise until it may be worth asking again.
    Duration wait {};
};

/// Engines have broken off runs of the sender before their answers began.
struct PeerCrashReports {
    std::vector<CrashReport> reports;
};

/// An answer has begun that clears parts under suspicion, or the engine.
struct PeerAnswerBegan {
    AnswerBegin answer;
};

/// Quarantines that have changed.
struct PeerQuarantines {
    std::vector<Quarantine> quarantines;
};

/// Asks which version has begun a stream.
struct PeerStreamQuery {
    StreamQueryId query;
    ServiceId service;
    /// Nothing if the caller names no stream.
    std::optional<StreamName> name;
};

struct PeerStreamAnswer {
    StreamQueryId query;
    stream_inquiry::StreamKnowledge knowledge;
};

using PeerMessage = std::variant<PeerHeartbeat, PeerOperatorRequest, PeerOperatorRows, PeerUpstreamRows,
    PeerRunRequest, PeerRunGrant, PeerRunDenial, PeerRunProgress, PeerRunEnd, PeerUsage, PeerUpstreamLimit,
    PeerPermitRequest, PeerPermitAnswer, PeerCrashReports, PeerAnswerBegan, PeerQuarantines,
    PeerUpstreamLeaving, PeerServiceVersions, PeerUpstreamRequest, PeerStreamQuery, PeerStreamAnswer,
    PeerBrittleRejection>;

/// @return the message as one CBOR frame.
std::string encodePeerMessage(const PeerMessage& message);
/// @return nothing if the frame is malformed or of an unknown type.
std::optional<PeerMessage> decodePeerMessage(std::string_view frame);

} // namespace lacewing::gateway
