#include "fakes/platform_http.h"

#include "fakes/http_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

namespace {

struct Fixture : HttpFixture {
    Fixture() { serve(platform); }

    /// Four loads may start in a test.
    static PlatformOptions options()
    {
        PlatformOptions options;
        options.weights.loadsPerSecond = 0;
        options.weights.burst = 4;
        return options;
    }

    PlatformHttp platform { loop, options(), faults };
};

const char* const commitA
    = R"({"write_id":"w1","conditions":[{"key":"a","version":0}],"writes":[{"key":"a","value":"1"}]})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformHttpTest, Fixture)

// Guards against a wire format that differs from docs/upstream-protocol.md.
BOOST_AUTO_TEST_CASE(TableCallsFollowTheProtocol)
{
    BOOST_TEST(call("POST", "/table/commit", commitA).body == "{}");
    const Result conflict = call("POST", "/table/commit", commitA);
    BOOST_TEST(conflict.status == 409);
    BOOST_TEST(nlohmann::json::parse(conflict.body)["error"]["code"] == "conflict");
    const char* rows = R"({"rows":[{"key":"a","value":"1","version":1,"write_id":"w1"}]})";
    BOOST_TEST(call("POST", "/table/read", R"({"keys":["b","a"]})").body == rows);
    BOOST_TEST(call("POST", "/table/list", R"({"prefix":""})").body == rows);
    call("POST", "/table/commit", R"({"write_id":"w2","writes":[{"key":"a","value":null}]})");
    BOOST_TEST(call("POST", "/table/list", R"({"prefix":""})").body == R"({"rows":[]})");
}

// Guards against answers on a kept connection that can't be told from the answers to earlier calls.
BOOST_AUTO_TEST_CASE(AnswersNameTheCall)
{
    for (const char* id : { "committed", "conflict" }) {
        HttpClientRequest made = request("POST", "/table/commit", commitA);
        made.headers.add("Lacewing-Call-Id", id);
        BOOST_TEST(call(made).headers.find("Lacewing-Call-Id").value_or("") == id);
    }
}

// Guards against a crash, or a write, by a malformed body.
BOOST_AUTO_TEST_CASE(MalformedCallsAreRefused)
{
    for (const char* body : { "", "{", "[]", "null", R"({"write_id":1})", R"({"write_id":"w","writes":{}})",
             R"({"write_id":"w","writes":[1]})", R"({"write_id":"w","writes":[{"key":"a"}]})",
             R"({"write_id":"w","writes":[{"key":"a","value":"1"},{"key":"b","value":2}]})",
             R"({"write_id":"w","conditions":[{"key":"a"}],"writes":[{"key":"a","value":"1"}]})",
             R"({"write_id":"w","conditions":[{"key":"a","version":-1}]})",
             R"({"write_id":"w","conditions":[{"key":"a","version":99999999999999999999}]})",
             "{\"write_id\":\"\xff\"}" }) {
        BOOST_TEST_CONTEXT(body)
        BOOST_TEST(call("POST", "/table/commit", body).status == 400);
    }
    BOOST_TEST(call("POST", "/table/read", R"({"keys":[1]})").status == 400);
    BOOST_TEST(call("POST", "/weights/load", "{}").status == 400);
    BOOST_TEST(call("POST", "/table/other", "{}").status == 404);
    BOOST_TEST(call("POST", "/control", R"({"table":{"unknown":1}})").status == 400);
    BOOST_TEST(call("POST", "/table/list", R"({"prefix":""})").body == R"({"rows":[]})");
}

// Guards against a lost answer whose write did not take effect, and an outage that writes or does not end.
BOOST_AUTO_TEST_CASE(FaultsStrikeTheNamedService)
{
    call("POST", "/control", R"({"table":{"down":true}})");
    BOOST_TEST(call("POST", "/table/commit", commitA).status == 503);
    BOOST_TEST(call("PUT", "/objects/x", "bytes").status == 200);
    call("POST", "/control", R"({"table":{"down":false,"lose_answers":1}})");
    BOOST_TEST((call("POST", "/table/commit", commitA).error == HttpClientError::ConnectionLost));
    const Result read = call("POST", "/table/read", R"({"keys":["a"]})");
    BOOST_TEST(nlohmann::json::parse(read.body)["rows"][0]["write_id"] == "w1");
    BOOST_TEST(call("GET", "/objects/x").body == "bytes");
    BOOST_TEST(call("GET", "/objects/y").status == 404);
    call("POST", "/control", R"({"objects":{"silent":true}})");
    HttpClientRequest silent = request("GET", "/objects/x", "");
    silent.progressTimeout = std::chrono::milliseconds(50);
    BOOST_TEST((call(silent).error == HttpClientError::TimedOut));
}

// Guards against weight loads without a limit, and counters that miss calls.
BOOST_AUTO_TEST_CASE(LoadsAreLimitedAndCounted)
{
    call("POST", "/control", R"({"weights":{"fail":1}})");
    BOOST_TEST(call("POST", "/weights/load", R"({"adapter":"a","version":"1"})").status == 503);
    call("POST", "/control", R"({"weights":{"fail":0}})");
    Result results[6];
    int left = 6;
    std::vector<std::unique_ptr<HttpClientCall>> calls;
    for (Result& result : results)
        calls.push_back(
            start(request("POST", "/weights/load", R"({"adapter":"a","version":"1"})"), result, [&] {
                if (--left == 0)
                    loop.stop();
            }));
    loop.run();
    int limited = 0;
    for (const Result& result : results)
        limited += result.status == 429 ? 1 : 0;
    BOOST_TEST(limited == 3);
    const std::string metrics = call("GET", "/metrics").body;
    BOOST_TEST(metrics.find("\nload_failures 1\n") != std::string::npos);
    BOOST_TEST(metrics.find("\nloads 3\n") != std::string::npos);
    BOOST_TEST(metrics.find("writes{service=\"weights\"} 7\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
