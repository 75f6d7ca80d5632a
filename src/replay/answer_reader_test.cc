#include "replay/answer_reader.h"

#include "protocol/caller_answer.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Fixture()
    {
        configuration.workspaces[WorkspaceId("w")] = { WorkspaceId("w"), Tokens(1), Tokens(1) };
        configuration.keys = { { "desk", WorkspaceId("w"), "" } };
        configuration.adapters[AdapterId("a")] = { AdapterId("a"), WorkspaceId("w"), ModelId("m"),
            { AdapterVersion("v1"), AdapterVersion("v2") }, AdapterVersion("v2") };
        RouteConfig completions;
        completions.id = RouteId("completions");
        completions.path = "/v1/completions";
        RouteConfig booking;
        booking.id = RouteId("booking");
        booking.path = "/booking/";
        booking.service = "desk";
        booking.repeatable = false;
        configuration.routes = { completions, booking };
    }

    PreparedRequest prepare(const std::string& route, const std::string& model)
    {
        RequestPreparer preparer(configuration, { { "desk", "secret" } });
        auto prepared = preparer.prepare({ 0, "desk", route, model, 10, 3, 20, true, "id-1", "", 0, 0 });
        BOOST_REQUIRE(prepared);
        return *prepared;
    }

    /// Streams the text as the daemon does, split into pieces.
    ///
    /// @param rest bytes after the last event.
    RequestResult stream(
        const PreparedRequest& request, const std::string& text, bool finished, const std::string& rest = "")
    {
        RequestResult result;
        AnswerReader reader(request, result);
        reader.receiveHeaders(200, { { "Content-Type", "text/event-stream" } });
        const AnswerIdentity identity { "x", CompletionKind::Text,
            { AdapterId("a"), AdapterVersion(request.model.substr(2)) } };
        std::string bytes = formatTextEvent(identity, text);
        if (finished) {
            bytes += formatFinishEvents(identity, request.finishReason,
                { Tokens(request.promptTokens), Tokens(request.completionTokens) });
        }
        bytes += rest;
        for (const char byte : bytes)
            reader.receive({ &byte, 1 }, 1s);
        reader.finish(std::nullopt, false, 2s);
        return result;
    }

    RequestResult serviceAnswer(const PreparedRequest& request, const std::string& body)
    {
        RequestResult result;
        AnswerReader reader(request, result);
        reader.receiveHeaders(200, { { "Lacewing-Outcome", "answered" } });
        reader.receive(body, 1s);
        reader.finish(std::nullopt, false, 2s);
        return result;
    }

    Configuration configuration;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerReaderTest, Fixture)

// Guards against a check that can't fail: a token missing, doubled or from another version is wrong.
BOOST_AUTO_TEST_CASE(ChecksTheWholeText)
{
    const PreparedRequest request = prepare("completions", "a");
    const PreparedRequest other = prepare("completions", "a@v1");
    BOOST_TEST(request.model == "a@v2");
    const std::string& text = request.text;
    BOOST_TEST((stream(request, text, true).ending == RequestEnding::Answered));
    BOOST_TEST((stream(request, text.substr(0, text.size() - 4), true).ending == RequestEnding::Wrong));
    BOOST_TEST((stream(request, text + text.substr(text.size() - 4), true).ending == RequestEnding::Wrong));
    BOOST_TEST((stream(request, other.text, true).ending == RequestEnding::Wrong));
    BOOST_TEST((stream(other, text, true).ending == RequestEnding::Wrong));
}

// Guards against counting a stream that was cut off as answered.
BOOST_AUTO_TEST_CASE(StreamWithoutEndIsUnknown)
{
    const PreparedRequest request = prepare("completions", "a");
    const RequestResult result = stream(request, request.text, false);
    BOOST_TEST((result.ending == RequestEnding::Unknown));
    BOOST_TEST(result.code == "stream_cut");
}

// Guards against counting a part of an event, which the daemon never sends before an orderly end, as answered
// or cut.
BOOST_AUTO_TEST_CASE(PartOfAnEventIsWrong)
{
    const PreparedRequest request = prepare("completions", "a");
    for (const char* rest : { "d", "data: {", "data: [DONE]\n", "engine exhausted" }) {
        BOOST_TEST((stream(request, request.text, true, rest).ending == RequestEnding::Wrong), rest);
        BOOST_TEST((stream(request, request.text, false, rest).ending == RequestEnding::Wrong), rest);
    }
}

// Guards against taking the answer to another call, or of a second run, for the right one.
BOOST_AUTO_TEST_CASE(ChecksServiceAnswers)
{
    const PreparedRequest request = prepare("booking", "");
    BOOST_TEST((serviceAnswer(request, R"({"key":"w/id-1","run":1})").ending == RequestEnding::Answered));
    BOOST_TEST((serviceAnswer(request, R"({"key":"w/id-2","run":1})").ending == RequestEnding::Wrong));
    BOOST_TEST((serviceAnswer(request, R"({"key":"w/id-1","run":2})").ending == RequestEnding::Wrong));
}

BOOST_AUTO_TEST_SUITE_END()
