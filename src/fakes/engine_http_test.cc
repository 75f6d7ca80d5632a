#include "fakes/engine_http.h"

#include "fakes/http_fixture_test.h"
#include "fakes/weight_store_loader.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using nlohmann::json;

namespace {

EngineOptions fastOptions()
{
    EngineOptions options;
    options.timeScale = 100;
    return options;
}

const char* const loadOrder
    = R"({"name":"a@1#1","model":"base","adapter":"a","version":"1","fencing_number":1})";

struct Fixture : HttpFixture {
    Fixture() { serve(engine); }

    /// Starts a stream that does not end by itself during a test.
    std::unique_ptr<HttpClientCall> startLongStream(Result& result, std::function<void()> done)
    {
        return start(request("POST", "/v1/completions",
                         R"({"model":"a@1#1","prompt":"long","stream":true,"max_tokens":100000})"),
            result, std::move(done));
    }

    TimedAdapterLoader loader { loop, std::chrono::milliseconds(1) };
    EngineHttp engine { loop, fastOptions(), loader, { "secret" }, faults };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineHttpTest, Fixture)

// Guards against a wire format that differs from docs/upstream-protocol.md.
BOOST_AUTO_TEST_CASE(StreamFollowsTheProtocol)
{
    const char* body = R"({"model":"a@1#1","prompt":"hello","stream":true,"max_tokens":3})";
    const Result refused = call("POST", "/v1/completions", body);
    BOOST_TEST(refused.status == 404);
    BOOST_TEST(json::parse(refused.body)["error"]["code"] == "adapter_not_resident");
    BOOST_TEST(call("POST", "/admin/adapters/load", loadOrder).status == 200);
    const Result stream = call("POST", "/v1/completions", body);
    BOOST_TEST(stream.headers.find("Content-Type").value_or("") == "text/event-stream");
    std::vector<std::string> events;
    for (size_t begin = 0; begin < stream.body.size();) {
        const size_t end = stream.body.find("\n\n", begin);
        BOOST_REQUIRE(stream.body.compare(begin, 6, "data: ") == 0);
        events.push_back(stream.body.substr(begin + 6, end - begin - 6));
        begin = end + 2;
    }
    BOOST_REQUIRE(events.size() >= 3u);
    BOOST_TEST(events.back() == "[DONE]");
    BOOST_TEST(json::parse(events[0]) == json({ { "token_index", 0 }, { "text", "a@1 " } }));
    const json last = json::parse(events[events.size() - 2]);
    BOOST_TEST(last["usage"]["prompt_tokens"] == 2);
    BOOST_TEST(last["usage"]["completion_tokens"] == events.size() - 2);
    const json whole = json::parse(
        call("POST", "/v1/completions", R"({"model":"a@1#1","prompt":"hello","max_tokens":3})").body);
    BOOST_TEST(whole["usage"] == last["usage"]);
    BOOST_TEST(whole["finish_reason"] == last["finish_reason"]);
}

// Guards against answers on a kept connection that can't be told from the answers to earlier calls.
BOOST_AUTO_TEST_CASE(AnswersNameTheCall)
{
    const auto idOfAnswer = [&](const std::string& target, const std::string& body, const std::string& id) {
        HttpClientRequest made = request("POST", target, body);
        made.headers.add("Lacewing-Call-Id", id);
        return call(made).headers.find("Lacewing-Call-Id").value_or("");
    };
    const std::string completion = R"({"model":"a@1#1","prompt":"x","max_tokens":2,"stream":true})";
    BOOST_TEST(idOfAnswer("/v1/completions", completion, "1") == "1");
    BOOST_TEST(idOfAnswer("/admin/adapters/load", loadOrder, "2") == "2");
    BOOST_TEST(idOfAnswer("/v1/completions", completion, "3") == "3");
    BOOST_TEST(idOfAnswer("/v1/completions", R"({"model":"a@1#1","prompt":"x","max_tokens":2})", "4") == "4");
    BOOST_TEST(call("GET", "/admin/status").headers.count("Lacewing-Call-Id") == 0u);
}

// Guards against a crash by a malformed body, and a request that runs although it is invalid.
BOOST_AUTO_TEST_CASE(MalformedCallsAreRefused)
{
    for (const char* body : { "", "[]", "{", R"({"model":"base"})", R"({"model":"base","prompt":1})",
             R"({"model":"base","prompt":"x","max_tokens":0})",
             R"({"model":"base","prompt":"x","max_tokens":1.5})",
             R"({"model":"base","prompt":"x","max_tokens":1e30})",
             R"({"model":"base","prompt":"x","stream":1})", R"({"model":"base","prompt":"x","priority":2})",
             R"({"model":"base","prompt":"x","resume_from":-1})",
             R"({"model":"base","prompt":"x","max_tokens":5,"resume_from":6})" }) {
        BOOST_TEST_CONTEXT(body)
        BOOST_TEST(call("POST", "/v1/completions", body).status == 400);
    }
    for (const char* body : { R"({"model":"base","messages":"x"})", R"({"model":"base","messages":[1]})",
             R"({"model":"base","messages":[{"role":"user"}]})",
             R"({"model":"base","messages":[{"role":"user","content":[{"type":"text"}]}]})" }) {
        BOOST_TEST_CONTEXT(body)
        BOOST_TEST(call("POST", "/v1/chat/completions", body).status == 400);
    }
    BOOST_TEST(call("POST", "/admin/adapters/load", R"({"name":"x"})").status == 400);
    BOOST_TEST(call("POST", "/admin/adapters/unload", R"({"name":"x","fencing_number":"1"})").status == 400);
    BOOST_TEST(call("GET", "/admin/cache-events?after=x").status == 400);
    BOOST_TEST(call("GET", "/nothing").status == 404);
    BOOST_TEST(call("GET", "/metrics").body.find("\ntokens_generated 0\n") != std::string::npos);
}

// Guards against the engine protecting the system from its own eviction fault: the order is obeyed, the
// stream is cut and the eviction is counted.
BOOST_AUTO_TEST_CASE(UnloadCutsARunningStream)
{
    call("POST", "/admin/adapters/load", loadOrder);
    Result stream;
    bool ended = false;
    const auto handle = startLongStream(stream, [&] { ended = true; });
    runUntil([&] { return !stream.body.empty(); });
    BOOST_TEST(
        call("POST", "/admin/adapters/unload", R"({"name":"a@1#1","fencing_number":1})").status == 200);
    runUntil([&] { return ended; });
    BOOST_TEST((stream.error == HttpClientError::ConnectionLost));
    BOOST_TEST(call("GET", "/metrics").body.find("\nevicted_while_running 1\n") != std::string::npos);
}

// Guards against a request that runs on after its caller has closed the connection.
BOOST_AUTO_TEST_CASE(ClosedConnectionCancels)
{
    call("POST", "/admin/adapters/load", loadOrder);
    Result stream;
    auto handle = startLongStream(stream, [] {});
    runUntil([&] { return !stream.body.empty(); });
    handle.reset();
    runUntil([&] { return engine.metricsText().find("\ncancelled 1\n") != std::string::npos; });
    const json status = json::parse(call("GET", "/admin/status").body);
    BOOST_TEST(status["adapters"] == json::parse(R"([{"name":"a@1#1","running":0}])"));
}

// Guards against silence that also strikes new connections, or that ends with an answer on an old one.
BOOST_AUTO_TEST_CASE(OpenConnectionsGoSilentWhileNewOnesWork)
{
    HttpClientRequest pooled = request("GET", "/admin/status", "");
    HttpClientRequest fresh = pooled;
    fresh.maximumIdleAge = Duration(0);
    HttpClientRequest control = request("POST", "/control", R"({"silent_open_connections":true})");
    control.maximumIdleAge = Duration(0);
    const auto timesOut = [&](HttpClientRequest made) {
        made.progressTimeout = std::chrono::milliseconds(100);
        return call(made).error == HttpClientError::TimedOut;
    };
    BOOST_TEST(call(pooled).status == 200);
    BOOST_TEST(call(control).status == 200);
    BOOST_TEST(timesOut(pooled));
    BOOST_TEST(call(fresh).status == 200);
    control.body = R"({"silent":true})";
    call(control);
    BOOST_TEST(timesOut(fresh));
    control.body = R"({"silent":false})";
    call(control);
    BOOST_TEST(call(fresh).status == 200);
}

// Guards against a silent stream that is ended visibly when the engine has finished it.
BOOST_AUTO_TEST_CASE(SilentStreamStaysOpen)
{
    call("POST", "/admin/adapters/load", loadOrder);
    Result stream;
    bool ended = false;
    const auto handle = startLongStream(stream, [&] { ended = true; });
    runUntil([&] { return !stream.body.empty(); });
    call("POST", "/control", R"({"silent_open_connections":true})");
    HttpClientRequest fresh
        = request("POST", "/admin/adapters/unload", R"({"name":"a@1#1","fencing_number":1})");
    fresh.maximumIdleAge = Duration(0);
    BOOST_TEST(call(fresh).status == 200);
    // An answer to a later request shows that an end of the stream would have arrived.
    call(fresh);
    BOOST_TEST(!ended);
}

// Guards against streams that are not cut where a test expects it, and refusals that do not end.
BOOST_AUTO_TEST_CASE(StreamsAreDroppedAndConnectionsRefused)
{
    call("POST", "/admin/adapters/load", loadOrder);
    call("POST", "/control", R"({"drop_after_tokens":2})");
    Result stream;
    bool ended = false;
    const auto handle = startLongStream(stream, [&] { ended = true; });
    runUntil([&] { return ended; });
    BOOST_TEST((stream.error == HttpClientError::ConnectionLost));
    BOOST_TEST(stream.body.find("\"token_index\":1") != std::string::npos);
    BOOST_TEST(stream.body.find("\"token_index\":2") == std::string::npos);
    HttpClientRequest fresh = request("GET", "/admin/status", "");
    fresh.maximumIdleAge = Duration(0);
    call("POST", "/control", R"({"refuse_new_ms":600000})");
    BOOST_TEST((call(fresh).error == HttpClientError::ConnectionRefused));
    call("POST", "/control", R"({"refuse_new_ms":1})");
    while (call(fresh).error) { }
}

BOOST_AUTO_TEST_SUITE_END()
