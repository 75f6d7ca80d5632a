#include "base/digest.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(DigestTest)

// Guards against digests that differ from other implementations, using FIPS 180-2 B.1 and RFC 4231 test case
// 2.
BOOST_AUTO_TEST_CASE(PublishedVectorsAreMet)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(hmacSha256Hex("Jefe", "what do ya want for nothing?")
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    BOOST_TEST(equalInConstantTime("abc", "abc"));
    BOOST_TEST(!equalInConstantTime("abc", "abd"));
    BOOST_TEST(!equalInConstantTime("abc", "ab"));
    BOOST_TEST(isSha256Hex(sha256Hex("")));
    BOOST_TEST(!isSha256Hex(std::string(64, 'A')));
}

BOOST_AUTO_TEST_SUITE_END()
