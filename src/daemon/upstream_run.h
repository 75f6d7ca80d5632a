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

/// One request that the owner has sent to an upstream, from sending it until its end.
class UpstreamRun {
public:
    /// Hears of the run. Both are called on the loop, never inside start().
    struct Listener {
        std::function<void(const RunChunk& chunk)> onChunk;
        /// Called exactly once unless the run is destroyed before. May destroy the run.
        std::function<void(const RunEnd& end)> onEnd;
    };

    virtual ~UpstreamRun() = default;

    /// Sends the request.
    virtual void start() = 0;
    /// Allows more bytes of the answer. Reading from the upstream stops while the allowance is used up.
    virtual void addWindow(int64_t bytes) = 0;
};

/// Longest time without a byte from an upstream that has accepted a request.
constexpr Duration upstreamProgressTimeout = std::chrono::seconds(5);

/// What a run needs to know about its upstream.
struct UpstreamTarget {
    UpstreamId upstream;
    SocketAddress address;
    /// Name of the adapter at the engine; unused for a plain service.
    std::string residentName;
    /// Longest time without progress.
    Duration progressTimeout = upstreamProgressTimeout;
};

/// @return a run on a model engine. The client must outlive it.
std::unique_ptr<UpstreamRun> makeEngineRun(HttpClient& client, const UpstreamTarget& target,
    const RunRequest& request, UpstreamRun::Listener listener);

/// @return a run on a plain service. The client must outlive it.
std::unique_ptr<UpstreamRun> makeServiceRun(HttpClient& client, const UpstreamTarget& target,
    const RunRequest& request, UpstreamRun::Listener listener);

/// @return the end of a request that no upstream has seen.
RunEnd refusedRun(StreamId stream, std::string_view code, int status, Duration retryAfter);

} // namespace lacewing
