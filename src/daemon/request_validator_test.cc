#include "daemon/request_validator.h"

#include "daemon/fake_exchange_test.h"
#include "state/refusal.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

namespace {

Configuration makeConfiguration()
{
    Configuration configuration;
    configuration.adapters[AdapterId("a")] = { AdapterId("a"), WorkspaceId("w"), ModelId("m"),
        { AdapterVersion("1"), AdapterVersion("2") }, AdapterVersion("2") };
    configuration.adapters[AdapterId("b")] = { AdapterId("b"), WorkspaceId("other"), ModelId("m"),
        { AdapterVersion("1") }, AdapterVersion("1") };
    RouteConfig completions;
    completions.path = "/v1/completions";
    RouteConfig booking;
    booking.path = "/booking";
    booking.service = "desk";
    booking.repeatable = false;
    RouteConfig open;
    open.path = "/hours";
    open.service = "desk";
    open.open = true;
    open.cost = Tokens(5);
    configuration.routes = { completions, booking, open };
    return configuration;
}

struct Fixture {
    Configuration configuration = makeConfiguration();
    RequestValidator validator { [](const std::string& key) -> std::optional<ResolvedKey> {
        if (key != "secret")
            return std::nullopt;
        return ResolvedKey { WorkspaceId("w"), "hash" };
    } };

    std::optional<AdmittedRequest> validate(const std::string& path, const std::string& body,
        HttpHeaders headers = { { "Authorization", "Bearer secret" } })
    {
        return validator.validate(FakeExchange("POST", path, std::move(headers), body), configuration);
    }
    std::string refusedWith(const std::string& path, const std::string& body,
        HttpHeaders headers = { { "Authorization", "Bearer secret" } })
    {
        return validate(path, body, std::move(headers)) ? "admitted" : validator.refusal().code;
    }
};

const std::string path = "/v1/completions";

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestValidatorTest, Fixture)

// Guards against a request that runs on another adapter version than the default at its admission.
BOOST_AUTO_TEST_CASE(NameWithoutVersionIsPinned)
{
    const auto pinned = validate(path, R"({"model":"a","prompt":"x"})");
    BOOST_REQUIRE(pinned);
    BOOST_TEST(pinned->adapter.version.value() == "2");
    const auto named = validate(path, R"({"model":"a@1","prompt":"x"})");
    BOOST_REQUIRE(named);
    BOOST_TEST(named->adapter.version.value() == "1");
    BOOST_TEST(refusedWith(path, R"({"model":"a@3","prompt":"x"})") == refusal::unknownVersion);
}

// Guards against a request that uses an adapter of another workspace than its key's.
BOOST_AUTO_TEST_CASE(KeyOfOtherWorkspaceIsRefused)
{
    BOOST_TEST(refusedWith(path, R"({"model":"b","prompt":"x"})") == refusal::keyOfOtherWorkspace);
    BOOST_TEST(validator.refusal().status == 403);
    BOOST_TEST(refusedWith(path, R"({"model":"a","prompt":"x"})", {}) == refusal::missingKey);
    BOOST_TEST(refusedWith(path, R"({"model":"a","prompt":"x"})", { { "Authorization", "Bearer x" } })
        == refusal::unknownKey);
    BOOST_TEST(refusedWith(path, R"({"model":"a","prompt":"x"})",
                   { { "Authorization", "Bearer secret" }, { "authorization", "Bearer x" } })
        == refusal::invalidRequest);
}

// Guards against leaking a key to an upstream in the body, the request target or a forwarded header.
BOOST_AUTO_TEST_CASE(KeyElsewhereInTheRequestIsRefused)
{
    BOOST_TEST(refusedWith(path, R"({"model":"a","prompt":"my key is secret"})") == refusal::keyInRequest);
    const HttpHeaders headers { { "Authorization", "Bearer secret" }, { "Idempotency-Key", "k1" } };
    BOOST_TEST(refusedWith("/booking/secret", "", headers) == refusal::keyInRequest);
    BOOST_TEST(refusedWith("/booking/1", "secret", headers) == refusal::keyInRequest);
    BOOST_TEST(refusedWith("/booking/%73ecret", "", headers) == refusal::keyInRequest);
    BOOST_TEST(refusedWith("/booking/%2573ecret", "", headers) == refusal::keyInRequest);
    BOOST_TEST(refusedWith("/booking/1", R"({"note":"\u0073ecret"})", headers) == refusal::keyInRequest);
    BOOST_TEST(refusedWith("/booking/1", "",
                   { { "Authorization", "Bearer secret" }, { "Idempotency-Key", "secret" } })
        == refusal::keyInRequest);
}

// Guards against at-most-once calls without an idempotency key, whose repeats could not be detected.
BOOST_AUTO_TEST_CASE(NonRepeatableCallNeedsIdempotencyKey)
{
    BOOST_TEST(refusedWith("/booking/1", "") == refusal::missingIdempotencyKey);
    BOOST_TEST(
        refusedWith("/booking/1", "", { { "Authorization", "Bearer secret" }, { "Idempotency-Key", "a b" } })
        == refusal::invalidRequest);
}

// Guards against a route that matches only part of a path segment.
BOOST_AUTO_TEST_CASE(RoutesMatchWholeSegments)
{
    BOOST_TEST(refusedWith("/bookingX", "") == refusal::unknownRoute);
    const auto open = validate("/hours/today", "", {});
    BOOST_REQUIRE(open);
    BOOST_TEST(open->workspace.empty());
    BOOST_TEST(open->cost.value() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
