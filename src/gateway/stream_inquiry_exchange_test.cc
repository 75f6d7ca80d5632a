#include "gateway/stream_inquiry_exchange.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;
using stream_inquiry::FleetReach;
using stream_inquiry::StreamBegin;
using stream_inquiry::StreamKnowledge;

namespace {

const ServiceId service("chat");
const StreamName name { WorkspaceId("w-1"), "r-1" };
const SoftwareVersion v1("v1");
const HostId a("a");
const HostId b("b");

struct Fixture {
    void inquire()
    {
        exchange.inquire(service, name, [this](const std::optional<StreamBegin>& result) {
            ++results;
            begin = result;
        });
    }
    StreamQueryId lastQuery() const { return std::get<PeerStreamQuery>(sent.back()).query; }

    VirtualScheduler scheduler;
    FleetReach fleet { { a, b }, 0, 0 };
    StreamKnowledge own { std::nullopt, v1 };
    std::vector<PeerMessage> sent;
    int results = 0;
    std::optional<StreamBegin> begin;
    StreamInquiryExchange exchange { scheduler,
        { [this] { return fleet; },
            [this](const ServiceId&, const std::optional<StreamName>&) { return own; },
            [this](const HostId&, const PeerMessage& message) { sent.push_back(message); } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamInquiryExchangeTest, Fixture)

// Guards against an answer that is missing or counted for another inquiry.
BOOST_AUTO_TEST_CASE(AnInquiryEndsWithTheLastAnswer)
{
    inquire();
    BOOST_TEST(sent.size() == 2u);
    exchange.onMessage(a, PeerStreamAnswer { lastQuery(), own });
    exchange.onMessage(b, PeerStreamAnswer { StreamQueryId(99), own });
    BOOST_TEST(results == 0);
    exchange.onMessage(b, PeerStreamAnswer { lastQuery(), own });
    BOOST_TEST(results == 1);
    BOOST_REQUIRE(begin);
    BOOST_TEST(begin->version == v1);
    scheduler.advance(1s);
    BOOST_TEST(results == 1);
}

// Guards against a caller that waits for a host which doesn't answer, and against a guess without its answer.
BOOST_AUTO_TEST_CASE(AnInquiryEndsWithoutAHostThatDoesNotAnswer)
{
    inquire();
    exchange.onMessage(a, PeerStreamAnswer { lastQuery(), own });
    scheduler.advance(1s);
    BOOST_TEST(results == 1);
    BOOST_TEST(!begin);
}

BOOST_AUTO_TEST_CASE(PeersAreToldWhatThisHostKnows)
{
    exchange.onMessage(a, PeerStreamQuery { StreamQueryId(7), service, name });
    BOOST_REQUIRE(sent.size() == 1u);
    const auto& answer = std::get<PeerStreamAnswer>(sent.front());
    BOOST_TEST(answer.query == StreamQueryId(7));
    BOOST_TEST(*answer.knowledge.onlyVersion == v1);
}

BOOST_AUTO_TEST_SUITE_END()
