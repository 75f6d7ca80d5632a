// Measures the HTTP server alone and a relay of server and client, each on a thread of its own, per second of
// that thread's processor time.
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <atomic>
#include <cstdio>
#include <ctime>
#include <future>
#include <thread>

ABSL_FLAG(int, requests, 50000, "small requests to send in each run");
ABSL_FLAG(int, chunks, 100000, "chunks to receive in each run");
ABSL_FLAG(int, requests_in_flight, 16, "requests in flight");
ABSL_FLAG(int, streams, 200, "streams open at a time");

namespace lacewing {
namespace {

constexpr size_t chunkBytes = 100;

/// Time between the chunks of a stream. Without it a relay that falls behind merges chunks and looks faster.
constexpr Duration chunkInterval = std::chrono::milliseconds(5);

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

// A server on a thread of its own.
class ServerThread {
public:
    using HandlerFactory = std::function<HttpServer::Handler(EventLoop&)>;

    explicit ServerThread(HandlerFactory factory)
        : m_thread([this, factory = std::move(factory)] { run(factory); })
    {
        m_address = m_started.get_future().get();
    }

    const SocketAddress& address() const { return m_address; }
    // Ends the thread and returns the processor time that it used.
    double stop()
    {
        m_stopping = true;
        m_thread.join();
        return m_processorSeconds;
    }

private:
    void run(const HandlerFactory& factory)
    {
        EventLoop loop;
        std::string error;
        const auto server = HttpServer::listen(loop, {}, factory(loop), {}, error);
        m_started.set_value(server->address());
        const std::function<void()> poll = [&] {
            if (m_stopping)
                loop.stop();
            else
                loop.runAfter(std::chrono::milliseconds(5), poll);
        };
        poll();
        loop.run();
        m_processorSeconds = threadSeconds();
    }

    std::promise<SocketAddress> m_started;
    SocketAddress m_address;
    std::atomic<bool> m_stopping = false;
    double m_processorSeconds = 0;
    std::thread m_thread;
};

// Keeps a number of requests in flight until a number of units, which are answers or chunks, has arrived.
class Load {
public:
    Load(SocketAddress server, std::string target, int units, int inFlight)
        : m_server(std::move(server))
        , m_target(std::move(target))
        , m_units(units)
        , m_calls(static_cast<size_t>(inFlight))
    {
    }

    void run()
    {
        for (size_t slot = 0; slot < m_calls.size(); ++slot)
            send(slot);
        m_loop.run();
        m_calls.clear();
    }

private:
    void send(size_t slot)
    {
        HttpClientRequest request;
        request.server = m_server;
        request.target = m_target;
        HttpClientHandlers handlers;
        handlers.onBody = [this](std::string_view bytes) {
            m_bytes += bytes.size();
            if (m_bytes >= static_cast<size_t>(m_units) * chunkBytes)
                m_loop.stop();
        };
        handlers.onDone = [this, slot](const HttpClientResult& result) {
            if (result.error)
                std::fprintf(stderr, "event=bench_request_failed error=%s\n", toString(*result.error));
            m_loop.runAfter(Duration::zero(), [this, slot] { send(slot); });
        };
        m_calls[slot] = m_client->send(std::move(request), std::move(handlers));
    }

    EventLoop m_loop;
    std::unique_ptr<HttpClient> m_client = HttpClient::create(m_loop);
    SocketAddress m_server;
    std::string m_target;
    int m_units;
    size_t m_bytes = 0;
    std::vector<std::unique_ptr<HttpClientCall>> m_calls;
};

void sendChunks(EventLoop& loop, const std::shared_ptr<HttpExchange>& exchange)
{
    if (!exchange->isOpen())
        return;
    exchange->sendChunk(std::string(chunkBytes, 'x'));
    loop.runAfter(chunkInterval, [&loop, exchange] { sendChunks(loop, exchange); });
}

HttpServer::Handler serveDirectly(EventLoop& loop)
{
    return [&loop](const std::shared_ptr<HttpExchange>& exchange) {
        if (exchange->path() != "/stream") {
            exchange->reply(200, {}, std::string(chunkBytes, 'x'));
            return;
        }
        exchange->startStream(200, {});
        sendChunks(loop, exchange);
    };
}

HttpServer::Handler relay(EventLoop& loop, const SocketAddress& upstream)
{
    return [upstream, client = std::shared_ptr<HttpClient>(HttpClient::create(loop))](
               const std::shared_ptr<HttpExchange>& exchange) {
        HttpClientRequest request;
        request.server = upstream;
        request.target = exchange->path();
        HttpClientHandlers handlers;
        handlers.onHeaders
            = [exchange](int status, const HttpHeaders& headers) { exchange->startStream(status, headers); };
        handlers.onBody = [exchange](std::string_view bytes) { exchange->sendChunk(bytes); };
        handlers.onDone = [exchange](const HttpClientResult& result) {
            if (result.error)
                exchange->abort();
            else
                exchange->endStream();
        };
        const auto call = std::make_shared<std::unique_ptr<HttpClientCall>>(
            client->send(std::move(request), std::move(handlers)));
        exchange->onClientLeft([call] { call->reset(); });
    };
}

// Returns units a second of processor time of the direct server, or of the relay in front of one.
double measure(bool isRelayed, const std::string& target, int units, int inFlight)
{
    ServerThread upstream(serveDirectly);
    if (!isRelayed) {
        Load(upstream.address(), target, units, inFlight).run();
        return units / upstream.stop();
    }
    ServerThread relayThread([&](EventLoop& loop) { return relay(loop, upstream.address()); });
    Load(relayThread.address(), target, units, inFlight).run();
    const double rate = units / relayThread.stop();
    upstream.stop();
    return rate;
}

void compare(const char* unit, const std::string& target, int units, int inFlight)
{
    const double direct = measure(false, target, units, inFlight);
    const double relayed = measure(true, target, units, inFlight);
    std::printf("unit=%s direct_per_core_second=%.0f relayed_per_core_second=%.0f direct_to_relayed=%.2f\n",
        unit, direct, relayed, direct / relayed);
}

} // namespace
} // namespace lacewing

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    lacewing::compare(
        "request", "/small", absl::GetFlag(FLAGS_requests), absl::GetFlag(FLAGS_requests_in_flight));
    lacewing::compare("chunk", "/stream", absl::GetFlag(FLAGS_chunks), absl::GetFlag(FLAGS_streams));
    return 0;
}
