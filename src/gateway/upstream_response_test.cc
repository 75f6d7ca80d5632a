#include "gateway/upstream_response.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const MonotonicTime now(100s);

ResponseAttributes head(int status, const char* id, bool isStream = false, bool isSealed = true)
{
    ResponseAttributes attributes;
    attributes.status = status;
    attributes.requestId = id;
    attributes.isEventStream = isStream;
    attributes.isSealed = isSealed;
    return attributes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamResponseTest)

// Guards against accepting a success that has no request id or another request's, and against rejecting a
// failure that has no request id.
BOOST_AUTO_TEST_CASE(ASuccessMustHaveTheRequestId)
{
    UpstreamResponse answer;
    answer.headArrived(head(200, ""), {}, "r-1");
    BOOST_TEST(!answer.matchesRequest());
    answer.headArrived(head(200, "r-0"), {}, "r-1");
    BOOST_TEST(!answer.matchesRequest());
    answer.headArrived(head(503, ""), {}, "r-1");
    BOOST_TEST(answer.matchesRequest());
    answer.headArrived(head(503, "r-0"), {}, "r-1");
    BOOST_TEST(!answer.matchesRequest());
}

// Guards against forwarding events of a stream without the upstream's seal, and against losing a body.
BOOST_AUTO_TEST_CASE(OnlyASealedStreamIsForwardedAsEvents)
{
    UpstreamResponse answer;
    answer.begin();
    answer.headArrived(head(200, "r-1", true, false), {}, "r-1");
    BOOST_TEST(answer.bodyArrived("id: 1\ndata: a\n\n", now).empty());
    BOOST_TEST(answer.isUnverified());
    answer.begin();
    answer.headArrived(head(200, "r-1", true), {}, "r-1");
    BOOST_TEST(answer.bodyArrived("id: 1\ndata: a\n\nid", now) == "id: 1\ndata: a\n\n");
    BOOST_TEST(answer.remainingBody() == "id");
    answer.discardIncompleteEvent();
    // The stream is resumed at an upstream, whose response does not need a seal.
    answer.begin();
    answer.headArrived(head(200, "r-1", true, false), {}, "r-1");
    BOOST_TEST(answer.bodyArrived("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", now) == "id: 2\ndata: b\n\n");
    answer.begin();
    answer.headArrived(head(200, "r-1"), {}, "r-1");
    answer.bodyArrived("seat ", now);
    answer.bodyArrived("7", now);
    BOOST_TEST(answer.remainingBody() == "seat 7");
}

// Guards against unbounded memory use by a response that never ends, whether or not it belongs to the
// request.
BOOST_AUTO_TEST_CASE(DetectsAnOversizedResponse)
{
    const std::string piece(1000000, 'x');
    for (const char* id : { "r-1", "r-0" }) {
        UpstreamResponse answer;
        answer.headArrived(head(200, id), {}, "r-1");
        for (int round = 0; round < 4; ++round)
            answer.bodyArrived(piece, now);
        BOOST_TEST(!answer.exceedsSizeLimit());
        answer.bodyArrived(piece, now);
        BOOST_TEST(answer.exceedsSizeLimit());
        answer.begin();
        BOOST_TEST(!answer.exceedsSizeLimit());
    }
}

BOOST_AUTO_TEST_SUITE_END()
