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

// Guards against skipping an error message or the head of another response, and then going on with the events
// after it.
BOOST_AUTO_TEST_CASE(TextThatIsNoEventIsAnError)
{
    const std::string token = "data: {\"token_index\":0,\"text\":\"a\"}\n\n";
    for (const char* text : { "engine exhausted\n", "HTTP/1.1 500 Internal Server Error\r\n",
             "Content-Type: text/plain\r\n", "{\"error\":{\"code\":\"failed\"}}\n",
             "dadata: {\"token_index\":1,\"text\":\"b\"}\n", " data: {}\n" }) {
        BOOST_TEST_CONTEXT(text)
        {
            EngineStreamParser parser;
            BOOST_TEST((parser.feed(token) != std::nullopt));
            BOOST_TEST((parser.feed(text) == std::nullopt));
            BOOST_TEST(!parser.lastError().empty());
        }
    }
}

// Guards against breaking streams that use the other fields of server-sent events.
BOOST_AUTO_TEST_CASE(OtherFieldsOfEventsAreSkipped)
{
    EngineStreamParser parser;
    const auto tokens = parser.feed(
        "\n: comment\nid: 7\nevent: token\nretry: 10\ndata: {\"token_index\":0,\"text\":\"a\"}\n\n");
    BOOST_REQUIRE(tokens);
    BOOST_TEST(tokens->size() == 1u);
}

// Guards against joining the events of two runs, whose tokens are counted anew, in one stream.
BOOST_AUTO_TEST_CASE(TokensOfAnotherRunAreErrors)
{
    const auto token = [](int index) {
        return "data: {\"token_index\":" + std::to_string(index) + ",\"text\":\"a\"}\n\n";
    };
    const std::string finish = "data: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":6}}\n\n";
    for (const std::string& next : { token(0), token(4), token(5), token(7) }) {
        EngineStreamParser parser;
        BOOST_TEST((parser.feed(token(4) + token(5)) != std::nullopt));
        BOOST_TEST((parser.feed(next) == std::nullopt), next);
    }
    for (const std::string& next : { token(6), finish }) {
        EngineStreamParser parser;
        BOOST_TEST((parser.feed(token(5) + finish) != std::nullopt));
        BOOST_TEST((parser.feed(next) == std::nullopt), next);
    }
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
