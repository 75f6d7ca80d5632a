#pragma once

namespace lacewing::gateway {

/// How an engine's owner decides which requests start and which are denied while there is too little
/// capacity.
enum class OverloadPolicy {
    /// A request is admitted if it can start in time behind all that arrived before it.
    Arrival,
    /// The whole queue is planned by priority (RunQueuePlanner).
    Priority,
};

} // namespace lacewing::gateway
