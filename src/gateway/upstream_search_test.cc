#include "gateway/upstream_search.h"

#include "gateway/fake_call_services_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

/// One call's search for an upstream of the plain service.
struct Fixture : FakeCallServices {
    Fixture()
    {
        attributes.requestId = "r-1";
        attributes.key = "key-1";
        BOOST_REQUIRE(
            !admitter.find(*configuration.current(), "a.example", "/safe/1", attributes, admission));
    }

    void begin()
    {
        started.clear();
        refusal.reset();
        const UpstreamSearch::Subject subject { attributes, admission, binding, scheduler.now(), 3s, 0 };
        search = std::make_unique<UpstreamSearch>(services, subject,
            UpstreamSearch::Handlers { [this] { started.push_back(search->upstream()); },
                [this](CallRefusal reason, Duration delay) {
                    refusal = reason;
                    retryAfter = delay;
                } });
    }
    void stateLimit(const UpstreamId& upstream, double rate)
    {
        LimitObservation observation;
        observation.upstream = upstream;
        observation.startedAt = 1;
        observation.rate = RequestRate(rate);
        observation.isConclusive = true;
        observation.requestSent = scheduler.now();
        limits.observe(observation, scheduler.now());
    }

    CallAttributes attributes;
    CallAdmission admission;
    StreamBinding binding { streamVersions, metrics, attributes, admission };
    std::unique_ptr<UpstreamSearch> search;
    std::vector<UpstreamId> started;
    std::optional<CallRefusal> refusal;
    Duration retryAfter {};
};

const UpstreamId first("s-1");
const UpstreamId second("s-2");

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamSearchTest, Fixture)

// Guards against a call that is sent to the same upstream again while another one is left.
BOOST_AUTO_TEST_CASE(EachUpstreamIsTriedOnce)
{
    begin();
    search->next();
    search->next();
    BOOST_REQUIRE(started.size() == 2u);
    BOOST_TEST((started[0] != started[1]));
    BOOST_TEST(search->triedCount() == 2u);
    BOOST_TEST(!refusal);
    search->next();
    BOOST_TEST(started.size() == 2u);
    BOOST_TEST((refusal == CallRefusal::NotExecuted));
}

// Guards against a call that is refused although its start comes in time.
BOOST_AUTO_TEST_CASE(ACallWaitsForAStartThatComesInTime)
{
    for (const UpstreamId& upstream : { first, second })
        stateLimit(upstream, 20);
    begin();
    search->next();
    BOOST_TEST(started.empty());
    scheduler.advance(admission.route->targetLatency / 2);
    BOOST_TEST(started.size() == 1u);
    BOOST_TEST(!refusal);
}

// Guards against a call that is held until its deadline, or told a time at which it is refused again, while
// all upstreams are at their limits.
BOOST_AUTO_TEST_CASE(ACallThatCannotStartInTimeIsToldTheNextStart)
{
    for (const UpstreamId& upstream : { first, second })
        stateLimit(upstream, 0.5);
    begin();
    search->next();
    scheduler.advance(5ms);
    BOOST_TEST(started.empty());
    BOOST_TEST((refusal == CallRefusal::UpstreamLimit));
    scheduler.advance(retryAfter);
    begin();
    search->next();
    scheduler.advance(admission.route->targetLatency / 2);
    BOOST_TEST(started.size() == 1u);
}

// Guards against a call that starts after its caller has left or its deadline has passed.
BOOST_AUTO_TEST_CASE(AStoppedSearchStartsNothing)
{
    for (const UpstreamId& upstream : { first, second })
        stateLimit(upstream, 0.5);
    begin();
    search->next();
    search->stop();
    scheduler.advance(3s);
    search->next();
    BOOST_TEST(started.empty());
    BOOST_TEST(!refusal);
}

BOOST_AUTO_TEST_SUITE_END()
