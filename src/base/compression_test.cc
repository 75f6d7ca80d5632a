#include "base/compression.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

namespace {

constexpr size_t limit = 1 << 20;

std::string routes()
{
    std::string text;
    for (int index = 0; index < 1000; ++index)
        text += "{\"prefix\":\"/p" + std::to_string(index * 7919) + "/\",\"service\":\"s\"},";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CompressionTest)

BOOST_AUTO_TEST_CASE(ReturnsWhatWasCompressed)
{
    for (const std::string& text :
        { std::string(), std::string("a"), routes(), std::string(100'000, '\0') }) {
        const auto restored = decompress(compress(text), limit);
        BOOST_REQUIRE(restored.has_value());
        BOOST_TEST((*restored == text));
    }
    BOOST_TEST(compress(routes()).size() * 3 < routes().size());
}

// Guards against a small frame of a faulty peer that takes all memory.
BOOST_AUTO_TEST_CASE(RefusesAResultOverTheLimit)
{
    const std::string compressed = compress(std::string(limit + 1, 'a'));
    BOOST_TEST(!decompress(compressed, limit).has_value());
    BOOST_TEST(decompress(compressed, limit + 1).has_value());
}

BOOST_AUTO_TEST_CASE(RefusesMalformedInput)
{
    const std::string compressed = compress(routes());
    BOOST_TEST(!decompress("", limit).has_value());
    BOOST_TEST(!decompress("no zlib stream", limit).has_value());
    BOOST_TEST(!decompress(compressed.substr(0, compressed.size() - 1), limit).has_value());
    BOOST_TEST(!decompress(compressed + "x", limit).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
