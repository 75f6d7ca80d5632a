#include "transport/http_server.h"

#include "transport/http_test_support.h"

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

constexpr size_t limit = 100 * 1024;

std::string post(const std::string& body)
{
    return "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/// A server that counts what requests and answers take, and keeps the exchanges.
struct Fixture {
    Fixture()
    {
        HttpServerOptions options;
        options.memory = &account;
        options.bodyShare = 0.5;
        std::string error;
        server = HttpServer::listen(
            loop, options, [this](const auto& exchange) { exchanges.push_back(exchange); },
            [this](const std::string& reason) { rejections.push_back(reason); }, error);
        BOOST_REQUIRE_MESSAGE(server, error);
    }
    std::unique_ptr<RawPeer> connect() { return std::make_unique<RawPeer>(loop, server->address()); }

    MemoryAccount account { limit };
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    std::vector<std::string> rejections;
    std::unique_ptr<HttpServer> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServerMemoryTest, Fixture)

// Guards against bodies that together exceed the memory of the process (LOST): what doesn't fit is refused
// before it is read, and small ones are taken.
BOOST_AUTO_TEST_CASE(ABodyThatDoesNotFitIsRefused)
{
    const auto first = connect();
    first->send(post(std::string(limit / 4, 'a')));
    runUntil(loop, [&] { return exchanges.size() == 1; });
    BOOST_TEST(account.held() >= limit / 4);
    const auto second = connect();
    second->send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(limit / 2) + "\r\n\r\n");
    runUntil(loop, [&] { return second->received("\r\n\r\n"); });
    BOOST_TEST(second->received("HTTP/1.1 503"));
    BOOST_TEST(second->received("Retry-After: 1."));
    BOOST_TEST(rejections.back() == "no_memory");
    const auto third = connect();
    third->send("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc800\r\n"
        + std::string(0xc800, 'a'));
    runUntil(loop, [&] { return third->received("\r\n\r\n"); });
    BOOST_TEST(third->received("HTTP/1.1 503"));
    const auto fourth = connect();
    fourth->send(post("small"));
    runUntil(loop, [&] { return exchanges.size() == 2; });
    BOOST_TEST(exchanges[1]->body() == "small");
}

// Guards against a body that stays in the account after all have let it go, or leaves it before.
BOOST_AUTO_TEST_CASE(ABodyIsCountedUntilItIsLetGo)
{
    const auto peer = connect();
    peer->send(post(std::string(limit / 4, 'a')));
    runUntil(loop, [&] { return exchanges.size() == 1; });
    auto body = exchanges[0]->sharedBody();
    exchanges[0]->reply(200, {}, "done");
    exchanges.clear();
    runUntil(loop, [&] { return peer->received("done"); });
    BOOST_TEST(account.held() >= limit / 4);
    BOOST_TEST(body->size() == limit / 4);
    body.reset();
    BOOST_TEST(account.held() < 1024u);
}

// Guards against answers to callers that don't read, which fill the memory and are counted by nobody.
BOOST_AUTO_TEST_CASE(ACallerThatDoesNotReadCanBeDisconnected)
{
    const auto slow = connect();
    const auto sound = connect();
    slow->pauseReading();
    slow->send(post("a"));
    runUntil(loop, [&] { return exchanges.size() == 1; });
    constexpr size_t answerBytes = 16 * 1024 * 1024;
    exchanges[0]->reply(200, {}, std::string(answerBytes, 'a'));
    exchanges.clear();
    BOOST_TEST(account.held() > limit);
    BOOST_TEST(server->closeStalled(1min) == 0u);
    const MonotonicTime end = loop.now() + 300ms;
    runUntil(loop, [&] { return loop.now() >= end; });
    const size_t before = server->openConnectionCount();
    BOOST_TEST(server->closeStalled(100ms) == 1u);
    runUntil(loop, [&] { return server->openConnectionCount() < before; });
    BOOST_TEST(account.held() < 1024u);
    sound->send(post("b"));
    runUntil(loop, [&] { return exchanges.size() == 1; });
}

BOOST_AUTO_TEST_SUITE_END()
