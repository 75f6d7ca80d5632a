#include "gateway/call_admission.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("plain");

/// One route on a.example for keyed requests of one workspace, limited in tokens.
class OneRoute : public FakeRowDecoder {
public:
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string&, std::string&) const override
    {
        Route route;
        route.id = RouteId("r-1");
        route.host = "a.example";
        route.pathPrefix = "/chat/";
        route.services = { { service, 1 } };
        ServiceConfiguration plain;
        plain.id = service;
        ServingWorkspace workspace;
        workspace.id = WorkspaceId("w-1");
        workspace.limit.ratePerSecond = 100;
        workspace.limit.burst = 1000;
        workspace.limit.countsTokens = true;
        workspace.limit.defaultRequestTokens = Tokens(200);
        ServingConfiguration::Builder builder(Revision(1));
        builder.add(route);
        builder.add(plain);
        builder.add(workspace, { "key-1" });
        return builder.build();
    }
};

struct Fixture {
    Fixture()
    {
        store.put({ "op", "config" }, "{}");
        keeper.start();
        scheduler.advance(50ms);
        attributes.key = "key-1";
    }

    std::optional<CallRefusal> find(const char* host, const char* path)
    {
        admission = {};
        return admitter.find(*keeper.current(), host, path, attributes, admission);
    }

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    OneRoute rows;
    ConfigurationTracker keeper { scheduler, store, rows, { [] {}, [](const AdapterRelease&) {} } };
    WorkspaceRateLimiter usage { 8s, HostId("host-1"), MonotonicTime() - 8s };
    Random random { 1 };
    CallAdmitter admitter { keeper, usage, random };
    CallAttributes attributes;
    CallAdmission admission;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallAdmissionTest, Fixture)

// Guards against denying a request because its Host header includes the port.
BOOST_AUTO_TEST_CASE(FindsTheRouteWithAndWithoutAPort)
{
    for (const char* host : { "a.example", "a.example:8080" }) {
        BOOST_TEST(!find(host, "/chat/1").has_value());
        BOOST_TEST(admission.serviceId == service);
        BOOST_TEST(admission.workspace->id == WorkspaceId("w-1"));
    }
}

// Guards against a final denial of a route or key that another host may already have read from the store.
BOOST_AUTO_TEST_CASE(DeniesOnlyWhileTheConfigurationIsFresh)
{
    BOOST_TEST((find("a.example", "/other/") == CallRefusal::UnknownRoute));
    attributes.key = "key-2";
    BOOST_TEST((find("a.example", "/chat/1") == CallRefusal::UnknownKey));
    store.fault = RowStoreError::Refused;
    scheduler.advance(10s);
    BOOST_TEST((find("a.example", "/other/") == CallRefusal::StaleConfiguration));
    BOOST_TEST((find("a.example", "/chat/1") == CallRefusal::StaleConfiguration));
}

// Guards against charging a generation as a plain request, and against a charge that remains after a refusal.
BOOST_AUTO_TEST_CASE(ChargesTokensWhereTheyAreKnown)
{
    const MonotonicTime now = scheduler.now();
    BOOST_REQUIRE(!find("a.example", "/chat/1").has_value());
    BOOST_TEST(!admitter.charge(attributes, admission, now).has_value());
    BOOST_TEST(admission.charge == 200);
    attributes.promptTokens = Tokens(600);
    attributes.maximumOutputTokens = Tokens(100);
    BOOST_TEST(!admitter.charge(attributes, admission, now).has_value());
    BOOST_TEST(admission.charge == 700);
    BOOST_REQUIRE(!find("a.example", "/chat/1").has_value());
    BOOST_TEST(admitter.charge(attributes, admission, now).has_value());
    BOOST_TEST(admission.charge == 0);
}

// Guards against an urgent route that waits behind a less urgent one since the workspace's priority hides the
// routes' ones, and against a route that overtakes a more urgent workspace.
BOOST_AUTO_TEST_CASE(TheRoutesPriorityDecidesWithinOneOfWorkspaces)
{
    ServingWorkspace workspace;
    Route route;
    CallAdmission admission;
    admission.route = &route;
    admission.workspace = &workspace;
    const auto priority = [&](std::optional<int> ofWorkspace, int ofRoute, OverloadPolicy policy) {
        workspace.priority = ofWorkspace;
        route.priority = ofRoute;
        return admission.priority(policy);
    };
    BOOST_TEST(priority(1, 0, OverloadPolicy::Arrival) == priority(1, 2, OverloadPolicy::Arrival));
    BOOST_TEST(priority(1, 0, OverloadPolicy::Priority) < priority(1, 2, OverloadPolicy::Priority));
    BOOST_TEST(priority(0, 7, OverloadPolicy::Priority) < priority(1, 0, OverloadPolicy::Priority));
    BOOST_TEST(priority(std::nullopt, 2, OverloadPolicy::Priority) == 2);
    admission.workspace = nullptr;
    BOOST_TEST(priority(1, 2, OverloadPolicy::Priority) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
