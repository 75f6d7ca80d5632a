#include "gateway/stream_versions.h"

#include "gateway/fake_call_services_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");
const StreamName name { WorkspaceId("w-1"), "r-1" };

struct Fixture : FakeCallServices {
    void addVersion() { serviceVersions.rowsChanged({ versionsRow("v1", "\"v2\"", 2) }); }
    StreamVersion find(const std::optional<StreamName>& stream = name)
    {
        std::optional<StreamVersion> found;
        streamVersions.find(service, stream, [&found](const StreamVersion& version) { found = version; });
        scheduler.advance(2s);
        BOOST_REQUIRE(found);
        return *found;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamVersionsTest, Fixture)

// Guards against a row for each stream on a calm day.
BOOST_AUTO_TEST_CASE(StreamsOfTheBaseVersionNeedNoRecord)
{
    BOOST_TEST(!streamVersions.needsRecord(service, v1));
    BOOST_TEST(streamVersions.needsRecord(service, v2));
    BOOST_TEST(streamVersions.needsRecord(ServiceId("unknown"), v1));
}

// Guards against streams that begin at a version before all hosts could know that it serves, or without a
// record.
BOOST_AUTO_TEST_CASE(AVersionBeginsStreamsOnlyOnceItIsKnownAndRecordsCanBeWritten)
{
    BOOST_TEST(streamVersions.forNewStreams(service).accepts(v1));
    BOOST_TEST(!streamVersions.forNewStreams(service).accepts(v2));
    addVersion();
    BOOST_TEST(streamVersions.forNewStreams(service).accepts(v2));
    reachesStore = false;
    BOOST_TEST(streamVersions.forNewStreams(service).accepts(v1));
    BOOST_TEST(!streamVersions.forNewStreams(service).accepts(v2));
}

BOOST_AUTO_TEST_CASE(AStreamWithoutARecordWasBegunByTheBase)
{
    addVersion();
    const StreamVersion version = find();
    BOOST_TEST((version.source == VersionSource::Base));
    BOOST_TEST(*version.version == v1);
}

BOOST_AUTO_TEST_CASE(ARecordGoesBeforeTheBase)
{
    addVersion();
    store.put(StreamRecords::rowKey(name), R"({"service":"plain","version":"v2"})");
    BOOST_TEST((find().source == VersionSource::Record));
    BOOST_TEST(*find().version == v2);
}

// Guards against a wrong guess where nothing tells which of two versions has begun a stream.
BOOST_AUTO_TEST_CASE(WithoutAnAnswerOfTheStoreOnlyASingleVersionIsKnown)
{
    store.fault = RowStoreError::Unknown;
    BOOST_TEST((find().source == VersionSource::Base));
    addVersion();
    BOOST_TEST((find().source == VersionSource::Unreadable));
    BOOST_TEST(!find().version);
    streamVersions.began(name, { service, v2 });
    BOOST_TEST((find().source == VersionSource::Host));
    BOOST_TEST(*find().version == v2);
}

BOOST_AUTO_TEST_CASE(ACallerThatNamesNoStreamIsServedWhileOneVersionServes)
{
    BOOST_TEST(*find(std::nullopt).version == v1);
    addVersion();
    BOOST_TEST(!find(std::nullopt).version);
}

// Guards against a base version that counts as the only one although the directory shows another.
BOOST_AUTO_TEST_CASE(AnUpstreamOfAnotherVersionMakesTheBaseUncertain)
{
    BOOST_TEST(*find(std::nullopt).version == v1);
    rows.softwareVersions[UpstreamId("t-1")] = v2;
    store.put({ "servers", "t-1" }, "ready");
    scheduler.advance(1s);
    BOOST_TEST(!find(std::nullopt).version);
    reachesStore = false;
    store.fault = RowStoreError::Unknown;
    BOOST_TEST((find().source == VersionSource::Unreadable));
}

// Guards against a host that is cut off from the store and its peers and goes on with a stream at the only
// version it knows, though another one has joined and begun it meanwhile.
BOOST_AUTO_TEST_CASE(AHostOutOfStepDoesNotGuessTheOnlyVersionItKnows)
{
    reach.unreachable = 2;
    reachesStore = false;
    BOOST_TEST((find().source == VersionSource::Unreadable));
    BOOST_TEST((find(std::nullopt).source == VersionSource::Unreadable));
    // The cut has just begun, and no call has failed yet.
    reachesStore = true;
    store.fault = RowStoreError::Unknown;
    BOOST_TEST((find().source == VersionSource::Unreadable));
    streamVersions.began(name, { service, v1 });
    BOOST_TEST((find().source == VersionSource::Host));
}

// Guards against a host that was out of step for long and takes a stream without a record for one of the base
// that it knows, which another version has replaced.
BOOST_AUTO_TEST_CASE(TheBaseIsReadAgainForAStreamWithoutARecord)
{
    store.put(ServiceVersionTracker::rowKey(service), versionsRow("v2", "", 5).value);
    const StreamVersion version = find();
    BOOST_TEST((version.source == VersionSource::Base));
    BOOST_TEST(*version.version == v2);
}

// Guards against the same for a caller that names no stream.
BOOST_AUTO_TEST_CASE(TheVersionsAreReadAgainForACallerThatNamesNoStream)
{
    store.put(ServiceVersionTracker::rowKey(service), versionsRow("v1", "\"v2\"", 5).value);
    BOOST_TEST(!find(std::nullopt).version);
}

// Guards against a service without any stream, since the store is away after its base version has gone.
BOOST_AUTO_TEST_CASE(WithoutBaseAndStoreOtherVersionsBeginStreams)
{
    addVersion();
    reachesStore = false;
    BOOST_TEST(!streamVersions.forNewStreams(service).accepts(v2));
    rows.softwareVersions = { { UpstreamId("s-1"), v2 }, { UpstreamId("s-2"), v2 } };
    for (const char* id : { "s-1", "s-2" })
        store.put({ "servers", id }, "ready");
    scheduler.advance(1s);
    BOOST_TEST(streamVersions.forNewStreams(service).accepts(v2));
    BOOST_TEST(!streamVersions.needsRecord(service, v2));
    reachesStore = true;
    BOOST_TEST(streamVersions.needsRecord(service, v2));
}

// Guards against streams that begin at any version at a host that has just started without the store.
BOOST_AUTO_TEST_CASE(WithoutAnyKnowledgeAndStoreNoStreamBegins)
{
    const ServiceId unknown("unknown");
    BOOST_TEST(streamVersions.forNewStreams(unknown).accepts(v1));
    reachesStore = false;
    BOOST_TEST(!streamVersions.forNewStreams(unknown).accepts(v1));
}

// Guards against a base that is retired, whose streams still have no record.
BOOST_AUTO_TEST_CASE(StreamsOfARetiredBaseHaveRecords)
{
    StoredRow row = versionsRow("v1", "\"v2\"", 3);
    row.value.insert(1, "\"retired\":true,");
    serviceVersions.rowsChanged({ row });
    BOOST_TEST(streamVersions.needsRecord(service, v1));
    BOOST_TEST(*find().version == v1);
}

// Guards against a record of another service that counts for this one's versions.
BOOST_AUTO_TEST_CASE(ARecordOfAnotherServiceTellsNothing)
{
    store.put(StreamRecords::rowKey(name), R"({"service":"other","version":"v2"})");
    BOOST_TEST((find().source == VersionSource::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
