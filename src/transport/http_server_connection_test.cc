#include "transport/event_loop.h"
#include "transport/http_server.h"
#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

using namespace lacewing;

namespace {

struct Fixture {
    EventLoop loop;
    HttpServerOptions options;
    std::unique_ptr<HttpServer> server;
    std::vector<std::string> rejections;
    std::vector<std::string> bodies;

    void serve(HttpServer::Handler handler)
    {
        std::string error;
        server = HttpServer::listen(
            loop, options, std::move(handler),
            [this](const std::string& reason) { rejections.push_back(reason); }, error);
        BOOST_REQUIRE_MESSAGE(server, error);
    }

    void serveEcho()
    {
        serve([this](std::shared_ptr<HttpExchange> exchange) {
            bodies.push_back(exchange->body());
            exchange->reply(200, {}, "<" + exchange->path() + exchange->body() + ">");
        });
    }

    struct Talk {
        Fixture& fixture;
        std::string rest;
        size_t pieceSize;
        std::string answer;
    };

    static void sendPiece(bufferevent* stream, void* self)
    {
        auto* talk = static_cast<Talk*>(self);
        const std::string piece = talk->rest.substr(0, talk->pieceSize);
        talk->rest.erase(0, piece.size());
        if (!piece.empty())
            bufferevent_write(stream, piece.data(), piece.size());
    }

    // Sends raw bytes, some at a time, and returns all that the server sends until it closes the connection.
    std::string talk(std::string bytes, size_t pieceSize = 100000)
    {
        Talk talk { *this, std::move(bytes), pieceSize, "" };
        bufferevent* stream = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        const auto onRead = [](bufferevent* stream, void* self) {
            char buffer[4096];
            const size_t length = bufferevent_read(stream, buffer, sizeof(buffer));
            static_cast<Talk*>(self)->answer.append(buffer, length);
        };
        const auto onEvent = [](bufferevent* stream, short events, void* self) {
            if ((events & BEV_EVENT_CONNECTED) == 0)
                static_cast<Talk*>(self)->fixture.loop.stop();
            else
                sendPiece(stream, self);
        };
        bufferevent_setcb(stream, onRead, sendPiece, onEvent, &talk);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        sockaddr_storage address {};
        const socklen_t length = toSystemAddress(server->address(), address);
        bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address), static_cast<int>(length));
        loop.run();
        onRead(stream, &talk);
        bufferevent_free(stream);
        return talk.answer;
    }
};

size_t countOf(const std::string& text, const std::string& part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

const std::string chunkedHead = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string lastRequest = "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServerConnectionTest, Fixture)

// Guards against a trailer whose lines are taken for another request, and against a part of a request that is
// lost where one read ends.
BOOST_AUTO_TEST_CASE(TrailerIsSkipped)
{
    serveEcho();
    const std::string requests = chunkedHead
        + "5\r\nhello\r\n3\r\nabc\r\n0\r\nA: b\r\nGET: x\r\nContent-Length: 7\r\n\r\n" + lastRequest;
    for (const size_t pieceSize : { size_t(100000), size_t(7), size_t(1) }) {
        bodies.clear();
        const std::string answer = talk(requests, pieceSize);
        BOOST_TEST(countOf(answer, "200 OK") == 2u);
        BOOST_TEST(countOf(answer, "</ahelloabc>") == 1u);
        BOOST_TEST((bodies == std::vector<std::string> { "helloabc", "" }));
    }
    BOOST_TEST(rejections.empty());
}

// Guards against requests that two parsers could read differently, and that libevhtp's parser accepts.
BOOST_AUTO_TEST_CASE(AmbiguousRequestsAreRefused)
{
    serveEcho();
    const std::string post = "POST /a HTTP/1.1\r\nHost: x\r\n";
    const std::pair<std::string, std::string> cases[] = {
        { chunkedHead + "10000000000000005\r\nhello\r\n0\r\n\r\n", "malformed_chunk" },
        { chunkedHead + "5\r\nhello\r\n10000000000000000\r\n\r\n", "malformed_chunk" },
        { chunkedHead + "ffffffffffffffff\r\nhello", "body_too_large" },
        { chunkedHead + "5\nhello\r\n0\r\n\r\n", "malformed_chunk" },
        { chunkedHead + "5\r\nhelloXX", "malformed_chunk" },
        { chunkedHead + "0\r\nA: b\nC: d\r\n\r\n", "bare_line_feed" },
        { chunkedHead + "0\r\nGET / HTTP/1.1\r\n\r\n", "malformed_header" },
        { post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "conflicting_content_length" },
        { post + "Content-Length: +5\r\n\r\nhello", "malformed_content_length" },
        { post + "Content-Length:\r\n\r\nhello", "malformed_content_length" },
        { post + "Content-Length: 99999999999999999999999\r\n\r\n", "malformed_content_length" },
        { post + "Content-Length: 99999999999\r\n\r\n", "body_too_large" },
        { post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            "content_length_with_transfer_encoding" },
        { post + "Transfer-Encoding: gzip, chunked\r\n\r\n", "unsupported_transfer_encoding" },
        { post + "Content-Length : 5\r\n\r\nhello", "malformed_header" },
        { post + " Content-Length: 5\r\n\r\nhello", "malformed_header" },
        { post + "A: b\n\r\n", "bare_line_feed" },
        { post + std::string("A: \0b\r\n\r\n", 9), "control_character_in_head" },
        { post + "A: b\rC: d\r\n\r\n", "control_character_in_head" },
        { post + "A: " + std::string(9000, 'x') + "\r\n\r\n", "headers_too_large" },
        { "POST /a HTTP/1.1\r\n\r\n", "host_not_given_once" },
        { "GET http://x/a HTTP/1.1\r\nHost: x\r\n\r\n", "target_not_in_origin_form" },
        { "GET /a HTTP/2.0\r\nHost: x\r\n\r\n", "unsupported_version" },
        { "M-SEARCH /a HTTP/1.1\r\nHost: x\r\n\r\n", "unsupported_method" },
        { "GET  /a HTTP/1.1\r\nHost: x\r\n\r\n", "malformed_target" },
    };
    for (const auto& [bytes, reason] : cases) {
        rejections.clear();
        const std::string answer = talk(bytes + lastRequest);
        BOOST_TEST_CONTEXT(bytes)
        {
            BOOST_TEST((rejections == std::vector<std::string> { reason }));
            BOOST_TEST(countOf(answer, "HTTP/1.1 ") == 1u);
            BOOST_TEST(countOf(answer, "Connection: close\r\n") == 1u);
        }
    }
    BOOST_TEST(bodies.empty());
}

BOOST_AUTO_TEST_SUITE_END()
