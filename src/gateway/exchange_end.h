#pragma once

#include "gateway/upstream_response.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <optional>

namespace lacewing::gateway {

/// How an exchange with an upstream has ended, as far as it matters for what follows.
enum class ExchangeEnd {
    /// Nothing of the request was handed to a connection.
    NotSent,
    /// The upstream has rejected the request without running it.
    NotExecuted,
    /// A whole response whose status callers take for the promise that the request has not run, although the
    /// upstream has not stated that, or not without contradiction.
    AmbiguousRejection,
    /// No whole response to this request.
    Broken,
    /// A whole response with a server error.
    Failed,
    /// A whole success that lacks the upstream's seal, or can't be read.
    Unverified,
    /// Any other whole response.
    Answered,
    /// A whole event stream.
    Streamed,
    /// The upstream hasn't answered within the time for one attempt. The exchange still goes on.
    Silent,
};

/// @return the end's name in snake_case, for logs and metrics.
const char* toString(ExchangeEnd end);

/// @return whether the upstream may have run the request in an exchange that has ended so.
bool mayHaveRun(ExchangeEnd end);

/// Decides how an exchange has ended. What its upstream says of the run counts only in a whole response to
/// this request whose head doesn't contradict itself.
///
/// Load pattern: upstreams in trouble break off responses, repeat earlier ones, and send heads that don't fit
/// what they have done.
///
/// @param result of the transport.
/// @param started how the end of the response is marked that the caller has got a part of; nothing if it has
/// got none.
ExchangeEnd endOfExchange(
    const UpstreamResponse& response, const HttpClientResult& result, std::optional<StreamEnd> started);

/// @return how the end of the response is marked for the caller: as the upstream marks it, since the caller
/// must not be told that a response is whole unless the upstream has said so.
StreamEnd streamEnd(const UpstreamResponse& response);

} // namespace lacewing::gateway
