#include "fakes/service_http.h"

#include "fakes/http_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using nlohmann::json;

namespace {

struct Fixture : HttpFixture {
    Fixture() { serve(service); }

    Result callWithKey(const std::string& workspace, const std::string& key)
    {
        HttpClientRequest made = request("POST", "/bookings", "{}");
        made.headers.add("Lacewing-Workspace", workspace);
        made.headers.add("Idempotency-Key", key);
        return call(made);
    }

    json runs() { return json::parse(call("GET", "/runs").body); }

    ServiceHttp service { loop, ServiceOptions { std::chrono::milliseconds(1), "boot", 1, { "secret" } },
        faults };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceHttpTest, Fixture)

// Guards against doubled runs that are not counted, and against calls of two workspaces taken for one.
BOOST_AUTO_TEST_CASE(RunsAreCountedByKey)
{
    BOOST_TEST(json::parse(callWithKey("w", "k").body)["run"] == 1);
    callWithKey("other", "k");
    BOOST_TEST(runs()["doubled"] == 0);
    BOOST_TEST(json::parse(callWithKey("w", "k").body)["run"] == 2);
    for (int i = 0; i < 3; ++i)
        call("POST", "/seats", "{}");
    BOOST_TEST(runs()["doubled"] == 2);
    BOOST_TEST(runs()["doubled_with_key"] == 1);
    BOOST_TEST(runs()["total"] == 6);
}

// Guards against a fault that shows the caller the right failure but runs, or does not run, the call.
BOOST_AUTO_TEST_CASE(FaultsRunOrDoNotRunAsNamed)
{
    const auto strike = [&](const std::string& fault) {
        call("POST", "/control", "{\"" + fault + "\":1}");
        const Result result = call("POST", "/bookings", "{}");
        call("POST", "/control", "{\"" + fault + "\":0}");
        return result;
    };
    BOOST_TEST((strike("close_before_run").error == HttpClientError::ConnectionLost));
    const Result refused = strike("refuse_not_run");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.headers.find("Lacewing-Not-Run").value_or("") == "1");
    BOOST_TEST(runs()["total"] == 0);
    BOOST_TEST((strike("close_after_run").error == HttpClientError::ConnectionLost));
    BOOST_TEST(runs()["total"] == 1);
}

// Guards against answers on a kept connection that can't be told from the answers to earlier calls.
BOOST_AUTO_TEST_CASE(AnswersNameTheCall)
{
    for (const char* share : { "0", "1" }) {
        call("POST", "/control", std::string(R"({"refuse_not_run":)") + share + "}");
        HttpClientRequest made = request("POST", "/bookings", "{}");
        made.headers.add("Lacewing-Call-Id", share);
        BOOST_TEST(call(made).headers.find("Lacewing-Call-Id").value_or("") == share);
    }
}

// Guards against a silent call that is answered, or that runs although it went silent before the run.
BOOST_AUTO_TEST_CASE(SilentCallsGetNoAnswer)
{
    Result before;
    Result after;
    bool ended = false;
    call("POST", "/control", R"({"silent_before_run":1})");
    const auto first = start(request("POST", "/bookings", "1"), before, [&] { ended = true; });
    runUntil([&] { return service.metricsText().find("\nrequests 1\n") != std::string::npos; });
    call("POST", "/control", R"({"silent_before_run":0,"silent_after_run":1})");
    const auto second = start(request("POST", "/bookings", "2"), after, [&] { ended = true; });
    runUntil([&] { return service.metricsText().find("\nruns 1\n") != std::string::npos; });
    call("POST", "/control", R"({"silent_after_run":0})");
    BOOST_TEST(json::parse(call("POST", "/bookings", "3").body)["run"] == 1);
    BOOST_TEST(runs()["total"] == 2);
    BOOST_TEST(!ended);
}

// Guards against a caller's key that reaches the service unseen in any part of the request.
BOOST_AUTO_TEST_CASE(ForbiddenTextIsFoundInAllParts)
{
    HttpClientRequest made = request("POST", "/a?key=se%63ret", "{\"x\":\"secret\"}");
    made.headers.add("Authorization", "Bearer secret");
    call(made);
    call("POST", "/a", "harmless");
    BOOST_TEST(call("GET", "/metrics").body.find("forbidden_text_seen 3\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
