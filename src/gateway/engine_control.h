#pragma once

#include "base/ids.h"
#include "gateway/upstream_entry.h"

#include <functional>
#include <optional>

namespace lacewing::gateway {

/// Where an order or a request for a report goes.
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
    /// Order sequence at which the engine carries the order out; at any other it refuses.
    int64_t expectedSequence = 0;
    HostId holder;
    FencingNumber fencingNumber;
};

/// How an engine answered an order.
enum class OrderOutcome {
    /// Being carried out.
    Accepted,
    /// The engine's state already is as ordered.
    AlreadyHolds,
    /// Another order is under way, or the sequence differs.
    OutOfSequence,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another engine has the address.
    WrongInstance,
    /// The engine does not know such an order.
    Invalid,
    /// No answer: the order may be carried out at any later time at which its sequence matches.
    Unknown,
};

/// @return the outcome's name in snake_case, for logs and metrics.
const char* toString(OrderOutcome outcome);

/// Port to the control interface of model engines. Callbacks run on the loop's thread, never inside the call.
class EngineControl {
public:
    using OrderCallback = std::function<void(OrderOutcome outcome)>;
    /// Receives nothing if the engine did not answer.
    using ReportCallback = std::function<void(const std::optional<EngineReport>& report)>;

    virtual ~EngineControl() = default;

    virtual void order(const EngineTarget& target, const AdapterOrder& order, OrderCallback callback) = 0;
    virtual void report(const EngineTarget& target, ReportCallback callback) = 0;
};

} // namespace lacewing::gateway
