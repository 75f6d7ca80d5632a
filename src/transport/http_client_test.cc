#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> client = HttpClient::create(loop);
    std::vector<std::string> rejections;

    void serve(HttpServer::Handler handler)
    {
        std::string error;
        server = HttpServer::listen(
            loop, {}, std::move(handler), [this](const std::string& reason) { rejections.push_back(reason); },
            error);
        BOOST_REQUIRE_MESSAGE(server, error);
    }

    HttpClientRequest request(std::string method = "GET", std::string body = "")
    {
        HttpClientRequest result;
        result.server = server->address();
        result.method = std::move(method);
        result.target = "/path?query=1";
        result.headers = { { "X-Test", "value" } };
        result.body = std::move(body);
        return result;
    }

    // Sends a request and runs the loop until it ends.
    HttpClientResult fetch(HttpClientRequest request, std::string* body = nullptr)
    {
        std::optional<HttpClientResult> result;
        HttpClientHandlers handlers;
        handlers.onBody = [body](std::string_view bytes) {
            if (body)
                body->append(bytes);
        };
        handlers.onDone = [&](const HttpClientResult& done) {
            result = done;
            loop.stop();
        };
        const auto call = client->send(std::move(request), std::move(handlers));
        loop.run();
        return *result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClientTest, Fixture)

// Guards against a method, target, header or body that is changed on its way.
BOOST_AUTO_TEST_CASE(RequestArrivesWhole)
{
    serve([](std::shared_ptr<HttpExchange> exchange) {
        exchange->reply(200, {},
            exchange->method() + exchange->path() + exchange->query() + *exchange->headers().find("x-test")
                + exchange->body());
    });
    for (const std::string method : { "POST", "GET", "PUT", "DELETE" }) {
        std::string body;
        const HttpClientResult result = fetch(request(method, "text"), &body);
        BOOST_TEST(!result.error);
        BOOST_TEST(result.status == 200);
        BOOST_TEST(result.requestSent);
        BOOST_TEST(body == method + "/pathquery=1valuetext");
    }
    BOOST_TEST(client->connectionCount() == 1u);
}

// Guards against a stream that is cut, or a connection that is lost after one.
BOOST_AUTO_TEST_CASE(StreamArrivesWhole)
{
    serve([this](std::shared_ptr<HttpExchange> exchange) {
        exchange->startStream(200, {});
        exchange->sendChunk("first,");
        loop.runAfter(1ms, [exchange] {
            exchange->sendChunk(std::string(100000, 'x'));
            exchange->endStream();
        });
    });
    for (int round = 0; round < 2; ++round) {
        std::string body;
        BOOST_TEST(!fetch(request(), &body).error);
        BOOST_TEST(body == "first," + std::string(100000, 'x'));
    }
    BOOST_TEST(server->openConnectionCount() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
