#include "protocol/engine_client.h"

#include "transport/http_test_support.h"

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

const std::string done = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

std::string statusAnswer(const std::string& bootId)
{
    const std::string body = R"({"boot_id":")" + bootId + R"("})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Fixture {
    /// Sends an order, and the answer to it.
    std::optional<EngineOrderError> unload(size_t connection, size_t requests, const std::string& answer)
    {
        std::optional<std::optional<EngineOrderError>> result;
        engine.unload("a@1", FencingNumber(1), 1min, [&](auto error) { result = error; });
        accept(connection, requests).send(answer);
        runUntil(loop, [&] { return result.has_value(); });
        return *result;
    }

    std::optional<EngineStatus> readStatus(size_t connection, size_t requests, const std::string& answer)
    {
        std::optional<std::optional<EngineStatus>> result;
        engine.readStatus([&](const auto& status) { result = status; });
        accept(connection, requests).send(answer);
        runUntil(loop, [&] { return result.has_value(); });
        return *result;
    }

    RawPeer& accept(size_t connection, size_t requests)
    {
        runUntil(loop, [&] {
            return server.peers.size() > connection
                && requestsIn(server.peers[connection]->all()) == requests;
        });
        return *server.peers[connection];
    }

    static size_t requestsIn(const std::string& text)
    {
        constexpr std::string_view version = " HTTP/1.1\r\n";
        size_t count = 0;
        for (size_t at = text.find(version); at != std::string::npos; at = text.find(version, at + 1))
            ++count;
        return count;
    }

    EventLoop loop;
    RawServer server { loop };
    std::unique_ptr<HttpClient> client = HttpClient::create(loop);
    CallIds callIds { "test" };
    EngineClient engine { *client, callIds, server.address() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineClientTest, Fixture)

// Guards against taking an order for carried out, or for refused, because an earlier answer came once more.
// An adapter would count as evicted, be loaded again, and then be evicted while requests run on it.
BOOST_AUTO_TEST_CASE(EarlierAnswerOnceMoreLeavesAnOrderUnknown)
{
    BOOST_TEST(!unload(0, 1, done).has_value());
    BOOST_TEST((unload(0, 2, done) == EngineOrderError::Unknown));
    const std::string stale = "HTTP/1.1 409 Conflict\r\nContent-Length: 41\r\n\r\n"
                              R"({"error":{"code":"stale_fencing_number"}})";
    BOOST_TEST((unload(1, 1, stale) == EngineOrderError::StaleFencingNumber));
    BOOST_TEST((unload(1, 2, stale) == EngineOrderError::Unknown));
}

// Guards against an order that counts as carried out because of a status that HTTP doesn't define.
BOOST_AUTO_TEST_CASE(AnUndefinedStatusLeavesAnOrderUnknown)
{
    size_t connection = 0;
    for (const std::string status : { "000", "600", "999" }) {
        const std::string answer = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}";
        BOOST_TEST((unload(connection++, 1, answer) == EngineOrderError::Unknown));
    }
}

// Guards against taking an earlier status for the present one: adapters that were evicted would count as
// resident.
BOOST_AUTO_TEST_CASE(EarlierStatusOnceMoreIsNoStatus)
{
    BOOST_REQUIRE(readStatus(0, 1, statusAnswer("a")));
    BOOST_TEST(!readStatus(0, 2, statusAnswer("a")).has_value());
    BOOST_TEST(readStatus(1, 1, statusAnswer("b")).value().bootId == "b");
}

BOOST_AUTO_TEST_SUITE_END()
