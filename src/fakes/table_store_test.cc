#include "fakes/table_store.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(TableStoreTest)

// Guards against a transaction that writes some rows although a condition does not hold.
BOOST_AUTO_TEST_CASE(ConflictWritesNothing)
{
    TableStore table;
    BOOST_TEST(table.commit("w1", { { "a", 0 } }, { { "a", "1" } }));
    BOOST_TEST(!table.commit("w2", { { "b", 0 }, { "a", 0 } }, { { "b", "2" }, { "a", "2" } }));
    BOOST_TEST(table.list("").size() == 1u);
    BOOST_TEST(table.read({ "a" }).at(0).writeId == "w1");
    BOOST_TEST(table.commit("w3", { { "a", table.read({ "a" }).at(0).version } }, { { "a", "3" } }));
    BOOST_TEST(table.read({ "a" }).at(0).value == "3");
}

// Guards against a row that is deleted and made again with the version that a slow writer still expects.
BOOST_AUTO_TEST_CASE(VersionsAreNotReusedAfterDeletion)
{
    TableStore table;
    table.commit("w1", {}, { { "a", "1" } });
    const int64_t old = table.read({ "a" }).at(0).version;
    table.commit("w2", {}, { { "a", std::nullopt } });
    BOOST_TEST(table.read({ "a" }).empty());
    table.commit("w3", {}, { { "a", "1" } });
    BOOST_TEST(!table.commit("w4", { { "a", old } }, { { "a", "4" } }));
}

// Guards against a list that includes keys next to the prefix, or is out of order.
BOOST_AUTO_TEST_CASE(ListIsLimitedToThePrefix)
{
    TableStore table;
    table.commit("w", {}, { { "a/2", "" }, { "a/1", "" }, { "a", "" }, { "a0", "" }, { "b/1", "" } });
    const auto rows = table.list("a/");
    BOOST_REQUIRE(rows.size() == 2u);
    BOOST_TEST(rows[0].key == "a/1");
    BOOST_TEST(rows[1].key == "a/2");
}

BOOST_AUTO_TEST_SUITE_END()
