#include "base/row_version.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(RowVersionTest)

// Guards against taking a row for old because the store gives out lower numbers after it has lost rows.
BOOST_AUTO_TEST_CASE(TheEraComesBeforeTheNumber)
{
    const RowVersion before(StoreEra(1), 300);
    const RowVersion after(StoreEra(2), 170);
    BOOST_TEST(after > before);
    BOOST_TEST(RowVersion(StoreEra(2), 171) > after);
    BOOST_TEST(RowVersion(StoreEra(1), 170) != after);
    BOOST_TEST(!RowVersion().exists());
    std::ostringstream text;
    text << after << ' ' << RowVersion(7);
    BOOST_TEST(text.str() == "2.170 7");
}

BOOST_AUTO_TEST_SUITE_END()
