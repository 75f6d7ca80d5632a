#include "transport/http_message.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(HttpMessageTest)

// Guards against an address that is connected to although it is not the one in the settings.
BOOST_AUTO_TEST_CASE(AddressNeedsIpNumberAndPort)
{
    for (const std::string text : { "127.0.0.1:80", "[::1]:65535", "0.0.0.0:0" })
        BOOST_TEST(SocketAddress::parse(text).value().text() == text);
    for (const std::string text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
             "127.0.0.1:80x", "host:80", "::1:80" })
        BOOST_TEST(!SocketAddress::parse(text), text);
}

// Guards against taking the first of several fields that contradict one another for the only one.
BOOST_AUTO_TEST_CASE(FieldsOfOneNameMayDiffer)
{
    const HttpHeaders headers { { "Id", "1" }, { "Other", "3" }, { "id", "2" }, { "Same", "4" },
        { "SAME", "4" } };
    BOOST_TEST((headers.values("ID") == std::vector<std::string> { "1", "2" }));
    BOOST_TEST(headers.values("None").empty());
    BOOST_TEST(!headers.hasOnly("Id", "1"));
    BOOST_TEST(headers.hasOnly("same", "4"));
    BOOST_TEST(!headers.hasOnly("None", ""));
}

BOOST_AUTO_TEST_SUITE_END()
