#include "gateway/response_flow.h"

#include "daemon/fake_exchange_test.h"
#include "gateway/fake_call_services_test.h"
#include "gateway/proxied_call.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr size_t megabyte = 1024 * 1024;

/// Calls whose responses share a small memory.
struct Fixture : FakeCallServices {
    Fixture() { memory.setLimit(5 * megabyte); }

    struct Call {
        std::shared_ptr<FakeExchange> exchange;
        std::shared_ptr<ProxiedCall> call;
        std::shared_ptr<UpstreamCall> upstream;
    };

    Call send(const char* path)
    {
        Call call;
        call.exchange = std::make_shared<FakeExchange>(
            "POST", path, HttpHeaders { { "Host", "a.example" }, { "id", "r-1" }, { "key", "key-1" } }, "");
        call.call = std::make_shared<ProxiedCall>(services, call.exchange, [](ProxiedCall*) {});
        call.call->start();
        call.upstream = client.calls.back();
        return call;
    }
    static void head(Call& call, const std::string& length)
    {
        HttpHeaders headers { { "id", "r-1" }, { "seal", "1" } };
        headers.add(
            length.empty() ? "Transfer-Encoding" : "Content-Length", length.empty() ? "chunked" : length);
        call.upstream->handlers.onHeaders(200, headers);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResponseFlowTest, Fixture)

// Guards against many answers that are short of their length at the same moment and together exceed the
// memory.
BOOST_AUTO_TEST_CASE(AResponseThatDoesNotFitIsNotReadOn)
{
    Call first = send("/once/1");
    Call second = send("/once/1");
    Call small = send("/once/1");
    head(first, "4000000");
    head(second, "4000000");
    head(small, "5");
    BOOST_TEST(!first.upstream->isPaused);
    BOOST_TEST(second.upstream->isPaused);
    BOOST_TEST(!small.upstream->isPaused);
    first.upstream->handlers.onBody(std::string(4000000, 'a'));
    first.upstream->end();
    BOOST_TEST(first.exchange->responseBody.size() == 4000000u);
    scheduler.advance(1ms);
    BOOST_TEST(!second.upstream->isPaused);
    second.upstream->handlers.onBody(std::string(4000000, 'b'));
    second.upstream->end();
    BOOST_TEST(second.exchange->responseStatus == 200);
    small.upstream->end();
    BOOST_TEST(memory.held() == 0u);
}

// The same for a response without a length, which takes its memory as it grows.
BOOST_AUTO_TEST_CASE(AResponseWithoutALengthIsCountedAsItGrows)
{
    Call call = send("/once/1");
    head(call, "");
    BOOST_TEST(memory.held() < megabyte);
    call.upstream->handlers.onBody(std::string(2 * megabyte, 'a'));
    BOOST_TEST(memory.held() >= 2 * megabyte);
    Call other = send("/once/1");
    head(other, "4000000");
    BOOST_TEST(other.upstream->isPaused);
    call.upstream->end(HttpClientError::ConnectionLost);
    scheduler.advance(1ms);
    BOOST_TEST(!other.upstream->isPaused);
}

// Guards against answers that stop and keep the memory from all others until their deadlines pass: an
// idempotent call is repeated, one that may have run is failed and not refused.
BOOST_AUTO_TEST_CASE(AResponseThatStopsIsGivenUpWhenOthersWait)
{
    Call stopped = send("/once/1");
    head(stopped, "4000000");
    Call waiting = send("/once/1");
    head(waiting, "4000000");
    scheduler.advance(1500ms);
    BOOST_TEST(stopped.upstream->isCancelled);
    BOOST_TEST(!waiting.upstream->isCancelled);
    stopped.upstream->end(HttpClientError::Cancelled);
    BOOST_TEST(stopped.exchange->responseStatus == 502);
    scheduler.advance(1ms);
    BOOST_TEST(!waiting.upstream->isPaused);
    BOOST_TEST(metrics.counter("lacewing_answers_given_up_total") == 1);
    // It is no evidence against the request.
    BOOST_TEST(quarantineMessages.empty());
}

BOOST_AUTO_TEST_SUITE_END()
