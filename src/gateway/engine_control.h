#pragma once

#include "base/ids.h"
#include "gateway/upstream_availability.h"
#include "gateway/upstream_entry.h"

#include <functional>
#include <optional>

namespace lacewing::gateway {

/// Destination of an order or a report request.
struct EngineTarget {
    UpstreamId id;
    SocketAddress address;
    /// Start of the engine's process.
    int64_t startedAt = 0;
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
    /// Receives what an engine says of its availability, before the callback of the call that it answers.
    using AvailabilityObserver
        = std::function<void(const AvailabilityObservation& observation, const char* kind)>;

    /// Receives the time for which an engine is still cold, before the callback of the call that it answers.
    using ColdObserver = std::function<void(const EngineTarget& target, Duration remaining)>;

    virtual ~EngineControl() = default;

    virtual void order(const EngineTarget& target, const AdapterOrder& order, OrderCallback callback) = 0;
    virtual void report(const EngineTarget& target, ReportCallback callback) = 0;

    /// @param observer called with the kind of the call that was answered, "order" or "report".
    void setAvailabilityObserver(AvailabilityObserver observer)
    {
        m_availabilityObserver = std::move(observer);
    }
    void setColdObserver(ColdObserver observer) { m_coldObserver = std::move(observer); }

protected:
    void observeAvailability(
        const EngineTarget& target, const AvailabilityStatement& statement, const char* kind) const
    {
        if (m_availabilityObserver && !statement.isEmpty())
            m_availabilityObserver({ target.id, target.startedAt, statement, std::nullopt }, kind);
    }

    void observeCold(const EngineTarget& target, std::optional<Duration> remaining) const
    {
        if (m_coldObserver && remaining)
            m_coldObserver(target, *remaining);
    }

private:
    AvailabilityObserver m_availabilityObserver;
    ColdObserver m_coldObserver;
};

} // namespace lacewing::gateway
