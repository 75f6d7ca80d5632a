#include "gateway/part_set.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;

BOOST_AUTO_TEST_SUITE(PartSetTest)

// Guards against two sets of the same parts that differ by their order or by repeats.
BOOST_AUTO_TEST_CASE(OrderAndRepeatsMakeNoDifference)
{
    const std::vector<PromptPart> prompt { { 7, Tokens(10) }, { 3, Tokens(20) }, { 7, Tokens(10) } };
    BOOST_TEST((PartSet::of(prompt) == PartSet({ 3, 7 })));
    BOOST_TEST((PartSet({ 3, 7 }) != PartSet({ 3 })));
    BOOST_TEST(PartSet().empty());
}

BOOST_AUTO_TEST_CASE(NamesTheParts)
{
    BOOST_TEST(PartSet({ 255, 16, ~0ULL }).text(',') == "10,ff,ffffffffffffffff");
    BOOST_TEST(PartSet().text(',') == "");
}

BOOST_AUTO_TEST_CASE(CombinesSets)
{
    const PartSet a({ 1, 2, 3 });
    const PartSet b({ 2, 3, 4 });
    BOOST_TEST((a.intersection(b) == PartSet({ 2, 3 })));
    BOOST_TEST((a.difference(b) == PartSet({ 1 })));
    BOOST_TEST(a.includes(2));
    BOOST_TEST(!a.includes(4));
    BOOST_TEST(a.includes(PartSet({ 1, 3 })));
    BOOST_TEST(!a.includes(b));
    BOOST_TEST(a.intersects(b));
    BOOST_TEST(!a.intersects(PartSet({ 5 })));
    PartSet all = a;
    all.add(b);
    BOOST_TEST((all == PartSet({ 1, 2, 3, 4 })));
    all.remove(PartSet({ 1, 4, 9 }));
    BOOST_TEST((all == PartSet({ 2, 3 })));
    all.truncate(1);
    BOOST_TEST((all == PartSet({ 2 })));
}

BOOST_AUTO_TEST_SUITE_END()
