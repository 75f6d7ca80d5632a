#include "transport/http_server.h"

#include "transport/http_test_support.h"

#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

const std::string getA = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string getB = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";

std::string post(const std::string& fields, const std::string& body)
{
    return "POST /p HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

struct Fixture {
    EventLoop loop;
    HttpServerOptions options;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    std::vector<std::string> rejections;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<RawPeer> peer;

    // Starts a server whose handler keeps the exchanges, and connects to it.
    void start()
    {
        std::string error;
        server = HttpServer::listen(
            loop, options, [this](const auto& exchange) { exchanges.push_back(exchange); },
            [this](const std::string& reason) { rejections.push_back(reason); }, error);
        BOOST_REQUIRE_MESSAGE(server, error);
        peer = std::make_unique<RawPeer>(loop, server->address());
    }
    void startAndSend(const std::string& bytes, size_t expectedExchanges = 1)
    {
        start();
        peer->send(bytes);
        runUntil(loop, [&] { return exchanges.size() == expectedExchanges; });
    }
    void waitForClose()
    {
        runUntil(loop, [&] { return peer->isClosed(); });
    }
};

struct MalformedCase {
    std::string bytes;
    std::string status;
    std::string reason;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, Fixture)

// Guards against request smuggling: a request on whose end two parsers could disagree reaches the handler.
BOOST_AUTO_TEST_CASE(MalformedRequestIsRefused)
{
    options.maximumHeaderBytes = 1000;
    options.maximumBodyBytes = 100;
    const std::string nul(1, '\0');
    const std::vector<MalformedCase> cases = {
        { "GET\r\n\r\n", "400", "malformed_start_line" },
        { "GET /a\r\n\r\n", "400", "malformed_start_line" },
        { "G(T /a HTTP/1.1\r\n", "400", "malformed_start_line" },
        { "GET /a b HTTP/1.1\r\n", "400", "malformed_target" },
        { "GET /a\x7f HTTP/1.1\r\n", "400", "control_character_in_head" },
        { "GET http://h/a HTTP/1.1\r\n", "400", "target_not_in_origin_form" },
        { "CONNECT h:80 HTTP/1.1\r\n", "400", "target_not_in_origin_form" },
        { "GET /a HTTP/2.0\r\n", "400", "unsupported_version" },
        { "GET /a HTTP/1.1\n", "400", "bare_line_feed" },
        { "GET /a HTTP/1.1\r\nHost: a\rb\r\n\r\n", "400", "control_character_in_head" },
        { "GET /a HTTP/1.1\r\nHost: a" + nul + "b\r\n\r\n", "400", "control_character_in_head" },
        { "GET /a HTTP/1.1\r\nHost : h\r\n\r\n", "400", "malformed_header" },
        { "GET /a HTTP/1.1\r\nHost: h\r\n continued\r\n\r\n", "400", "malformed_header" },
        { "GET /a HTTP/1.1\r\nno colon\r\n\r\n", "400", "malformed_header" },
        { "GET /a HTTP/1.1\r\n\r\n", "400", "host_not_given_once" },
        { "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400", "host_not_given_once" },
        { post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"), "400", "conflicting_content_length" },
        { post("Content-Length: 1, 1\r\n", "a"), "400", "malformed_content_length" },
        { post("Content-Length: +1\r\n", "a"), "400", "malformed_content_length" },
        { post("Content-Length: 18446744073709551617\r\n", "a"), "400", "malformed_content_length" },
        { post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), "400",
            "content_length_with_transfer_encoding" },
        { post("Transfer-Encoding: gzip, chunked\r\n", ""), "400", "unsupported_transfer_encoding" },
        { post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", ""), "400",
            "unsupported_transfer_encoding" },
        { "POST /p HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "400", "transfer_encoding_in_http_1_0" },
        { post("Transfer-Encoding: chunked\r\n", "0x1\r\na\r\n0\r\n\r\n"), "400", "malformed_chunk" },
        { post("Transfer-Encoding: chunked\r\n", "10000000000000001\r\na\r\n0\r\n\r\n"), "400",
            "malformed_chunk" },
        { post("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n"), "400", "malformed_chunk" },
        { post("Transfer-Encoding: chunked\r\n", "1\na\r\n0\r\n\r\n"), "400", "malformed_chunk" },
        { post("Transfer-Encoding: chunked\r\n", "1;" + std::string(2000, 'x')), "400", "malformed_chunk" },
        { post("X: " + std::string(2000, 'x'), ""), "431", "headers_too_large" },
        { post("Content-Length: 101\r\n", ""), "413", "body_too_large" },
        { post("Transfer-Encoding: chunked\r\n", "65\r\n" + std::string(0x65, 'x') + "\r\n0\r\n\r\n"), "413",
            "body_too_large" },
    };
    for (const MalformedCase& malformed : cases) {
        BOOST_TEST_CONTEXT(malformed.bytes)
        {
            rejections.clear();
            start();
            // The second request shows whether the connection is used after the first was refused.
            peer->send(malformed.bytes + getA);
            waitForClose();
            BOOST_TEST(peer->all().substr(0, 13) == "HTTP/1.1 " + malformed.status + " ");
            BOOST_TEST(peer->received("Connection: close\r\n"));
            BOOST_TEST(peer->received(R"("code":")" + malformed.reason));
            BOOST_TEST(rejections == std::vector<std::string> { malformed.reason },
                boost::test_tools::per_element());
            BOOST_TEST(exchanges.empty());
        }
    }
}

// Guards against answers that cross when a later request on the connection could be answered first.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder)
{
    startAndSend(getA + getB);
    loop.runAfter(10ms, [&] { loop.stop(); });
    loop.run();
    BOOST_REQUIRE(exchanges.size() == 1u);
    exchanges[0]->reply(200, {}, exchanges[0]->path());
    BOOST_TEST(exchanges.size() == 1u);
    runUntil(loop, [&] { return exchanges.size() == 2; });
    exchanges[1]->reply(200, {}, exchanges[1]->path());
    exchanges[0]->reply(200, {}, "twice");
    runUntil(loop, [&] { return peer->received("/b"); });
    BOOST_TEST(peer->all().find("/a") < peer->all().find("/b"));
    BOOST_TEST(!peer->received("twice"));
}

// Guards against work that goes on for a client that has left, and against a late answer after that.
BOOST_AUTO_TEST_CASE(ClientThatLeavesIsNoticed)
{
    for (const bool isStreaming : { false, true }) {
        exchanges.clear();
        startAndSend(getA);
        int calls = 0;
        exchanges[0]->onClientLeft([&] { ++calls; });
        if (isStreaming) {
            exchanges[0]->startStream(200, {});
            exchanges[0]->sendChunk("part");
            runUntil(loop, [&] { return peer->received("part"); });
        }
        peer->close();
        runUntil(loop, [&] { return calls > 0; });
        BOOST_TEST(!exchanges[0]->isOpen());
        exchanges[0]->sendChunk("late");
        exchanges[0]->endStream();
        exchanges[0]->reply(200, {}, "late");
        BOOST_TEST(calls == 1);
        BOOST_TEST(server->openExchangeCount() == 0u);
        BOOST_TEST(server->openConnectionCount() == 0u);
    }
}

// Guards against buffers that grow without the handler knowing, and against a stream that never goes on.
BOOST_AUTO_TEST_CASE(SlowReaderShowsInBufferedBytes)
{
    startAndSend(getA);
    int drained = 0;
    exchanges[0]->onDrained([&] { ++drained; });
    peer->pauseReading();
    exchanges[0]->startStream(200, {});
    // More than the socket buffers of both sides can take.
    const std::string piece(64 * 1024 * 1024, 'x');
    exchanges[0]->sendChunk(piece);
    loop.runAfter(20ms, [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(exchanges[0]->bufferedBytes() > 1024u * 1024u);
    BOOST_TEST(drained == 0);
    peer->resumeReading();
    runUntil(loop, [&] { return drained > 0; });
    BOOST_TEST(exchanges[0]->bufferedBytes() == 0u);
    exchanges[0]->endStream();
    const std::string end = "x\r\n0\r\n\r\n";
    runUntil(loop, [&] {
        const std::string& all = peer->all();
        return all.size() > piece.size() && all.compare(all.size() - end.size(), end.size(), end) == 0;
    });
}

// Guards against a client that never reads and holds its stream's memory for good.
BOOST_AUTO_TEST_CASE(ClientThatStopsReadingIsDisconnected)
{
    options.writeTimeout = 20ms;
    startAndSend(getA);
    bool hasLeft = false;
    exchanges[0]->onClientLeft([&] { hasLeft = true; });
    peer->pauseReading();
    exchanges[0]->startStream(200, {});
    exchanges[0]->sendChunk(std::string(64 * 1024 * 1024, 'x'));
    runUntil(loop, [&] { return hasLeft; });
    BOOST_TEST(!exchanges[0]->isOpen());
}

// Guards against slow senders that hold connections, and against a 408 on a connection that is only idle.
BOOST_AUTO_TEST_CASE(SlowSenderIsDisconnected)
{
    options.readTimeout = 20ms;
    for (const std::string part :
        { "GET /a HT", "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab" }) {
        start();
        peer->send(part);
        waitForClose();
        BOOST_TEST(peer->received("HTTP/1.1 408 "));
    }
    start();
    waitForClose();
    BOOST_TEST(peer->all() == "");
    BOOST_TEST(rejections.size() == 2u);
}

// Guards against a client that sends a head byte by byte, each in time, and so never times out.
BOOST_AUTO_TEST_CASE(TricklingHeadIsDisconnected)
{
    options.readTimeout = 50ms;
    start();
    std::function<void()> trickle = [&] {
        if (!rejections.empty())
            return;
        peer->send("x");
        loop.runAfter(5ms, trickle);
    };
    trickle();
    waitForClose();
    BOOST_TEST(peer->received("HTTP/1.1 408 "));
}

// Guards against a connection that is closed as idle, or answered 408, while its request waits to be read,
// because the process was delayed for longer than the timeout.
BOOST_AUTO_TEST_CASE(ADelayedProcessReadsARequestBeforeItTimesOut)
{
    options.readTimeout = 300ms;
    const size_t middle = getA.size() / 2;
    for (const size_t sentBefore : { size_t { 0 }, middle }) {
        exchanges.clear();
        start();
        peer->sendAtOnce(getA.substr(0, sentBefore));
        runUntil(loop, [&] { return server->openConnectionCount() == 1; });
        loop.runAfter(1ms, [&] { loop.stop(); });
        loop.run();
        peer->sendAtOnce(getA.substr(sentBefore));
        std::this_thread::sleep_for(options.readTimeout + 100ms);
        runUntil(loop, [&] { return !exchanges.empty() || peer->isClosed(); });
        BOOST_TEST(exchanges.size() == 1u);
        BOOST_TEST(rejections.empty());
        peer->close();
        runUntil(loop, [&] { return server->openConnectionCount() == 0; });
    }
}

// Guards against clients that stop in the middle of a head and hold their connections for as long as idle
// ones.
BOOST_AUTO_TEST_CASE(HalfAHeadIsDisconnectedSoonerThanAnIdleConnection)
{
    options.headTimeout = 20ms;
    start();
    RawPeer idle(loop, server->address());
    peer->send("GET /a HT");
    waitForClose();
    BOOST_TEST(peer->received("HTTP/1.1 408 "));
    BOOST_TEST(!idle.isClosed());
    idle.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(loop, [&] { return !exchanges.empty(); });
}

// Guards against a body that is cut off by the time allowed for heads.
BOOST_AUTO_TEST_CASE(ABodyMayTakeLongerThanAHead)
{
    options.headTimeout = 300ms;
    start();
    peer->send("POST /p HTT");
    loop.runAfter(5ms, [&] { peer->send("P/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"); });
    loop.runAfter(700ms, [&] { peer->send("cd"); });
    runUntil(loop, [&] { return !exchanges.empty() || !rejections.empty(); });
    BOOST_TEST(rejections.empty());
    BOOST_REQUIRE(exchanges.size() == 1u);
    BOOST_TEST(exchanges[0]->body() == "abcd");
}

// Guards against limits that an operator has changed and that hold only after a restart.
BOOST_AUTO_TEST_CASE(LimitsMayChangeWhileTheServerRuns)
{
    start();
    HttpServerLimits limits;
    limits.maximumBodyBytes = 3;
    server->setLimits(limits);
    peer->send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd");
    waitForClose();
    BOOST_TEST(peer->received("HTTP/1.1 413 "));
}

// Guards against a request that takes longer than the read timeout and is cut off by it.
BOOST_AUTO_TEST_CASE(ReadTimeoutDoesNotEndAnAnswer)
{
    options.readTimeout = 5ms;
    startAndSend(getA);
    loop.runAfter(30ms, [&] { exchanges[0]->reply(200, {}, "late"); });
    runUntil(loop, [&] { return peer->received("late"); });
    BOOST_TEST(rejections.empty());
}

// Guards against a stop that cuts off requests, or waits for connections that are only kept alive.
BOOST_AUTO_TEST_CASE(DrainClosesIdleConnectionsAndFinishesRequests)
{
    startAndSend(getA + getB);
    RawPeer idle(loop, server->address());
    runUntil(loop, [&] { return server->openConnectionCount() == 2; });
    exchanges[0]->startStream(200, {});
    server->stopListening();
    server->beginDrain();
    runUntil(loop, [&] { return idle.isClosed(); });
    exchanges[0]->sendChunk("answer a");
    exchanges[0]->endStream();
    runUntil(loop, [&] { return exchanges.size() == 2; });
    exchanges[1]->reply(200, {}, "answer b");
    waitForClose();
    BOOST_TEST(peer->received("answer a\r\n0\r\n\r\n"));
    BOOST_TEST(peer->received("Connection: close\r\n"));
    BOOST_TEST(peer->received("answer b"));
    peer->close();
    runUntil(loop, [&] { return server->openConnectionCount() == 0; });
}

// Guards against a client that waits for the go-ahead for its body and never sends it.
BOOST_AUTO_TEST_CASE(ExpectedContinueIsSent)
{
    start();
    peer->send(post("Content-Length: 4\r\nExpect: 100-continue\r\n", ""));
    runUntil(loop, [&] { return peer->received("HTTP/1.1 100 Continue\r\n\r\n"); });
    peer->send("body");
    runUntil(loop, [&] { return !exchanges.empty(); });
    BOOST_TEST(exchanges[0]->body() == "body");
}

// Guards against a client that waits for good because the handler lost its request.
BOOST_AUTO_TEST_CASE(DroppedExchangeIsAnswered)
{
    startAndSend(getA);
    exchanges.clear();
    runUntil(loop, [&] { return peer->received("HTTP/1.1 500 "); });
}

// Guards against an aborted answer that looks complete.
BOOST_AUTO_TEST_CASE(AbortCutsTheAnswerOff)
{
    startAndSend(getA);
    exchanges[0]->startStream(200, {});
    exchanges[0]->sendChunk("part");
    runUntil(loop, [&] { return peer->received("part"); });
    exchanges[0]->abort();
    waitForClose();
    BOOST_TEST(!peer->received("0\r\n\r\n"));
}

// Guards against a header value that adds a field to the answer, or ends its head.
BOOST_AUTO_TEST_CASE(HeaderValueCannotSplitTheAnswer)
{
    startAndSend(getA);
    exchanges[0]->reply(200, { { "X", "a\r\nY: b\r\n\r\n" }, { "Content-Length", "99" } }, "body");
    runUntil(loop, [&] { return peer->received("body"); });
    BOOST_TEST(peer->received("X: a  Y: b    \r\n"));
    BOOST_TEST(!peer->received("99"));
}

// Guards against chunks sent to a client of HTTP/1.0, which takes them for the body.
BOOST_AUTO_TEST_CASE(StreamWithoutChunksEndsWithTheConnection)
{
    startAndSend("GET /a HTTP/1.0\r\n\r\n");
    exchanges[0]->startStream(200, {});
    exchanges[0]->sendChunk("body");
    runUntil(loop, [&] { return peer->received("\r\n\r\nbody"); });
    exchanges[0]->endStream();
    waitForClose();
    BOOST_TEST(peer->all().substr(peer->all().size() - 8) == "\r\n\r\nbody");
}

// Guards against an answer that is framed as complete although the server only knows where it ended.
BOOST_AUTO_TEST_CASE(AStreamThatEndsWithTheConnectionHasNeitherLengthNorChunks)
{
    startAndSend(getA + getB);
    exchanges[0]->startStream(200, { { "Content-Length", "9" } }, StreamEnd::ConnectionClose);
    exchanges[0]->sendChunk("body");
    exchanges[0]->endStream();
    waitForClose();
    BOOST_TEST(!peer->isReset());
    BOOST_TEST(peer->received("Connection: close\r\n"));
    BOOST_TEST(!peer->received("Content-Length"));
    BOOST_TEST(!peer->received("Transfer-Encoding"));
    BOOST_TEST(peer->all().substr(peer->all().size() - 8) == "\r\n\r\nbody");
    BOOST_TEST(exchanges.size() == 1);
}

// Guards against a stream that is cut off inside a piece, because the server drops what a slow client has not
// taken yet when the stream is aborted.
BOOST_AUTO_TEST_CASE(AnAbortedStreamEndsWithAWholePiece)
{
    startAndSend("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    peer->pauseReading();
    const std::string piece(1024 * 1024, 'x');
    exchanges[0]->startStream(200, {});
    for (int count = 0; count < 16; ++count)
        exchanges[0]->sendChunk(piece);
    exchanges[0]->abort();
    peer->resumeReading();
    waitForClose();
    const std::string chunk = "100000\r\n" + piece + "\r\n";
    BOOST_TEST(peer->all().size() > 16 * chunk.size());
    BOOST_TEST((peer->all().substr(peer->all().size() - chunk.size()) == chunk));
}

// Guards against an answer without chunks that looks whole although it ended early: the client takes an
// orderly close for the end of the body, so only a reset shows the cut.
BOOST_AUTO_TEST_CASE(AnEarlyEndOfAStreamWithoutChunksIsAReset)
{
    enum class End { Abort, HalfClosedClient, ServerStops };
    const std::pair<std::string, StreamEnd> requests[]
        = { { "GET /a HTTP/1.0\r\n\r\n", StreamEnd::LastChunk }, { getA, StreamEnd::ConnectionClose } };
    for (const auto& [end, request] :
        { std::pair(End::Abort, requests[0]), std::pair(End::HalfClosedClient, requests[0]),
            std::pair(End::ServerStops, requests[0]), std::pair(End::Abort, requests[1]),
            std::pair(End::HalfClosedClient, requests[1]), std::pair(End::ServerStops, requests[1]) }) {
        BOOST_TEST_CONTEXT("end " << static_cast<int>(end) << " " << request.first)
        {
            exchanges.clear();
            startAndSend(request.first);
            exchanges[0]->startStream(200, {}, request.second);
            exchanges[0]->sendChunk("part");
            runUntil(loop, [&] { return peer->received("part"); });
            if (end == End::Abort)
                exchanges[0]->abort();
            else if (end == End::HalfClosedClient)
                peer->endSending();
            else
                server.reset();
            waitForClose();
            BOOST_TEST(peer->isReset());
        }
    }
}

// Guards against a reset that destroys what the server had accepted before a stream without chunks was cut
// off, because a slow client has not taken it yet.
BOOST_AUTO_TEST_CASE(AStreamWithoutChunksIsDeliveredBeforeTheResetThatCutsIt)
{
    startAndSend(getA);
    peer->pauseReading();
    const std::string piece(1024 * 1024, 'x');
    exchanges[0]->startStream(200, {}, StreamEnd::ConnectionClose);
    for (int count = 0; count < 16; ++count)
        exchanges[0]->sendChunk(piece);
    exchanges[0]->abort();
    loop.runAfter(50ms, [&] { peer->resumeReading(); });
    waitForClose();
    BOOST_TEST(peer->isReset());
    BOOST_TEST(peer->all().size() > 16 * piece.size());
}

// Guards against an answer that looks whole to a client of HTTP/1.0 that reads on after it was disconnected
// because it had stopped reading.
BOOST_AUTO_TEST_CASE(AStreamWithoutChunksThatIsCutForASlowClientIsAReset)
{
    options.writeTimeout = 20ms;
    startAndSend("GET /a HTTP/1.0\r\n\r\n");
    bool hasLeft = false;
    exchanges[0]->onClientLeft([&] { hasLeft = true; });
    peer->pauseReading();
    exchanges[0]->startStream(200, {});
    exchanges[0]->sendChunk(std::string(64 * 1024 * 1024, 'x'));
    runUntil(loop, [&] { return hasLeft; });
    peer->resumeReading();
    waitForClose();
    BOOST_TEST(peer->isReset());
}

BOOST_AUTO_TEST_SUITE_END()
