#pragma once

#include "base/ids.h"
#include "gateway/upstream_entry.h"

#include <functional>
#include <optional>

namespace lacewing::gateway {

/// Destination of an order or a report request.
struct EngineTarget {
    UpstreamId id;
    SocketAddress address;
};

/// Order to load or unload an adapter.
struct AdapterOrder {
    enum class Action { Load, Unload };

    Action action = Action::Load;
    ModelId model;
    AdapterId adapter;
    /// The engine executes the order only if its order sequence equals this value.
    int64_t expectedSequence = 0;
    HostId holder;
    FencingNumber fencingNumber;
};

/// Result of an order.
enum class OrderOutcome {
    /// In progress.
    Accepted,
    /// The engine is already in the requested state.
    AlreadyHolds,
    /// Another order is in progress, or the sequence differs.
    OutOfSequence,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another engine listens on the address.
    WrongInstance,
    /// The engine does not support the order.
    Invalid,
    /// No answer: the engine may still execute the order at any later time at which its sequence matches.
    Unknown,
};

/// @return the outcome's name in snake_case, for logs and metrics.
const char* toString(OrderOutcome outcome);

/// Interface to the control API of model engines. Callbacks run on the event loop's thread, never inside the
/// call.
class EngineControl {
public:
    using OrderCallback = std::function<void(OrderOutcome outcome)>;
    /// Called with nothing if the engine did not answer.
    using ReportCallback = std::function<void(const std::optional<EngineReport>& report)>;

    virtual ~EngineControl() = default;

    virtual void order(const EngineTarget& target, const AdapterOrder& order, OrderCallback callback) = 0;
    virtual void report(const EngineTarget& target, ReportCallback callback) = 0;
};

} // namespace lacewing::gateway
