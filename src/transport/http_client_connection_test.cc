#include "transport/http_client.h"
#include "transport/http_test_support.h"

using namespace lacewing;

namespace {

struct Fixture {
    EventLoop loop;
    RawServer server { loop };
    std::unique_ptr<HttpClient> client = HttpClient::create(loop);

    // Sends a request, answers it with pieces of raw bytes, and returns how it ended.
    HttpClientResult fetch(const std::string& answer, size_t pieceLength, std::string& body)
    {
        HttpClientRequest request;
        request.server = server.address();
        std::optional<HttpClientResult> result;
        HttpClientHandlers handlers;
        handlers.onBody = [&](std::string_view bytes) { body += bytes; };
        handlers.onDone = [&](const HttpClientResult& done) { result = done; };
        server.peers.clear();
        const auto call = client->send(std::move(request), std::move(handlers));
        runUntil(loop, [&] { return !server.peers.empty() && server.peers[0]->received("\r\n\r\n"); });
        for (size_t begin = 0; begin < answer.size() && !result; begin += pieceLength) {
            server.peers[0]->send(answer.substr(begin, pieceLength));
            loop.runAfter(std::chrono::milliseconds(1), [this] { loop.stop(); });
            loop.run();
        }
        runUntil(loop, [&] { return result.has_value(); });
        return *result;
    }
};

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClientConnectionTest, Fixture)

// Guards against bytes lost or doubled where evhttp's reading of a chunk is taken over, however it is cut.
BOOST_AUTO_TEST_CASE(EveryCutGivesTheSameBody)
{
    const std::string answer = "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" + chunkedHead
        + "5\r\nhello\r\n00A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
    for (size_t pieceLength = 1; pieceLength <= answer.size(); ++pieceLength) {
        std::string body;
        const HttpClientResult result = fetch(answer, pieceLength, body);
        BOOST_TEST(!result.error);
        BOOST_TEST(result.status == 200);
        BOOST_TEST(body == "hello0123456789");
    }
}

// Guards against a chunk longer than its size: evhttp takes the rest for the size of the next one.
BOOST_AUTO_TEST_CASE(ChunkLongerThanItsSizeIsInvalid)
{
    const std::string answer = chunkedHead + "5\r\nhello3\r\nabc\r\n0\r\n\r\n";
    for (size_t pieceLength = 1; pieceLength <= answer.size(); ++pieceLength) {
        std::string body;
        const HttpClientResult result = fetch(answer, pieceLength, body);
        BOOST_TEST((result.error == HttpClientError::InvalidAnswer));
        BOOST_TEST(body == "hello");
    }
}

// Guards against a connection that is not read any more after a pause, because input came between the call of
// resumeReading() and the delivery of what was held back.
BOOST_AUTO_TEST_CASE(PauseInsideHandlerIsFollowedByTheRest)
{
    HttpClientRequest request;
    request.server = server.address();
    std::unique_ptr<HttpClientCall> call;
    std::string body;
    bool isDone = false;
    HttpClientHandlers handlers;
    handlers.onHeaders = [&](int, const HttpHeaders&) {
        call->pauseReading();
        loop.runAfter(std::chrono::milliseconds(3), [&] { call->resumeReading(); });
    };
    handlers.onBody = [&](std::string_view bytes) { body += bytes; };
    handlers.onDone = [&](const HttpClientResult& result) { isDone = !result.error; };
    call = client->send(std::move(request), std::move(handlers));
    runUntil(loop, [&] { return !server.peers.empty() && server.peers[0]->received("\r\n\r\n"); });
    const std::string sent(100000, 'x');
    server.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + sent);
    runUntil(loop, [&] { return isDone; });
    BOOST_TEST((body == sent));
}

BOOST_AUTO_TEST_SUITE_END()
