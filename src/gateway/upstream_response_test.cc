#include "gateway/upstream_response.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const MonotonicTime now(100s);
const EventFormat format;
const SentRequest newConnection { "r-1", false };
const SentRequest reusedConnection { "r-1", true };

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
    UpstreamResponse response(format);
    response.headArrived(head(200, ""), {}, newConnection);
    BOOST_TEST(!response.matchesRequest());
    response.headArrived(head(200, "r-0"), {}, newConnection);
    BOOST_TEST(!response.matchesRequest());
    response.headArrived(head(503, ""), {}, newConnection);
    BOOST_TEST(response.matchesRequest());
    response.headArrived(head(503, "r-0"), {}, newConnection);
    BOOST_TEST(!response.matchesRequest());
}

// Guards against taking an earlier refusal, which the upstream has written once more on a kept connection,
// for the response to the request.
BOOST_AUTO_TEST_CASE(OnAReusedConnectionEachResponseMustHaveTheRequestId)
{
    UpstreamResponse response(format);
    for (const int status : { 200, 421, 429, 500, 503 }) {
        response.headArrived(head(status, ""), {}, reusedConnection);
        BOOST_TEST(response.isForeign());
        response.headArrived(head(status, "r-1"), {}, reusedConnection);
        BOOST_TEST(response.matchesRequest());
    }
}

// Guards against a second run of a request whose rejection says something else of the run outside of its
// head.
BOOST_AUTO_TEST_CASE(FieldsOutsideTheHeadContradictARejection)
{
    for (const bool hasFieldsOutsideHead : { false, true }) {
        UpstreamResponse response(format);
        response.headArrived(head(421, "r-1", false, false), {}, newConnection);
        response.ended(hasFieldsOutsideHead);
        const RunStatement expected
            = hasFieldsOutsideHead ? RunStatement::Contradictory : RunStatement::NotExecuted;
        BOOST_TEST((response.reading().statement == expected));
    }
}

// Guards against a second run of a request without an id, after an earlier refusal that the upstream has
// written once more, and against taking a head with two ids for the response to either.
BOOST_AUTO_TEST_CASE(AResponseThatNamesNoRequestOrTwoIsForeign)
{
    UpstreamResponse response(format);
    response.headArrived(head(503, ""), {}, { "", true });
    BOOST_TEST(response.isForeign());
    response.headArrived(head(503, ""), {}, { "", false });
    BOOST_TEST(response.matchesRequest());
    ResponseAttributes twoIds = head(503, "r-1");
    twoIds.hasConflictingIds = true;
    response.headArrived(twoIds, {}, newConnection);
    BOOST_TEST(response.isForeign());
}

// Guards against forwarding events of a stream without the upstream's seal, and against losing a body.
BOOST_AUTO_TEST_CASE(OnlyASealedStreamIsForwardedAsEvents)
{
    UpstreamResponse response(format);
    response.begin();
    response.headArrived(head(200, "r-1", true, false), {}, newConnection);
    BOOST_TEST(response.bodyArrived("id: 1\ndata: a\n\n", now).empty());
    BOOST_TEST(response.isUnverified());
    response.begin();
    response.headArrived(head(200, "r-1", true), {}, newConnection);
    BOOST_TEST(response.bodyArrived("id: 1\ndata: a\n\nid", now) == "id: 1\ndata: a\n\n");
    BOOST_TEST(response.remainingBody() == "id");
    // The stream is resumed at an upstream, whose response does not need a seal.
    response.begin();
    response.headArrived(head(200, "r-1", true, false), {}, newConnection);
    BOOST_TEST(response.bodyArrived("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", now) == "id: 2\ndata: b\n\n");
    response.begin();
    response.headArrived(head(200, "r-1"), {}, newConnection);
    response.bodyArrived("seat ", now);
    response.bodyArrived("7", now);
    BOOST_TEST(response.remainingBody() == "seat 7");
}

// Guards against an upstream's failure that reaches the caller without its body, because the failure has the
// content type of a stream.
BOOST_AUTO_TEST_CASE(AFailureWithTheTypeOfAStreamKeepsItsBody)
{
    UpstreamResponse response(format);
    response.begin();
    response.headArrived(head(500, "r-1", true), {}, newConnection);
    BOOST_TEST(response.bodyArrived("id: 1\ndata: exhausted\n\n", now).empty());
    BOOST_TEST(response.remainingBody() == "id: 1\ndata: exhausted\n\n");
}

// Guards against unbounded memory use by a response that never ends, whether or not it belongs to the
// request.
BOOST_AUTO_TEST_CASE(DetectsAnOversizedResponse)
{
    const std::string piece(1000000, 'x');
    for (const char* id : { "r-1", "r-0" }) {
        UpstreamResponse response(format);
        response.headArrived(head(200, id), {}, newConnection);
        for (int round = 0; round < 4; ++round)
            response.bodyArrived(piece, now);
        BOOST_TEST(!response.exceedsSizeLimit());
        response.bodyArrived(piece, now);
        BOOST_TEST(response.exceedsSizeLimit());
        response.begin();
        BOOST_TEST(!response.exceedsSizeLimit());
    }
}

BOOST_AUTO_TEST_SUITE_END()
