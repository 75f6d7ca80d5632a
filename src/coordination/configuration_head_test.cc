#include "coordination/configuration_head.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(ConfigurationHeadTest)

// Guards against a submitter that cannot identify its own revision after later ones have followed.
BOOST_AUTO_TEST_CASE(WritersOfLatestRevisionsAreKept)
{
    ConfigurationHead head;
    for (int i = 1; i <= 20; ++i)
        head = head.next(ContentHash("hash"), "write" + std::to_string(i));
    const auto parsed = ConfigurationHead::parse(head.text());
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->revision == Revision(20));
    BOOST_TEST((parsed->writeIdOf(Revision(20)) == "write20"));
    BOOST_TEST((parsed->writeIdOf(Revision(5)) == "write5"));
    BOOST_TEST(!parsed->writeIdOf(Revision(4)));
    BOOST_TEST(!parsed->writeIdOf(Revision(21)));
    for (const char* malformed : { "", "x", "5", "-1 hash", "0 hash" })
        BOOST_TEST(!ConfigurationHead::parse(malformed));
}

BOOST_AUTO_TEST_SUITE_END()
