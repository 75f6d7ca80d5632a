#include "protocol/http_table_service.h"

#include "transport/http_test_support.h"

using namespace lacewing;

namespace {

const std::string committed = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const std::string conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

struct Fixture {
    std::optional<TableError> commit(const std::string& writeId, size_t connection, const std::string& answer)
    {
        std::optional<std::optional<TableError>> result;
        table.commit({ writeId, {}, { { "key", "value" } } }, [&](auto error) { result = error; });
        runUntil(loop, [&] {
            return server.peers.size() > connection
                && server.peers[connection]->received("\"" + writeId + "\"");
        });
        server.peers[connection]->send(answer);
        runUntil(loop, [&] { return result.has_value(); });
        return *result;
    }

    EventLoop loop;
    RawServer server { loop };
    std::unique_ptr<HttpClient> client = HttpClient::create(loop);
    MetricsRegistry metrics;
    CallIds callIds { "test" };
    HttpTableService table { *client, callIds, server.address(), metrics };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpTableServiceTest, Fixture)

// Guards against taking a row for written, or for not written, because an earlier answer came once more. Two
// hosts would hold the same lease or claim, and a call that may run once only would run twice.
BOOST_AUTO_TEST_CASE(EarlierAnswerOnceMoreLeavesACommitUnknown)
{
    BOOST_TEST(!commit("w1", 0, committed).has_value());
    BOOST_TEST((commit("w2", 0, committed + conflict) == TableError::Unknown));
    BOOST_TEST((commit("w3", 1, conflict) == TableError::Conflict));
    BOOST_TEST((commit("w4", 1, conflict + committed) == TableError::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
