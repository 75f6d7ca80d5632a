#include "base/cbor.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(CborTest)

// Guards against a stack overflow caused by input that makes the library recurse once per byte.
BOOST_AUTO_TEST_CASE(DeepNestingIsRefused)
{
    for (const char byte : { '\x7f', '\x5f', '\x81', '\x9f', '\xbf', '\xc1' })
        BOOST_TEST(!fromCbor(std::string(4000000, byte)).has_value());
    BOOST_TEST(fromCbor(std::string(16, '\x81') + '\x01').has_value());
    BOOST_TEST(!fromCbor(std::string(17, '\x81') + '\x01').has_value());
}

// Guards against excessive allocation or overflow caused by a length that exceeds the input.
BOOST_AUTO_TEST_CASE(FalseLengthsAreRefused)
{
    for (const char type : { '\x5b', '\x7b', '\x9b', '\xbb' })
        BOOST_TEST(!fromCbor(type + std::string(8, '\xff') + "abc").has_value());
    BOOST_TEST(!fromCbor(std::string("\x01\x01")).has_value());
    BOOST_TEST(!fromCbor("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
