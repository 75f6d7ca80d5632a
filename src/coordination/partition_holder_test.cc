#include "coordination/partition_holder.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Fixture()
    {
        holder.setLimits({ { workspace, { QuotaKind::Rate, Tokens(6400), Tokens(6400) } } });
        holder.setPartitions({ 0 }, scheduler.now() + grantTtl);
    }
    Tokens ask(uint64_t seq, int64_t wanted = 100)
    {
        const auto grant = holder.answer(peer, { seq, { { workspace, Tokens(wanted) } } });
        return grant && !grant->granted.empty() ? grant->granted.front().tokens : Tokens();
    }
    void report(uint64_t seq, int64_t spent, int64_t unused)
    {
        holder.report(peer, { seq, { { workspace, Tokens(spent) } }, { { workspace, Tokens(unused) } } });
    }
    Tokens level() { return holder.bucket(workspace)->level(scheduler.now()); }
    Tokens outstanding() { return holder.bucket(workspace)->outstanding(); }

    WorkspaceId workspace { "w" };
    HostId peer { "p" };
    bool isValid = true;
    VirtualScheduler scheduler;
    PartitionHolder holder { scheduler, [this] { return isValid; } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PartitionHolderTest, Fixture)

// Guards against a new holder that grants while the previous one's grants can still be charged.
BOOST_AUTO_TEST_CASE(PartitionStartsEmptyAndFillsOnlyFromItsTime)
{
    scheduler.advance(grantTtl);
    BOOST_TEST(ask(1) == Tokens(0));
    scheduler.advance(500ms);
    BOOST_TEST(ask(2) == Tokens(50));
    holder.setPartitions({ 0, 1 }, scheduler.now() + grantTtl);
    scheduler.advance(5s);
    BOOST_TEST(level() + outstanding() == Tokens(200));
    holder.setPartitions({ 1 }, scheduler.now());
    BOOST_TEST(level() + outstanding() == Tokens(100));
}

// Guards against grants made without a valid session.
BOOST_AUTO_TEST_CASE(InvalidSessionGrantsNothing)
{
    scheduler.advance(10s);
    isValid = false;
    BOOST_TEST(ask(1) == Tokens(0));
    isValid = true;
    BOOST_TEST(ask(2) == Tokens(100));
}

// Guards against repeated asks that are granted twice, and reports that count twice or in the wrong order.
BOOST_AUTO_TEST_CASE(RepeatedAndReorderedMessagesCountOnce)
{
    scheduler.advance(10s);
    BOOST_TEST(ask(1, 60) == Tokens(60));
    BOOST_TEST(ask(1, 60) == Tokens(0));
    BOOST_TEST(ask(2, 40) == Tokens(40));
    report(1, 20, 40);
    report(1, 20, 0);
    report(1, 20, 40);
    report(9, 10, 10);
    BOOST_TEST(level() == Tokens(40));
    BOOST_TEST(outstanding() == Tokens(40));
    report(1, 20, 50);
    BOOST_TEST(level() == Tokens(50));
}

// Guards against a grant that blocks its amount for ever when the report is lost, and against a late report
// that reduces the outstanding amount of other grants.
BOOST_AUTO_TEST_CASE(GrantsExpireAndLateReportsOnlyRefund)
{
    scheduler.advance(10s);
    ask(1, 60);
    scheduler.advance(2 * grantTtl);
    BOOST_TEST(outstanding() == Tokens(0));
    BOOST_TEST(level() == Tokens(40));
    ask(2, 30);
    report(1, 0, 60);
    BOOST_TEST(outstanding() == Tokens(30));
    BOOST_TEST(level() == Tokens(70));
}

// Guards against a workspace that gets a second burst by being removed and added again.
BOOST_AUTO_TEST_CASE(RemovedWorkspaceKeepsItsOutstandingAmounts)
{
    scheduler.advance(10s);
    ask(1, 100);
    holder.setLimits({});
    BOOST_TEST(ask(2) == Tokens(0));
    holder.setLimits({ { workspace, { QuotaKind::Rate, Tokens(6400), Tokens(6400) } } });
    scheduler.advance(1s);
    BOOST_TEST(ask(3) == Tokens(0));
}

BOOST_AUTO_TEST_SUITE_END()
