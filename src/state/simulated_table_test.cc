#include "state/simulated_table.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(SimulatedTableTest)

// Guards against a simulation that drops a write together with its lost response: the write must be applied
// although the caller gets TableError::Unknown.
BOOST_AUTO_TEST_CASE(LostAnswerLeavesTheWriteInPlace)
{
    VirtualScheduler scheduler;
    SimulatedTable table(scheduler, 1);
    const auto client = table.client(HostId("a"));
    table.setLostAnswerProbability(1);
    std::optional<TableError> error;
    client->commit(
        { "w1", { { "k", RowVersion(0) } }, { { "k", "v" } } }, [&](auto result) { error = result; });
    scheduler.advance(10s);
    BOOST_TEST((error == TableError::Unknown));
    BOOST_TEST(table.rows().at("k").writeId == "w1");
}

// Guards against two writers that both succeed in creating the same row.
BOOST_AUTO_TEST_CASE(SecondWriterOfTheSameVersionGetsConflict)
{
    VirtualScheduler scheduler;
    SimulatedTable table(scheduler, 1);
    const auto first = table.client(HostId("a"));
    const auto second = table.client(HostId("b"));
    int conflicts = 0;
    int successes = 0;
    const auto count = [&](std::optional<TableError> error) { ++(error ? conflicts : successes); };
    first->commit({ "w1", { { "k", RowVersion(0) } }, { { "k", "v" } } }, count);
    second->commit({ "w2", { { "k", RowVersion(0) } }, { { "k", "v" } } }, count);
    scheduler.advance(1s);
    BOOST_TEST(conflicts == 1);
    BOOST_TEST(successes == 1);
}

BOOST_AUTO_TEST_SUITE_END()
