#pragma once

#include "base/ids.h"

#include <string>

namespace lacewing::gateway {

/// What is known of a request when its response arrives.
struct SentRequest {
    std::string id;
    /// Whether the connection has carried a request before this one.
    bool isOnReusedConnection = false;
    /// Whether the body of an event stream is read as events, which is so on routes with streams only.
    bool expectsEvents = true;
    /// Whether the method is HEAD, so that the response has no body whatever its head states.
    bool isHead = false;
    UpstreamId upstream;
    bool namesModel = false;
};

} // namespace lacewing::gateway
