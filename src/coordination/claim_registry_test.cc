#include "coordination/claim_registry.h"

#include "base/virtual_scheduler.h"
#include "state/simulated_table.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

/// Two claim registries that share one table.
struct Fixture {
    ClaimResult begin(ClaimRegistry& registry, const std::string& body = "body")
    {
        ClaimResult result;
        bool isCalled = false;
        registry.begin(workspace, request, body, [&](const ClaimResult& value) {
            result = value;
            isCalled = true;
        });
        scheduler.advance(20s);
        BOOST_REQUIRE(isCalled);
        return result;
    }
    void complete(ClaimRegistry& registry, const std::string& body)
    {
        registry.complete(workspace, request, { 200, "text/plain", body }, nullptr);
        scheduler.advance(10s);
    }

    WorkspaceId workspace { "w" };
    RequestId request { "r/1" };
    VirtualScheduler scheduler;
    SimulatedTable table { scheduler, 1 };
    std::unique_ptr<TableService> tableA = table.client(HostId("a"));
    std::unique_ptr<TableService> tableB = table.client(HostId("b"));
    std::set<HostId> dead;
    ClaimRegistry::LivenessCheck check
        = [this](const HostId& host, Incarnation) { return dead.count(host) == 0; };
    ClaimRegistry a { scheduler, *tableA, HostId("a"), Incarnation(1), check };
    ClaimRegistry b { scheduler, *tableB, HostId("b"), Incarnation(1), check };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimRegistryTest, Fixture)

// Guards against a repeated request that runs the call again, on the same or another host, at any stage.
BOOST_AUTO_TEST_CASE(RepeatGetsTheStateOfTheFirst)
{
    BOOST_TEST((begin(a).verdict == ClaimVerdict::Run));
    BOOST_TEST((begin(a).verdict == ClaimVerdict::InProgress));
    BOOST_TEST((begin(b).verdict == ClaimVerdict::InProgress));
    const std::string body("\0\xff booked", 9);
    complete(a, body);
    for (ClaimRegistry* registry : { &a, &b }) {
        const ClaimResult repeat = begin(*registry);
        BOOST_TEST((repeat.verdict == ClaimVerdict::StoredAnswer));
        BOOST_REQUIRE(repeat.answer);
        BOOST_TEST((repeat.answer->body == body));
        BOOST_TEST((begin(*registry, "other").verdict == ClaimVerdict::DifferentBody));
    }
}

// Guards against two executions when both daemons claim a call concurrently.
BOOST_AUTO_TEST_CASE(OnlyOneOfTwoSimultaneousClaimsRuns)
{
    int runs = 0;
    int others = 0;
    const auto count = [&](const ClaimResult& r) { ++(r.verdict == ClaimVerdict::Run ? runs : others); };
    a.begin(workspace, request, "body", count);
    b.begin(workspace, request, "body", count);
    scheduler.advance(10s);
    BOOST_TEST(runs == 1);
    BOOST_TEST(others == 1);
}

// Guards against a claim that is lost, or run twice, when the response to its write is lost.
BOOST_AUTO_TEST_CASE(LostAnswerIsSettledByWriteId)
{
    table.setLostAnswerProbability(1);
    BOOST_TEST((begin(a).verdict == ClaimVerdict::Run));
    BOOST_TEST((begin(b).verdict == ClaimVerdict::InProgress));
    complete(a, "booked");
    table.setLostAnswerProbability(0);
    BOOST_TEST((begin(b).verdict == ClaimVerdict::StoredAnswer));
    BOOST_TEST(a.openCount() == 0);
}

// Guards against the claim of a dead daemon being reported as in progress indefinitely, or run again.
BOOST_AUTO_TEST_CASE(ClaimOfADeadDaemonIsUnknown)
{
    BOOST_TEST((begin(a).verdict == ClaimVerdict::Run));
    dead.insert(HostId("a"));
    BOOST_TEST((begin(b).verdict == ClaimVerdict::Unknown));
}

// Guards against a call that runs without a claim, and against a stale claim after a rejected call.
BOOST_AUTO_TEST_CASE(TableFaultsRefuseAndLeaveNoClaim)
{
    table.setDown(true);
    BOOST_TEST((begin(a).verdict == ClaimVerdict::TableDown));
    table.setDown(false);
    table.setReachable(HostId("a"), false);
    BOOST_TEST((begin(a).verdict == ClaimVerdict::TableDown));
    table.setReachable(HostId("a"), true);
    scheduler.advance(60s);
    BOOST_TEST(a.openCount() == 0);
    BOOST_TEST(table.rows().empty());
    BOOST_TEST((begin(b).verdict == ClaimVerdict::Run));
}

// Guards against losing an answer when the table is unavailable at the end of the call.
BOOST_AUTO_TEST_CASE(AnswerIsStoredAfterAnOutage)
{
    BOOST_TEST((begin(a).verdict == ClaimVerdict::Run));
    table.setDown(true);
    complete(a, "booked");
    BOOST_TEST((begin(a).verdict == ClaimVerdict::StoredAnswer));
    table.setDown(false);
    scheduler.advance(60s);
    BOOST_TEST((begin(b).verdict == ClaimVerdict::StoredAnswer));
}

// Guards against reporting a call as still running to repeats through another host, for many seconds after a
// table outage, although it completed during the outage.
BOOST_AUTO_TEST_CASE(AnswerIsStoredAsSoonAsTheTableAnswersAgain)
{
    BOOST_TEST((begin(a).verdict == ClaimVerdict::Run));
    table.setDown(true);
    a.complete(workspace, request, { 200, "text/plain", "booked" }, nullptr);
    scheduler.advance(20s);
    table.setDown(false);
    a.begin(workspace, RequestId("r/2"), "body", [](const ClaimResult&) {});
    scheduler.advance(2s);
    std::optional<ClaimVerdict> repeat;
    b.begin(workspace, request, "body", [&](const ClaimResult& result) { repeat = result.verdict; });
    scheduler.advance(2s);
    BOOST_TEST((repeat == ClaimVerdict::StoredAnswer));
}

// Guards against rows of unbounded size, and against a call that was not run but can't be repeated.
BOOST_AUTO_TEST_CASE(LargeAnswerIsUnknownAndReleasedClaimRunsAgain)
{
    BOOST_TEST((begin(a).verdict == ClaimVerdict::Run));
    a.release(workspace, request, nullptr);
    scheduler.advance(10s);
    BOOST_TEST((begin(b).verdict == ClaimVerdict::Run));
    complete(b, std::string(100'000, 'x'));
    BOOST_TEST((begin(a).verdict == ClaimVerdict::Unknown));
    BOOST_TEST(table.rows().begin()->second.value.size() < 1000);
}

BOOST_AUTO_TEST_SUITE_END()
