#include "transport/websocket_session.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

#include <string>

namespace lacewing {

namespace {

// NOLINTBEGIN(readability-identifier-naming): websocketpp prescribes these names.

/// Options of websocketpp for one thread and without its own logging.
template <typename Base> struct SessionConfig : Base {
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using request_type = typename Base::request_type;
    using response_type = typename Base::response_type;
    using rng_type = websocketpp::random::random_device::int_generator<uint32_t, concurrency_type>;
    static bool const enable_multithreading = false;
    static bool const drop_on_protocol_error = true;
    // Requests with a body are not part of a websocket handshake.
    static size_t const max_http_body_size = 0;

    struct transport_config : Base::transport_config {
        using concurrency_type = websocketpp::concurrency::none;
        using elog_type = websocketpp::log::stub;
        using alog_type = websocketpp::log::stub;
        static bool const enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
};

// NOLINTEND(readability-identifier-naming)

using ServerConfig = SessionConfig<websocketpp::config::core>;
using ClientConfig = SessionConfig<websocketpp::config::core_client>;
using ServerEndpoint = websocketpp::server<ServerConfig>;
using ClientEndpoint = websocketpp::client<ClientConfig>;

/// The address is known to the transport only; a handshake must name some host.
constexpr const char* handshakeUri = "ws://peer/lacewing";
constexpr const char* productName = "lacewinglb";

} // namespace

/// Hides whether the session is a server or a client.
class WebsocketSession::Implementation {
public:
    virtual ~Implementation() = default;

    virtual void start() = 0;
    virtual void receive(std::string_view bytes) = 0;
    virtual State state() const = 0;
    virtual uint16_t closeCode() const = 0;
    virtual void setMaximumMessageBytes(size_t maximum) = 0;
    virtual bool send(std::string_view message) = 0;
    virtual void ping() = 0;
    virtual void close(uint16_t code) = 0;
};

/// A connection together with an endpoint of its own, which it refers to.
template <typename Config, typename Endpoint>
class WebsocketSession::Endpointed : public WebsocketSession::Implementation {
public:
    Endpointed(size_t maximumMessageBytes, WebsocketCallbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
        m_endpoint.set_user_agent(productName);
        if constexpr (std::is_same_v<Endpoint, ServerEndpoint>) {
            m_connection = m_endpoint.get_connection();
        } else {
            websocketpp::lib::error_code error;
            m_connection = m_endpoint.get_connection(handshakeUri, error);
        }
        m_connection->set_max_message_size(maximumMessageBytes);
        setHandlers();
    }

    ~Endpointed() override
    {
        // The handlers refer to this object, and the library may keep its connection in a cycle.
        m_connection->set_write_handler(nullptr);
        m_connection->set_open_handler(nullptr);
        m_connection->set_message_handler(nullptr);
    }

    void start() override
    {
        if constexpr (std::is_same_v<Endpoint, ServerEndpoint>)
            m_connection->start();
        else
            m_endpoint.connect(m_connection);
    }

    void receive(std::string_view bytes) override
    {
        try {
            m_connection->read_all(bytes.data(), bytes.size());
        } catch (const websocketpp::exception&) {
            m_violated = true;
        } catch (const websocketpp::http::exception&) {
            m_violated = true;
        }
    }

    State state() const override
    {
        if (m_violated || m_connection->get_ec())
            return State::Violated;
        // 1006 stands for "no close frame received".
        if (m_connection->get_remote_close_code() != websocketpp::close::status::abnormal_close)
            return State::ClosedByPeer;
        const bool closed = m_connection->get_state() == websocketpp::session::state::closed;
        return closed ? State::Violated : State::Active;
    }

    uint16_t closeCode() const override { return m_connection->get_remote_close_code(); }

    void setMaximumMessageBytes(size_t maximum) override { m_connection->set_max_message_size(maximum); }

    bool send(std::string_view message) override
    {
        return !m_connection->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
    }

    void ping() override
    {
        websocketpp::lib::error_code error;
        m_connection->ping("", error);
    }

    void close(uint16_t code) override
    {
        websocketpp::lib::error_code error;
        m_connection->close(code, "", error);
    }

private:
    void setHandlers()
    {
        m_connection->set_write_handler([this](websocketpp::connection_hdl, char const* bytes, size_t size) {
            m_callbacks.onOutput(std::string_view(bytes, size));
            return websocketpp::lib::error_code();
        });
        m_connection->set_open_handler([this](websocketpp::connection_hdl) { m_callbacks.onOpen(); });
        m_connection->set_message_handler(
            [this](websocketpp::connection_hdl, const typename Endpoint::message_ptr& message) {
                if (m_violated)
                    return;
                if (message->get_opcode() == websocketpp::frame::opcode::binary)
                    m_callbacks.onMessage(message->get_payload());
                else
                    m_violated = true;
            });
    }

    WebsocketCallbacks m_callbacks;
    Endpoint m_endpoint;
    typename Endpoint::connection_ptr m_connection;
    /// A text message was received.
    bool m_violated = false;
};

WebsocketSession::WebsocketSession(
    WebsocketRole role, size_t maximumMessageBytes, WebsocketCallbacks callbacks)
{
    using Server = Endpointed<ServerConfig, ServerEndpoint>;
    using Client = Endpointed<ClientConfig, ClientEndpoint>;
    if (role == WebsocketRole::Server)
        m_implementation = std::make_unique<Server>(maximumMessageBytes, std::move(callbacks));
    else
        m_implementation = std::make_unique<Client>(maximumMessageBytes, std::move(callbacks));
}

WebsocketSession::~WebsocketSession() = default;

void WebsocketSession::start()
{
    m_implementation->start();
}

void WebsocketSession::receive(std::string_view bytes)
{
    m_implementation->receive(bytes);
}

WebsocketSession::State WebsocketSession::state() const
{
    return m_implementation->state();
}

uint16_t WebsocketSession::closeCode() const
{
    return m_implementation->closeCode();
}

void WebsocketSession::setMaximumMessageBytes(size_t maximum)
{
    m_implementation->setMaximumMessageBytes(maximum);
}

bool WebsocketSession::send(std::string_view message)
{
    return m_implementation->send(message);
}

void WebsocketSession::ping()
{
    m_implementation->ping();
}

void WebsocketSession::close(uint16_t code)
{
    m_implementation->close(code);
}

} // namespace lacewing
