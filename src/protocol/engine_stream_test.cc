#include "protocol/engine_stream.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

namespace {

const std::string stream
    = "data: {\"token_index\":0,\"text\":\"a b\"}\r\n\r\n: comment\n"
      "data:{\"token_index\":1,\"text\":\"\\n\"}\n\n"
      "data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2},\"finish_reason\":\"stop\"}\n\n"
      "data: [DONE]\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(EngineStreamTest)

// Guards against tokens that are lost or doubled when an event is split over reads at any byte.
BOOST_AUTO_TEST_CASE(EverySplitGivesTheSameTokens)
{
    for (size_t split = 0; split <= stream.size(); ++split) {
        EngineStreamParser parser;
        auto tokens = parser.feed(stream.substr(0, split));
        BOOST_REQUIRE(tokens);
        const auto rest = parser.feed(stream.substr(split));
        BOOST_REQUIRE(rest);
        tokens->insert(tokens->end(), rest->begin(), rest->end());
        BOOST_REQUIRE(tokens->size() == 2u);
        BOOST_TEST((*tokens)[0].text == "a b");
        BOOST_TEST((*tokens)[1].text == "\n");
        BOOST_REQUIRE(parser.finish());
        BOOST_TEST(parser.finish()->generatedTokens.value() == 2);
    }
}

// Guards against a cut-off answer that is taken for a whole one.
BOOST_AUTO_TEST_CASE(StreamWithoutUsageIsNotFinished)
{
    EngineStreamParser parser;
    BOOST_TEST((parser.feed("data: {\"token_index\":0,\"text\":\"a\"}\n\n") != std::nullopt));
    BOOST_TEST(!parser.finish());
}

// Guards against malformed engine output that is relayed.
BOOST_AUTO_TEST_CASE(MalformedEventsAreErrors)
{
    for (const char* event : { "data: {\n", "data: 5\n", "data: {\"text\":\"a\"}\n", "data: {}\n",
             "data: {\"text\":5,\"token_index\":1}\n" }) {
        EngineStreamParser parser;
        BOOST_TEST((parser.feed(event) == std::nullopt), event);
        BOOST_TEST(!parser.lastError().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
