#include "gateway/proxied_call_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

/// Four upstreams, two of each software version; "v1" is the base.
struct Fixture : ProxiedCallFixture {
    Fixture()
    {
        for (const char* id : { "t-1", "t-2" }) {
            rows.softwareVersions[UpstreamId(id)] = SoftwareVersion("v2");
            store.put({ "servers", id }, "ready");
        }
        scheduler.advance(1s);
        serviceVersions.rowsChanged({ versionsRow("v1", "\"v2\"", 2) });
    }

    void send(const char* path, HttpHeaders more = {}, const char* id = "r-1")
    {
        HttpHeaders headers { { "Host", "a.example" }, { "id", id }, { "key", "key-1" } };
        for (const auto& [name, value] : more)
            headers.add(name, value);
        start(path, headers);
        scheduler.advance(20ms);
    }
    /// Sends a stream that begins at a version, by refusing the other upstreams.
    void begin(const std::string& version, const char* path = "/resume/1")
    {
        send(path);
        while (versionOf(last()) != version) {
            last().notExecuted(503);
            scheduler.advance(20ms);
        }
    }
    UpstreamCall& last() { return *client.calls.back(); }
    std::string versionOf(const UpstreamCall& sent) const
    {
        return sent.request.headers.find("expect").value()[0] == 't' ? "v2" : "v1";
    }
    void sendEvent(const std::string& text)
    {
        last().head(200, "r-1", true);
        last().handlers.onBody(text);
    }
};

const std::string firstEvent = "id: 1\ndata: a\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(ProxiedCallVersionsTest)

// Guards against an answer that is joined from the runs of two software versions.
BOOST_AUTO_TEST_CASE(ABrokenStreamGoesOnAtTheVersionThatBeganIt)
{
    for (const std::string version : { "v1", "v2" }) {
        for (int seed = 0; seed < 10; ++seed) {
            Fixture fixture;
            fixture.random = Random(static_cast<uint64_t>(seed));
            fixture.begin(version);
            fixture.sendEvent(firstEvent);
            fixture.scheduler.advance(20ms);
            BOOST_TEST(fixture.exchange->responseBody == firstEvent);
            const size_t sends = fixture.client.calls.size();
            fixture.last().end(HttpClientError::ConnectionLost);
            BOOST_REQUIRE(fixture.client.calls.size() == sends + 1);
            BOOST_TEST(fixture.versionOf(fixture.last()) == version);
        }
    }
}

// Guards against a stream that goes on at another version because its own has left.
BOOST_AUTO_TEST_CASE(ABrokenStreamEndsIfNoUpstreamHasItsVersion)
{
    Fixture fixture;
    fixture.begin("v2");
    fixture.sendEvent(firstEvent);
    fixture.scheduler.advance(20ms);
    for (const char* id : { "t-1", "t-2" })
        fixture.store.remove({ "servers", id });
    fixture.scheduler.advance(1s);
    const size_t sends = fixture.client.calls.size();
    fixture.last().end(HttpClientError::ConnectionLost);
    BOOST_TEST(fixture.client.calls.size() == sends);
    BOOST_TEST(fixture.exchange->responseBody == firstEvent);
    BOOST_TEST(fixture.exchange->isAborted);
}

// Guards against events of another version than the base that a caller has before the stream's record is
// kept.
BOOST_AUTO_TEST_CASE(TheFirstEventWaitsForTheRecord)
{
    Fixture fixture;
    fixture.store.fault = RowStoreError::Unknown;
    fixture.begin("v2");
    fixture.sendEvent(firstEvent);
    fixture.last().end();
    fixture.scheduler.advance(500ms);
    BOOST_TEST(fixture.exchange->responseBody.empty());
    fixture.store.fault.reset();
    fixture.scheduler.advance(500ms);
    BOOST_TEST(fixture.exchange->responseBody == firstEvent);
    BOOST_TEST(fixture.store.find(StreamRecords::rowKey({ WorkspaceId("w-1"), "r-1" })).has_value());
}

// Guards against a success that is never answered because its record can't be kept.
BOOST_AUTO_TEST_CASE(AStreamWhoseRecordCannotBeKeptFails)
{
    Fixture fixture;
    fixture.store.fault = RowStoreError::Unknown;
    fixture.begin("v2");
    fixture.sendEvent(firstEvent);
    fixture.scheduler.advance(5s);
    BOOST_TEST(fixture.exchange->responseBody.find("data") == std::string::npos);
    BOOST_TEST(fixture.exchange->responseStatus == 504);
}

// Guards against a row for each stream of the version that most streams have.
BOOST_AUTO_TEST_CASE(AStreamOfTheBaseVersionIsPassedOnAtOnce)
{
    Fixture fixture;
    fixture.begin("v1");
    const int calls = fixture.store.calls;
    fixture.sendEvent(firstEvent);
    BOOST_TEST(fixture.exchange->responseBody == firstEvent);
    BOOST_TEST(!fixture.store.find(StreamRecords::rowKey({ WorkspaceId("w-1"), "r-1" })).has_value());
    BOOST_TEST(fixture.store.calls == calls);
}

// Guards against a record that says another version than that of the run that brought the first event, and
// against a call that is kept from upstreams because of a run without events.
BOOST_AUTO_TEST_CASE(ARunWithoutEventsLeavesNoRecordAndBindsNothing)
{
    Fixture broken;
    broken.begin("v2");
    const size_t sends = broken.client.calls.size();
    broken.last().end(HttpClientError::ConnectionLost);
    BOOST_REQUIRE(broken.client.calls.size() > sends);
    BOOST_TEST(!broken.store.find(StreamRecords::rowKey({ WorkspaceId("w-1"), "r-1" })).has_value());
    Fixture refused;
    for (const char* id : { "s-1", "s-2" })
        refused.store.remove({ "servers", id });
    refused.scheduler.advance(1s);
    refused.begin("v2");
    refused.store.put({ "servers", "s-1" }, "ready");
    refused.scheduler.advance(1s);
    for (int refusals = 0; refusals < 2 && refused.versionOf(refused.last()) == "v2"; ++refusals) {
        refused.last().notExecuted(503);
        refused.scheduler.advance(20ms);
    }
    BOOST_TEST(refused.versionOf(refused.last()) == "v1");
}

// Guards against a caller's take-up that goes on at another version, at the host that began the stream and at
// one that knows it from its record only.
BOOST_AUTO_TEST_CASE(ATakeUpGoesToTheVersionThatBeganTheStream)
{
    const HttpHeaders takeUp { { "last-event", "1" }, { "resumes", "r-1" } };
    for (int tries = 0; tries < 10; ++tries) {
        Fixture fixture;
        fixture.random = Random(static_cast<uint64_t>(tries));
        // Without a record the base has begun it.
        fixture.send("/resume/1", takeUp, "r-2");
        BOOST_TEST(fixture.versionOf(fixture.last()) == "v1");
        fixture.store.put(
            StreamRecords::rowKey({ WorkspaceId("w-1"), "r-1" }), R"({"service":"plain","version":"v2"})");
        fixture.send("/resume/1", takeUp, "r-3");
        BOOST_TEST(fixture.versionOf(fixture.last()) == "v2");
        // The record of a later try is that of the first one.
        fixture.send("/resume/1", takeUp, "r-4");
        BOOST_TEST(fixture.versionOf(fixture.last()) == "v2");
    }
    Fixture own;
    own.begin("v2");
    own.sendEvent(firstEvent);
    own.scheduler.advance(20ms);
    own.store.fault = RowStoreError::Unknown;
    own.send("/resume/1", takeUp, "r-2");
    BOOST_TEST(own.versionOf(own.last()) == "v2");
}

// Guards against a guess if nothing tells which version has begun a stream; the caller is told so at once.
BOOST_AUTO_TEST_CASE(ATakeUpOfAnUnknownVersionIsRefused)
{
    for (const HttpHeaders& takeUp : { HttpHeaders { { "last-event", "1" } },
             HttpHeaders { { "last-event", "1" }, { "resumes", "r-1" } } }) {
        Fixture fixture;
        fixture.store.fault = RowStoreError::Unknown;
        fixture.send("/resume/1", takeUp, "r-2");
        fixture.scheduler.advance(2s);
        BOOST_TEST(fixture.client.calls.empty());
        BOOST_TEST(fixture.exchange->responseStatus == 503);
        const int64_t retry = std::stoll(fixture.exchange->responseHeaders.find("retry").value());
        // The store may answer soon; which stream a caller doesn't name nobody will know.
        const bool isNamed = takeUp.count("resumes") > 0;
        BOOST_TEST((isNamed ? retry < 1000 : retry > 2900));
    }
}

// Guards against a take-up that waits, or goes on elsewhere, because no upstream of its version is left.
BOOST_AUTO_TEST_CASE(ATakeUpWithoutAnUpstreamOfItsVersionIsRefused)
{
    Fixture fixture;
    fixture.store.put(
        StreamRecords::rowKey({ WorkspaceId("w-1"), "r-1" }), R"({"service":"plain","version":"v0"})");
    fixture.send("/resume/1", { { "last-event", "1" }, { "resumes", "r-1" } }, "r-2");
    BOOST_TEST(fixture.client.calls.empty());
    BOOST_TEST(fixture.exchange->responseStatus == 503);
    BOOST_TEST(fixture.exchange->responseBody.find("no_upstream_of_version") != std::string::npos);
}

// Guards against streams that can't be taken up and wait for a record that nobody needs.
BOOST_AUTO_TEST_CASE(AStreamThatCannotBeTakenUpHasNoRecord)
{
    Fixture fixture;
    fixture.begin("v2", "/stream/1");
    fixture.sendEvent(firstEvent);
    BOOST_TEST(fixture.exchange->responseBody == firstEvent);
    BOOST_TEST(!fixture.store.find(StreamRecords::rowKey({ WorkspaceId("w-1"), "r-1" })).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
