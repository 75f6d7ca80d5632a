#pragma once

#include "base/metrics.h"
#include "protocol/engine_stream.h"
#include "state/configuration.h"
#include "state/peer_messages.h"
#include "transport/http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

/// One request that runs on an upstream.
class UpstreamRun {
public:
    /// Callbacks for the response. Both are called on the event loop, never inside start().
    struct Listener {
        std::function<void(const RunChunk& chunk)> onChunk;
        /// Called exactly once unless the run is destroyed first. May destroy the run.
        std::function<void(const RunEnd& end)> onEnd;
    };

    virtual ~UpstreamRun() = default;

    /// Sends the request.
    virtual void start() = 0;
    /// Extends the flow control window. Reading from the upstream is paused while the window is used up.
    virtual void addWindow(int64_t bytes) = 0;
};

/// Longest time without received bytes from an upstream that has accepted a request.
constexpr Duration upstreamProgressTimeout = std::chrono::seconds(5);

/// The upstream that a run is sent to.
struct UpstreamTarget {
    UpstreamId upstream;
    SocketAddress address;
    /// Name under which the engine has loaded the adapter; unused for a plain service.
    std::string residentName;
    /// Longest time without received bytes.
    Duration progressTimeout = upstreamProgressTimeout;
    /// Unique id of this run, which its answer names.
    std::string callId;
};

/// @return a run on a model engine. The client must outlive the run.
std::unique_ptr<UpstreamRun> makeEngineRun(HttpClient& client, const UpstreamTarget& target,
    const RunRequest& request, UpstreamRun::Listener listener);

/// @return a run on a plain service. The client must outlive the run.
std::unique_ptr<UpstreamRun> makeServiceRun(HttpClient& client, const UpstreamTarget& target,
    const RunRequest& request, UpstreamRun::Listener listener);

/// Logs that an answer was rejected because it is not certainly the answer to this run.
void logForeignAnswer(const UpstreamTarget& target, int status);

/// @return the end of a request that was not run on any upstream.
RunEnd refusedRun(StreamId stream, std::string_view code, int status, Duration retryAfter);

} // namespace lacewing
