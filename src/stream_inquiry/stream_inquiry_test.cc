#include "stream_inquiry/stream_inquiry.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::stream_inquiry;

namespace {

const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");
const HostId a("a");
const HostId b("b");
const StreamKnowledge onlyV1 { std::nullopt, v1 };

} // namespace

BOOST_AUTO_TEST_SUITE(StreamInquiryTest)

// Guards against refusing all take-ups while the store is down for all hosts.
BOOST_AUTO_TEST_CASE(AVersionThatAllHostsKnowAsTheOnlyOneHasBegunTheStream)
{
    StreamInquiry inquiry(onlyV1, { { a, b }, 0, 0 });
    inquiry.answered(a, onlyV1);
    BOOST_TEST(!inquiry.isComplete());
    BOOST_TEST(!inquiry.result());
    inquiry.answered(b, onlyV1);
    BOOST_TEST(inquiry.isComplete());
    BOOST_REQUIRE(inquiry.result());
    BOOST_TEST(inquiry.result()->version == v1);
    BOOST_TEST(!inquiry.result()->isRemembered);
}

// Guards against a host out of step that takes the only version it knows for the one that has begun a stream.
BOOST_AUTO_TEST_CASE(AnotherVersionAtOneHostLeavesTheBeginUnknown)
{
    for (const StreamKnowledge& other : { StreamKnowledge(), StreamKnowledge { std::nullopt, v2 } }) {
        StreamInquiry inquiry(onlyV1, { { a, b }, 0, 0 });
        inquiry.answered(a, other);
        inquiry.answered(b, onlyV1);
        BOOST_TEST(inquiry.isComplete());
        BOOST_TEST(!inquiry.result());
    }
}

// Guards against the same if the host that knows the other version can't be asked.
BOOST_AUTO_TEST_CASE(AHostOutOfReachLeavesTheBeginUnknown)
{
    StreamInquiry inquiry(onlyV1, { { a }, 0, 1 });
    inquiry.answered(a, onlyV1);
    BOOST_TEST(!inquiry.result());
}

// Guards against refusals for as long as the store is down, after a host has ended; and against a host that
// was stopped and takes all others for ended.
BOOST_AUTO_TEST_CASE(EndedHostsNeedNotAnswerUnlessTheyAreMostOfTheFleet)
{
    StreamInquiry one(onlyV1, { { a }, 1, 0 });
    one.answered(a, onlyV1);
    BOOST_TEST(one.result().has_value());
    BOOST_TEST(!StreamInquiry(onlyV1, { {}, 2, 0 }).result());
    BOOST_TEST(!StreamInquiry(onlyV1, { {}, 1, 0 }).result());
    BOOST_TEST(StreamInquiry(onlyV1, {}).result().has_value());
}

// Guards against a refusal although a host remembers the stream, and against waiting for the others then.
BOOST_AUTO_TEST_CASE(AHostThatHasBegunTheStreamDecides)
{
    StreamInquiry inquiry(onlyV1, { { a, b }, 0, 3 });
    inquiry.answered(b, { v2, std::nullopt });
    BOOST_TEST(inquiry.isComplete());
    BOOST_REQUIRE(inquiry.result());
    BOOST_TEST(inquiry.result()->version == v2);
    BOOST_TEST(inquiry.result()->isRemembered);
    BOOST_TEST(StreamInquiry({ v2, std::nullopt }, { { a }, 0, 0 }).isComplete());
}

// Guards against answers that count twice, or come from hosts that were not asked.
BOOST_AUTO_TEST_CASE(EachHostAnswersOnce)
{
    StreamInquiry inquiry(onlyV1, { { a, b }, 0, 0 });
    inquiry.answered(a, onlyV1);
    inquiry.answered(a, onlyV1);
    inquiry.answered(HostId("c"), onlyV1);
    BOOST_TEST(!inquiry.isComplete());
}

BOOST_AUTO_TEST_SUITE_END()
