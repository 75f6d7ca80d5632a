#include "protocol/completion_request.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(CompletionRequestTest)

// Guards against a key or any other unlisted field of the caller that reaches an engine.
BOOST_AUTO_TEST_CASE(UnlistedFieldsAreDropped)
{
    CompletionRequestParser parser;
    const auto request = parser.parse(CompletionKind::Chat,
        R"({"model":"a@2","messages":[{"role":"user","content":"hi","api_key":"k1"}],"user":"k2","api_key":"k3"})");
    BOOST_REQUIRE(request);
    BOOST_TEST(request->engineBody == R"({"max_tokens":256,"messages":[{"content":"hi","role":"user"}]})");
    BOOST_TEST(request->adapter.value() == "a");
    BOOST_TEST(request->version->value() == "2");
}

// Guards against malformed bodies that are accepted or crash the daemon.
BOOST_AUTO_TEST_CASE(MalformedBodiesAreRefused)
{
    CompletionRequestParser parser;
    for (const char* body : { "", "[]", "{", R"({"model":1,"prompt":"x"})", R"({"model":"a"})",
             R"({"model":"a","prompt":"x","max_tokens":0})", R"({"model":"a","prompt":"x","max_tokens":1.5})",
             R"({"model":"a","prompt":"x","stream":"yes"})", "{\"model\":\"a\",\"prompt\":\"\xff\xfe\"}",
             R"({"model":"","prompt":"x"})" }) {
        BOOST_TEST(!parser.parse(CompletionKind::Text, body), "accepted: " << body);
        BOOST_TEST(!parser.lastError().empty());
    }
    for (const char* body :
        { R"({"model":"a","messages":[]})", R"({"model":"a","messages":[{"role":"user"}]})" })
        BOOST_TEST(!parser.parse(CompletionKind::Chat, body), "accepted: " << body);
}

// Guards against a resumed run that starts again at token 0.
BOOST_AUTO_TEST_CASE(EngineBodyCarriesResumePoint)
{
    const auto body = buildEngineBody(R"({"prompt":"x"})", "a@1#7", "r1", 1, 5, WorkspaceId("w"));
    BOOST_REQUIRE(body);
    BOOST_TEST(*body
        == R"({"model":"a@1#7","priority":1,"prompt":"x","request_id":"r1","resume_from":5,"stream":true,"workspace":"w"})");
}

BOOST_AUTO_TEST_SUITE_END()
