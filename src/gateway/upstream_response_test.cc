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

// Guards against a success that names no request or another one, and against a failure without a name that is
// taken for foreign.
BOOST_AUTO_TEST_CASE(ASuccessMustNameTheRequest)
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

// Guards against events of a stream that nobody vouches for, and against a body that gets lost.
BOOST_AUTO_TEST_CASE(OnlyAVouchedStreamIsPassedOnInEvents)
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
    // The stream goes on at an upstream that need not vouch for it again.
    answer.begin();
    answer.headArrived(head(200, "r-1", true, false), {}, "r-1");
    BOOST_TEST(answer.bodyArrived("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", now) == "id: 2\ndata: b\n\n");
    answer.begin();
    answer.headArrived(head(200, "r-1"), {}, "r-1");
    answer.bodyArrived("seat ", now);
    answer.bodyArrived("7", now);
    BOOST_TEST(answer.remainingBody() == "seat 7");
}

// Guards against memory that fills with an answer without end, be it this request's or not.
BOOST_AUTO_TEST_CASE(TellsAnAnswerWithoutEnd)
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
