#pragma once

#include "fakes/fault_settings.h"
#include "fakes/held_exchanges.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/// The faults of connections, for --help.
extern const char* const connectionFaultsHelp;

/// HTTP server of a stand-in. It serves GET and POST /control and GET /metrics itself, and shows faults of
/// connections (see connectionFaultsHelp). /control and /metrics are answered on silent connections too, so
/// that a fault can be ended.
class FakeServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// @param loop, faults must outlive the server.
    /// @param metrics writes the counters of GET /metrics.
    /// @param handler serves all other requests.
    FakeServer(EventLoop& loop, FaultSettings& faults, std::function<std::string()> metrics, Handler handler);

    /// @param error receives the reason if the address can't be bound.
    /// @return false if the address can't be bound.
    bool listen(const SocketAddress& address, std::string& error);
    /// @return the address with the port that was bound.
    const SocketAddress& address() const { return m_options.address; }

private:
    /// The connections that were accepted by one listening socket. They share one fate, because an exchange
    /// does not tell on which connection it came.
    struct Group {
        std::unique_ptr<HttpServer> server;
        std::shared_ptr<bool> silent;
    };

    void addFaults();
    /// Makes the connections that are open now silent for good.
    void silenceOpenConnections();
    void refuseNewFor(Duration time);
    void applySilence();
    bool startGroup(std::string& error);
    void resumeListening();
    void serve(Group& group, const std::shared_ptr<HttpExchange>& exchange);
    void serveControl(HttpExchange& exchange);
    bool isRefusing() const { return m_refusalTimer != 0; }

    EventLoop& m_loop;
    FaultSettings& m_faults;
    std::function<std::string()> m_metrics;
    Handler m_handler;
    HttpServerOptions m_options;
    HeldExchanges m_held;
    std::vector<std::unique_ptr<Group>> m_groups;
    TimerId m_refusalTimer = 0;
    bool m_isSilent = false;
};

} // namespace lacewing
