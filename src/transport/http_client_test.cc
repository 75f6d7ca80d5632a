#include "transport/http_client.h"

#include "transport/http_server.h"
#include "transport/http_test_support.h"

#include <fcntl.h>

#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    RawServer rawServer { loop };
    std::unique_ptr<HttpClient> client = HttpClient::create(loop);
    std::unique_ptr<HttpClientCall> call;
    std::string body;
    std::optional<HttpClientResult> result;
    int doneCalls = 0;

    void serve(HttpServer::Handler handler)
    {
        std::string error;
        server = HttpServer::listen(loop, {}, std::move(handler), {}, error);
        BOOST_REQUIRE_MESSAGE(server, error);
    }
    HttpClientRequest request(const SocketAddress& address)
    {
        HttpClientRequest result;
        result.server = address;
        result.target = "/path?query=1";
        result.headers = { { "X-Test", "value" } };
        return result;
    }
    HttpClientHandlers handlers()
    {
        HttpClientHandlers handlers;
        handlers.onBody = [this](std::string_view bytes) { body += bytes; };
        handlers.onDone = [this](const HttpClientResult& done) {
            result = done;
            ++doneCalls;
        };
        return handlers;
    }
    void send(HttpClientRequest request)
    {
        body.clear();
        result.reset();
        call = client->send(std::move(request), handlers());
        BOOST_REQUIRE(!result);
    }
    void finish()
    {
        runUntil(loop, [this] { return result.has_value(); });
    }
    void fetch(HttpClientRequest request)
    {
        send(std::move(request));
        finish();
    }
    // Waits until the raw server has a whole request on its newest connection.
    RawPeer& acceptRequest(size_t connections = 1)
    {
        runUntil(loop, [this, connections] {
            return rawServer.peers.size() == connections && rawServer.peers.back()->received("\r\n\r\n");
        });
        return *rawServer.peers.back();
    }
    void runFor(Duration time)
    {
        loop.runAfter(time, [this] { loop.stop(); });
        loop.run();
    }
};

const std::string emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClientTest, Fixture)

// Guards against a method, target, header or body that is changed on its way.
BOOST_AUTO_TEST_CASE(RequestArrivesWhole)
{
    serve([](std::shared_ptr<HttpExchange> exchange) {
        const std::string test = exchange->headers().find("x-test").value_or("");
        exchange->reply(
            200, {}, exchange->method() + exchange->path() + exchange->query() + test + exchange->body());
    });
    for (const std::string method : { "POST", "GET", "PUT", "DELETE" }) {
        HttpClientRequest sent = request(server->address());
        sent.method = method;
        sent.body = "text";
        fetch(std::move(sent));
        BOOST_TEST(!result->error);
        BOOST_TEST(result->status == 200);
        BOOST_TEST(result->requestSent);
        BOOST_TEST(body == method + "/pathquery=1valuetext");
    }
    BOOST_TEST(client->connectionCount() == 1u);
}

// Guards against tokens that are held back until their chunk, or the whole answer, is complete.
BOOST_AUTO_TEST_CASE(BodyIsDeliveredAsItArrives)
{
    for (const std::string framing :
        { "Transfer-Encoding: chunked\r\n\r\n8\r\n", "Content-Length: 8\r\n\r\n", "\r\n" }) {
        rawServer.peers.clear();
        send(request(rawServer.address()));
        RawPeer& peer = acceptRequest();
        peer.send("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + framing + "1234");
        runUntil(loop, [&] { return body == "1234"; });
        peer.send(framing.size() > 30 ? "5678\r\n0\r\nTrailer: x\r\n\r\n" : "5678");
        runUntil(loop, [&] { return body == "12345678"; });
        peer.close();
        finish();
        BOOST_TEST(!result->error);
        BOOST_TEST(result->status == 200);
    }
}

// Guards against a cut-off answer that is taken for a whole one.
BOOST_AUTO_TEST_CASE(CutOffAnswerIsLost)
{
    for (const std::string answer : { "", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n1234",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n" }) {
        rawServer.peers.clear();
        send(request(rawServer.address()));
        RawPeer& peer = acceptRequest();
        peer.send(answer);
        peer.close();
        finish();
        BOOST_TEST((result->error == HttpClientError::ConnectionLost));
        BOOST_TEST(result->requestSent);
    }
    BOOST_TEST(client->connectionCount() == 0u);
}

// Guards against answers that would be understood differently elsewhere, or take all memory.
BOOST_AUTO_TEST_CASE(InvalidAnswerIsRefused)
{
    for (const std::string answer : { "SSH-2.0\r\n", "HTTP/1.1 2000 OK\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789", "HTTP/1.1 101 Switching\r\n\r\n" }) {
        rawServer.peers.clear();
        HttpClientRequest sent = request(rawServer.address());
        sent.maximumAnswerBytes = 8;
        send(std::move(sent));
        acceptRequest().send(answer);
        finish();
        BOOST_TEST((result->error == HttpClientError::InvalidAnswer));
    }
}

// Guards against a server that takes a request and is silent for good.
BOOST_AUTO_TEST_CASE(SilentServerTimesOut)
{
    HttpClientRequest sent = request(rawServer.address());
    sent.progressTimeout = 10ms;
    fetch(std::move(sent));
    BOOST_TEST((result->error == HttpClientError::TimedOut));
    BOOST_TEST(result->requestSent);
}

// Guards against an answer or a connection that came in time and is given up because the process was delayed.
BOOST_AUTO_TEST_CASE(ADelayedProcessTakesWhatCameInTime)
{
    constexpr auto timeout = 300ms;
    HttpClientRequest sent = request(rawServer.address());
    sent.connectTimeout = timeout;
    sent.progressTimeout = timeout;
    sent.totalTimeout = 3 * timeout;
    send(std::move(sent));
    std::this_thread::sleep_for(timeout + 100ms);
    RawPeer& peer = acceptRequest();
    peer.sendAtOnce(emptyAnswer);
    std::this_thread::sleep_for(3 * timeout);
    finish();
    BOOST_TEST(!result->error);
    BOOST_TEST(result->status == 200);
}

// Guards against answers given up, of many that came in time, because the process was delayed and one round
// of the loop doesn't read them all before the timers run.
BOOST_AUTO_TEST_CASE(ADelayedProcessTakesAllAnswersThatCameInTime)
{
    constexpr int count = 300;
    constexpr auto timeout = 4s;
    std::vector<std::unique_ptr<HttpClientCall>> calls;
    int answers = 0;
    int failures = 0;
    HttpClientHandlers handlers;
    handlers.onDone = [&](const HttpClientResult& done) { ++(done.error ? failures : answers); };
    for (size_t number = 1; number <= count; ++number) {
        HttpClientRequest sent = request(rawServer.address());
        sent.progressTimeout = timeout;
        calls.push_back(client->send(std::move(sent), handlers));
        acceptRequest(number);
    }
    for (const auto& peer : rawServer.peers)
        peer->sendAtOnce(emptyAnswer);
    std::this_thread::sleep_for(timeout);
    runUntil(loop, [&] { return answers + failures == count; });
    BOOST_TEST(failures == 0);
}

// Guards against a request reported as sent that no server has seen, which must not be counted as unknown.
BOOST_AUTO_TEST_CASE(FailedConnectionHasSentNothing)
{
    const SocketAddress closed = std::make_unique<RawServer>(loop)->address();
    fetch(request(closed));
    BOOST_TEST((result->error == HttpClientError::ConnectionRefused));
    BOOST_TEST(!result->requestSent);

    fetch(request({ "not-an-ip", 1 }));
    BOOST_TEST((result->error == HttpClientError::ConnectFailed));
    BOOST_TEST(!result->requestSent);
}

// Guards against a connect attempt that hangs: a full backlog makes the kernel ignore further attempts.
BOOST_AUTO_TEST_CASE(HangingConnectTimesOut)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_storage address {};
    socklen_t length = toSystemAddress({ "127.0.0.1", 0 }, address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(listener, generic, length) == 0);
    BOOST_REQUIRE(listen(listener, 0) == 0);
    getsockname(listener, generic, &length);
    std::vector<int> fillers;
    for (int i = 0; i < 4; ++i) {
        fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        connect(fillers.back(), generic, length);
    }
    HttpClientRequest sent = request(fromSystemAddress(generic));
    sent.connectTimeout = 20ms;
    fetch(std::move(sent));
    BOOST_TEST((result->error == HttpClientError::ConnectFailed));
    BOOST_TEST(!result->requestSent);
    for (const int filler : fillers)
        close(filler);
    close(listener);
}

// Guards against a second sending of a request that the server may have run.
BOOST_AUTO_TEST_CASE(LostRequestIsNotRepeated)
{
    send(request(rawServer.address()));
    RawPeer& peer = acceptRequest();
    peer.send(emptyAnswer);
    finish();
    const size_t firstLength = peer.all().size();
    send(request(rawServer.address()));
    runUntil(loop, [&] { return peer.all().size() == 2 * firstLength; });
    peer.close();
    finish();
    BOOST_TEST((result->error == HttpClientError::ConnectionLost));
    BOOST_TEST(result->requestSent);
    runFor(5ms);
    BOOST_TEST(rawServer.peers.size() == 1u);
}

// Guards against a request sent on an idle connection that is closed, too old, or has unexpected input.
BOOST_AUTO_TEST_CASE(UnsuitableIdleConnectionIsNotUsed)
{
    const auto answer = [this](size_t connections) -> RawPeer& {
        RawPeer& peer = acceptRequest(connections);
        peer.send(emptyAnswer);
        finish();
        BOOST_TEST(!result->error);
        return peer;
    };
    send(request(rawServer.address()));
    RawPeer& first = answer(1);
    BOOST_TEST(client->connectionCount() == 1u);
    first.close();
    // The loop does not run here, so the client has not been told of the close.
    send(request(rawServer.address()));
    RawPeer& second = answer(2);
    second.send("HTTP/1.1 200 OK\r\n");
    runUntil(loop, [&] { return client->connectionCount() == 0; });
    send(request(rawServer.address()));
    answer(3);
    runFor(5ms);
    HttpClientRequest sent = request(rawServer.address());
    sent.maximumIdleAge = 1ms;
    send(std::move(sent));
    answer(4);
    sent = request(rawServer.address());
    sent.maximumIdleAge = Duration::zero();
    send(std::move(sent));
    answer(5);
    BOOST_TEST(client->connectionCount() == 3u);
}

// Guards against an earlier answer that is taken for the one to a request, because the client does not tell
// that the connection was used before.
BOOST_AUTO_TEST_CASE(ACallTellsWhetherItsConnectionWasUsedBefore)
{
    for (const bool isReused : { false, true, true }) {
        send(request(rawServer.address()));
        acceptRequest().send(emptyAnswer);
        BOOST_TEST(call->isOnReusedConnection() == isReused);
        finish();
        BOOST_TEST(rawServer.peers.size() == 1u);
    }
    HttpClientRequest sent = request(rawServer.address());
    sent.maximumIdleAge = Duration::zero();
    send(std::move(sent));
    acceptRequest(2).send(emptyAnswer);
    BOOST_TEST(!call->isOnReusedConnection());
    finish();
}

// Guards against an upstream that fills memory while the caller reads slowly, and against a timeout of the
// client's own making.
BOOST_AUTO_TEST_CASE(PauseStopsTheServer)
{
    std::shared_ptr<HttpExchange> exchange;
    serve([&](auto incoming) { exchange = incoming; });
    HttpClientRequest sent = request(server->address());
    sent.progressTimeout = 30ms;
    sent.maximumAnswerBytes = 100 * 1024 * 1024;
    send(std::move(sent));
    runUntil(loop, [&] { return exchange != nullptr; });
    call->pauseReading();
    const std::string piece(64 * 1024 * 1024, 'x');
    exchange->startStream(200, {});
    exchange->sendChunk(piece);
    for (size_t before = 0; before != exchange->bufferedBytes();) {
        before = exchange->bufferedBytes();
        runFor(40ms);
    }
    // More than the socket buffers of both sides can take is left.
    BOOST_TEST(exchange->bufferedBytes() > 1024u * 1024u);
    BOOST_TEST(body == "");
    BOOST_TEST(!result);
    call->resumeReading();
    exchange->endStream();
    finish();
    BOOST_TEST(!result->error);
    BOOST_TEST((body == piece));
}

// Guards against input lost or delivered early, when a handler pauses while the rest has arrived already.
BOOST_AUTO_TEST_CASE(PauseInsideHandlerHoldsBackTheRest)
{
    HttpClientHandlers pausing = handlers();
    pausing.onHeaders = [this](int, const HttpHeaders&) { call->pauseReading(); };
    call = client->send(request(rawServer.address()), std::move(pausing));
    RawPeer& peer = acceptRequest();
    peer.send("HTTP/1.1 200 OK\r\n\r\nbody");
    peer.close();
    runFor(10ms);
    BOOST_TEST(body == "");
    BOOST_TEST(!result);
    call->resumeReading();
    finish();
    BOOST_TEST(body == "body");
}

// Guards against use of a call after it was freed, or a second end, when a handler ends its own call.
BOOST_AUTO_TEST_CASE(CallMayEndInsideItsHandlers)
{
    for (const bool isCancel : { true, false }) {
        for (int stage = 0; stage < 3; ++stage) {
            const auto end = [&](int at) {
                if (at != stage)
                    return;
                if (isCancel)
                    call->cancel();
                else
                    call.reset();
            };
            doneCalls = 0;
            HttpClientHandlers ending = handlers();
            ending.onHeaders = [&](int, const HttpHeaders&) { end(0); };
            ending.onBody = [&](std::string_view bytes) {
                body += bytes;
                end(1);
            };
            ending.onDone = [&](const HttpClientResult& done) {
                result = done;
                ++doneCalls;
                end(2);
            };
            rawServer.peers.clear();
            body.clear();
            call = client->send(request(rawServer.address()), std::move(ending));
            acceptRequest().send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
            runFor(10ms);
            const bool isDone = isCancel || stage == 2;
            BOOST_TEST(doneCalls == (isDone ? 1 : 0));
            BOOST_TEST(body == (stage == 0 ? "" : "body"));
            if (isDone && stage < 2)
                BOOST_TEST((result->error == HttpClientError::Cancelled));
        }
    }
}

// Guards against callbacks into a caller that has gone, in every state of a call.
BOOST_AUTO_TEST_CASE(CallMayEndAtAnyTime)
{
    send(request(rawServer.address()));
    call.reset();
    send(request(rawServer.address()));
    call->cancel();
    call->cancel();
    finish();
    BOOST_TEST((result->error == HttpClientError::Cancelled));
    BOOST_TEST(!result->requestSent);
    send(request(rawServer.address()));
    runUntil(
        loop, [this] { return !rawServer.peers.empty() && rawServer.peers.back()->received("\r\n\r\n"); });
    client.reset();
    call->cancel();
    runFor(5ms);
    BOOST_TEST(doneCalls == 1);
}

// Guards against a refusal that the client never sees, because the server closes while the body is sent.
BOOST_AUTO_TEST_CASE(EarlyRefusalOfLargeBodyIsSeen)
{
    serve([](auto) { BOOST_ERROR("the request must not reach the handler"); });
    HttpClientRequest sent = request(server->address());
    sent.method = "POST";
    sent.body = std::string(32 * 1024 * 1024, 'x');
    fetch(std::move(sent));
    BOOST_TEST(!result->error);
    BOOST_TEST(result->status == 413);
}

// Guards against an answer that is taken for a whole one although the connection broke, because the system
// tells an error of a socket only once: to the write of the request, after which the reads end without an
// error.
BOOST_AUTO_TEST_CASE(AnswerWithoutLengthIsNotWholeAfterAFailedWrite)
{
    HttpClientRequest sent = request(rawServer.address());
    sent.method = "POST";
    sent.body = std::string(32 * 1024 * 1024, 'x');
    send(std::move(sent));
    RawPeer& peer = acceptRequest();
    peer.pauseReading();
    peer.sendAtOnce("HTTP/1.1 200 OK\r\n\r\n1234");
    peer.close();
    finish();
    BOOST_TEST((result->error == HttpClientError::ConnectionLost));
}

// Guards against a target or header value that adds a field to the request, or a second request.
BOOST_AUTO_TEST_CASE(ValuesCannotSplitTheRequest)
{
    HttpClientRequest sent = request(rawServer.address());
    sent.target = "/a HTTP/1.1\r\nZ: z";
    sent.headers = { { "X", "a\r\nY: b" }, { "Content-Length", "5" } };
    send(std::move(sent));
    RawPeer& peer = acceptRequest();
    BOOST_TEST(peer.received("GET /a%20HTTP/1.1%0D%0AZ:%20z HTTP/1.1\r\n"));
    BOOST_TEST(peer.received("X: a  Y: b\r\n"));
    BOOST_TEST(!peer.received("Content-Length"));
}

BOOST_AUTO_TEST_SUITE_END()
