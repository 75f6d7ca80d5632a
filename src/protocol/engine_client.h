#pragma once

#include "base/ids.h"
#include "protocol/http_call_set.h"
#include "state/engine_status.h"

#include <functional>
#include <optional>
#include <string>

namespace lacewing {

/// Why an order to an engine failed.
enum class EngineOrderError {
    StaleFencingNumber,
    LoadFailed,
    NoFreeSlot,
    NotLoaded,
    /// The engine has not seen the order.
    NotSent,
    /// The order may or may not have been carried out.
    Unknown,
};

/// @return the error's name in snake_case, for logs and metrics.
const char* toString(EngineOrderError error);

/// Orders to one model engine, over the HTTP protocol of docs/upstream-protocol.md.
class EngineClient {
public:
    using StatusCallback = std::function<void(const std::optional<EngineStatus>& status)>;
    using OrderCallback = std::function<void(std::optional<EngineOrderError> error)>;

    /// @param client, callIds must outlive the object.
    EngineClient(HttpClient& client, CallIds& callIds, SocketAddress engine);

    /// Reads the engine's status; nothing if it does not answer.
    void readStatus(StatusCallback callback);

    /// Orders the engine to load an adapter.
    ///
    /// @param deadline after which the outcome counts as unknown.
    void load(const std::string& name, const ModelId& model, const AdapterKey& adapter, FencingNumber number,
        Duration deadline, OrderCallback callback);

    /// Orders the engine to evict an adapter.
    void unload(const std::string& name, FencingNumber number, Duration deadline, OrderCallback callback);

private:
    void send(const char* method, const char* target, std::string body, Duration deadline,
        HttpCallSet::Callback callback);
    void order(const char* target, std::string body, Duration deadline, OrderCallback callback);

    HttpCallSet m_calls;
    SocketAddress m_engine;
};

} // namespace lacewing
