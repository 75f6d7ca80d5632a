#include "gateway/response_diagnostics.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const EventFormat format;
const ExchangeContext exchange { "r-1", UpstreamId("i-1"), false };

UpstreamResponse stream(const char* id, const char* body)
{
    ResponseAttributes attributes;
    attributes.status = 200;
    attributes.requestId = id;
    attributes.isEventStream = true;
    attributes.isSealed = true;
    UpstreamResponse response(format);
    response.begin();
    response.headArrived(attributes, {}, { "r-1", false });
    response.bodyArrived(body, MonotonicTime(1s));
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseDiagnosticsTest)

// Guards against a metric that does not tell the ways in which streams end apart.
BOOST_AUTO_TEST_CASE(CountsEachEndOfAStreamOnce)
{
    MetricsRegistry metrics;
    const char* whole = "id: 1\ndata: a\n\n";
    recordStreamEnd(metrics, exchange, stream("r-1", whole), std::nullopt);
    recordStreamEnd(metrics, exchange, stream("r-1", whole), HttpClientError::ConnectionLost);
    recordStreamEnd(metrics, exchange, stream("r-1", "id: 1"), std::nullopt);
    recordStreamEnd(metrics, exchange, stream("r-1", "oops\n\n"), HttpClientError::Cancelled);
    for (const char* end : { "complete", "error", "cut_off", "malformed_event" })
        BOOST_TEST(metrics.counter("lacewing_stream_ends_total", { { "end", end } }) == 1);
}

// Guards against logs and metrics that do not show whether a response stated where it ends.
BOOST_AUTO_TEST_CASE(CountsResponsesThatOnlyTheEndOfTheConnectionEnds)
{
    MetricsRegistry metrics;
    const UpstreamResponse response = stream("r-1", "id: 1\ndata: a\n\n");
    BOOST_TEST(response.hasUnmarkedEnd());
    recordUnmarkedEnd(metrics, exchange, response);
    BOOST_TEST(metrics.counter("lacewing_unmarked_ends_total", { { "kind", "stream" } }) == 1);
}

// Guards against a failure that is logged as cancelled although the gateway has cancelled it for a reason.
BOOST_AUTO_TEST_CASE(NamesTheReasonOfAFailure)
{
    const auto reason = [](const UpstreamResponse& response, std::optional<HttpClientError> error) {
        return std::string(failureReason(response, ExchangeEnd::Broken, error));
    };
    BOOST_TEST(reason(stream("r-0", ""), HttpClientError::Cancelled) == "foreign_answer");
    BOOST_TEST(reason(stream("r-1", "oops\n\n"), HttpClientError::Cancelled) == "malformed_event");
    BOOST_TEST(reason(stream("r-1", "id: 1"), HttpClientError::ConnectionLost) == "connection_lost");
    BOOST_TEST(reason(stream("r-1", "id: 1"), std::nullopt) == "stream_cut_off");
    const auto reasonOfEnd = [](ExchangeEnd end) {
        return std::string(failureReason(stream("r-1", "id: 1\ndata: a\n\n"), end, std::nullopt));
    };
    BOOST_TEST(reasonOfEnd(ExchangeEnd::Unverified) == "unvouched_answer");
    BOOST_TEST(reasonOfEnd(ExchangeEnd::AmbiguousRejection) == "ambiguous_status");
    BOOST_TEST(reasonOfEnd(ExchangeEnd::NotExecuted) == "not_executed_after_failure");
}

BOOST_AUTO_TEST_SUITE_END()
