#include "gateway/peer_message.h"

#include "base/cbor.h"
#include "base/random.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

/// What is told of an upstream that is cold and states no limit.
UpstreamLimit coldLimit()
{
    return { UpstreamId("u-1"), 5, LimitRevision(0), HostId("host-1"), std::nullopt, 12s };
}

UpstreamLimit limit()
{
    return { UpstreamId("u-1"), 5, LimitRevision(3), HostId("host-1"), RequestRate(0.25) };
}

Quarantine quarantine()
{
    return { PartSet({ ~0ULL, 8 }), QuarantineRevision(4), true, 2, 1500ms };
}

PeerHeartbeat heartbeat()
{
    PeerHeartbeat message;
    message.incarnation = Incarnation(77);
    message.isReady = true;
    message.reachesStore = false;
    message.callerAddress = { "127.0.0.1", 8080 };
    message.configurationVersion = RowVersion(12);
    message.operatorVersion = RowVersion(14);
    message.configurationAge = 250ms;
    message.usageKnownFor = 3s;
    message.usage.push_back({ WorkspaceId("busy"), 900, 300 });
    EngineSummary engine;
    engine.engine = UpstreamId("engine-1");
    engine.isUsable = true;
    engine.models = { ModelId("base") };
    engine.prefillBacklog = 120ms;
    engine.running = 4;
    engine.waiting = 2;
    engine.openSlots = 1;
    engine.promptTokensPerMillisecond = 44.25;
    engine.limitWait = 800ms;
    engine.startInterval = 2s;
    engine.statesSlowdown = true;
    engine.slowdown = 1.75;
    engine.meanSlowdown = 1.25;
    engine.adapters.push_back({ { ModelId("base"), AdapterId("a0") }, false });
    engine.adapters.push_back({ { ModelId("base"), AdapterId("a1") }, true });
    engine.adapters.push_back({ { ModelId("next"), AdapterId("a2") }, true });
    message.engines.push_back(engine);
    message.limits = { limit(), { UpstreamId("u-2"), 6, LimitRevision(1), HostId("host-2"), std::nullopt } };
    message.quarantines = { quarantine() };
    message.leaving = { { UpstreamId("u-2"), 8 } };
    message.quietUpstreams
        = table_sync::ChangeSpan { RowVersion(StoreEra(1), 9), RowVersion(StoreEra(2), 5) };
    return message;
}

/// Leaves out the fields of a frame that hosts of an earlier version don't send.
void truncate(nlohmann::json& frame, size_t size)
{
    while (frame.size() > size)
        frame.erase(frame.size() - 1);
}

std::vector<PeerMessage> samples()
{
    const AdapterRef adapter { ModelId("base"), AdapterId("a1") };
    return { heartbeat(), PeerOperatorRequest { RowVersion(3) },
        PeerOperatorRows { { { { "", "config" }, "\xff{}", RowVersion(4), false } } },
        PeerUpstreamRows { { { { { "", "s-1" }, "\xff{}", RowVersion(4), false },
                                 { { "", "s-2" }, "", RowVersion(5), true } },
            { RowVersion(StoreEra(1), 9), RowVersion(StoreEra(2), 5) }, true } },
        PeerUpstreamRequest { RowVersion(StoreEra(2), 7) },
        PeerStreamQuery { StreamQueryId(3), ServiceId("chat"), StreamName { WorkspaceId("busy"), "r-1" } },
        PeerStreamQuery { StreamQueryId(4), ServiceId("chat"), std::nullopt },
        // Callers choose ids of any bytes.
        PeerStreamQuery { StreamQueryId(5), ServiceId("chat"), StreamName { WorkspaceId(), "\xff\x80" } },
        PeerStreamAnswer { StreamQueryId(3), { SoftwareVersion("v2"), std::nullopt } },
        PeerStreamAnswer { StreamQueryId(4), { std::nullopt, SoftwareVersion("v1") } },
        PeerRunRequest { UpstreamId("engine-1"), RunId(5), adapter, Tokens(10),
            { { ~0ULL, Tokens(7) }, { 8, Tokens(3) } }, Tokens(20), 1, 700ms, 1500ms, 400ms, limit(),
            WorkspaceId("busy"), 2s },
        PeerRunGrant { RunId(5), 3, 8 }, PeerRunDenial { RunId(5), RunRefusal::EngineUnusable, 200ms, true },
        PeerRunProgress { UpstreamId("engine-1"), RunId(5), 2.5 },
        PeerRunEnd { UpstreamId("engine-1"), RunId(5), { RunOutcome::AdapterMissing, 30ms, 1.5 } },
        PeerUsage { Incarnation(77), { { WorkspaceId("busy"), 900, 300 } } }, PeerUpstreamLimit { limit() },
        PeerPermitRequest { UpstreamId("u-1"), PermitId(4), 300ms, limit() },
        PeerPermitAnswer { PermitId(4), true, 120ms }, PeerUpstreamLimit { coldLimit() },
        PeerCrashReports { { { UpstreamId("engine-1"), 1700000000000, PartSet({ ~0ULL, 8 }) } } },
        PeerAnswerBegan { { UpstreamId("engine-1"), 5, PartSet({ 8, 9 }) } },
        PeerQuarantines {
            { quarantine(), { PartSet({ 3 }), QuarantineRevision(1), false, 0, std::nullopt } } },
        PeerUpstreamLeaving { { UpstreamId("u-1"), 1700000000000 } },
        PeerBrittleRejection { { UpstreamId("u-1"), 1700000000000, RequestRate(7.5) } },
        PeerServiceVersions { { { { "", "versions:chat" }, "{}", RowVersion(StoreEra(2), 7), false } } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerMessageTest)

// Guards against rejecting the messages of peers that run the release before workspaces and promised returns.
BOOST_AUTO_TEST_CASE(RunMessagesOfThePreviousReleaseAreRead)
{
    auto request = *fromCbor(encodePeerMessage(PeerRunRequest { UpstreamId("engine-1"), RunId(5), {},
        Tokens(10), {}, Tokens(20), 1, 700ms, 1500ms, 0ms, std::nullopt, WorkspaceId("busy"), 2s }));
    request.erase(14);
    request.erase(13);
    const auto oldRequest = decodePeerMessage(toCbor(request));
    BOOST_REQUIRE(oldRequest.has_value());
    BOOST_TEST(std::get<PeerRunRequest>(*oldRequest).priority == 1);
    BOOST_TEST(std::get<PeerRunRequest>(*oldRequest).workspace.empty());
    auto denial
        = *fromCbor(encodePeerMessage(PeerRunDenial { RunId(5), RunRefusal::Overloaded, 200ms, true }));
    denial.erase(4);
    const auto oldDenial = decodePeerMessage(toCbor(denial));
    BOOST_REQUIRE(oldDenial.has_value());
    BOOST_TEST(!std::get<PeerRunDenial>(*oldDenial).isPromised);
    BOOST_TEST((std::get<PeerRunDenial>(*oldDenial).retryAfter == 200ms));
}

// Guards against rejecting relayed rows of peers that run the release before change spans.
BOOST_AUTO_TEST_CASE(UpstreamRowsOfThePreviousReleaseAreRead)
{
    const PeerUpstreamRows rows { { { { { "", "s-1" }, "{}", RowVersion(4), false } },
        { RowVersion(3), RowVersion(4) }, true } };
    auto frame = *fromCbor(encodePeerMessage(rows));
    truncate(frame, 2);
    const auto decoded = decodePeerMessage(toCbor(frame));
    BOOST_REQUIRE(decoded.has_value());
    const table_sync::ChangeSet& changes = std::get<PeerUpstreamRows>(*decoded).changes;
    BOOST_TEST(changes.rows.size() == 1u);
    BOOST_TEST(!changes.span.upTo.exists());
    BOOST_TEST(!changes.isWholeTable);
}

// Guards against fields that are lost or swapped by encoding and decoding.
BOOST_AUTO_TEST_CASE(EachMessageRoundTrips)
{
    for (const PeerMessage& message : samples()) {
        const std::string frame = encodePeerMessage(message);
        const auto decoded = decodePeerMessage(frame);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded->index() == message.index());
        BOOST_TEST(encodePeerMessage(*decoded) == frame);
    }
    const auto decoded = decodePeerMessage(encodePeerMessage(heartbeat()));
    const auto& message = std::get<PeerHeartbeat>(*decoded);
    BOOST_TEST(message.usage.at(0).inWindow == 300);
    BOOST_TEST((message.engines.at(0).prefillBacklog == 120ms));
    const EngineSummary& engine = message.engines.at(0);
    BOOST_TEST((engine.models == std::vector { ModelId("base") }));
    BOOST_TEST((engine.startInterval == 2s));
    BOOST_TEST(engine.statesSlowdown);
    BOOST_TEST(engine.slowdown == 1.75);
    BOOST_TEST(engine.meanSlowdown == 1.25);
    BOOST_REQUIRE(message.limits.size() == 2);
    BOOST_TEST((message.limits[0].rate == std::optional<RequestRate>(0.25)));
    BOOST_TEST(!message.limits[1].rate);
    BOOST_REQUIRE(message.quarantines.size() == 1);
    BOOST_TEST((message.quarantines[0].parts == quarantine().parts));
    BOOST_TEST((message.quarantines[0].untilProbe == quarantine().untilProbe));
    BOOST_TEST(message.quarantines[0].isLifted);
    BOOST_REQUIRE(message.leaving.size() == 1);
    BOOST_TEST(message.leaving[0].upstream == UpstreamId("u-2"));
    BOOST_TEST(message.leaving[0].startedAt == 8);
    BOOST_REQUIRE(engine.adapters.size() == 3);
    BOOST_TEST(!engine.adapters[0].isLoading);
    BOOST_TEST(engine.adapters[1].isLoading);
    BOOST_TEST((engine.adapters[2].adapter == AdapterRef { ModelId("next"), AdapterId("a2") }));
}

// Guards against corrupt frames that crash the process. Corrupts and truncates frames at random positions.
BOOST_AUTO_TEST_CASE(CorruptFramesAreRejected)
{
    Random random(5);
    for (const PeerMessage& message : samples()) {
        const std::string frame = encodePeerMessage(message);
        for (int round = 0; round < 500; ++round) {
            std::string damaged = frame.substr(0, 1 + random.below(frame.size()));
            damaged[random.below(damaged.size())] = static_cast<char>(random.next());
            decodePeerMessage(damaged);
        }
    }
    BOOST_TEST(!decodePeerMessage("").has_value());
    BOOST_TEST(!decodePeerMessage("\x81\x18\x63").has_value());
}

// Guards against dropping the heartbeats of hosts of an earlier version while a fleet is being replaced.
BOOST_AUTO_TEST_CASE(ReadsHeartbeatsWithoutLeavingUpstreams)
{
    auto json = *fromCbor(encodePeerMessage(heartbeat()));
    truncate(json, 16);
    const auto decoded = decodePeerMessage(toCbor(json));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(std::get<PeerHeartbeat>(*decoded).leaving.empty());
}

// The same for messages without slowdowns. Guards against untrue ones of a peer that are not bounded, too.
BOOST_AUTO_TEST_CASE(ReadsMessagesWithoutSlowdowns)
{
    auto progress = *fromCbor(encodePeerMessage(PeerRunProgress { UpstreamId("engine-1"), RunId(5), 2.5 }));
    truncate(progress, 3);
    BOOST_TEST(!std::get<PeerRunProgress>(*decodePeerMessage(toCbor(progress))).slowdown);
    auto end = *fromCbor(encodePeerMessage(
        PeerRunEnd { UpstreamId("engine-1"), RunId(5), { RunOutcome::AdapterMissing, 30ms, 1.5 } }));
    truncate(end, 5);
    BOOST_TEST(!std::get<PeerRunEnd>(*decodePeerMessage(toCbor(end))).ending.slowdown);
    PeerHeartbeat sent = heartbeat();
    sent.engines.at(0).slowdown = 1e9;
    sent.engines.at(0).meanSlowdown = 0.001;
    const auto bounded = std::get<PeerHeartbeat>(*decodePeerMessage(encodePeerMessage(sent))).engines.at(0);
    BOOST_TEST(bounded.meanSlowdown == 0.5);
    BOOST_TEST(bounded.slowdown == 10);
    sent.engines.at(0).slowdown = -1;
    const auto ignored = std::get<PeerHeartbeat>(*decodePeerMessage(encodePeerMessage(sent))).engines.at(0);
    BOOST_TEST(!ignored.statesSlowdown);
    BOOST_TEST(ignored.slowdown == 1);
}

// Guards against dropping the heartbeats of hosts of an earlier version while a fleet is being replaced.
BOOST_AUTO_TEST_CASE(ReadsHeartbeatsWithoutQuarantines)
{
    auto json = *fromCbor(encodePeerMessage(heartbeat()));
    truncate(json, 14);
    const auto decoded = decodePeerMessage(toCbor(json));
    BOOST_REQUIRE(decoded.has_value());
    const auto& message = std::get<PeerHeartbeat>(*decoded);
    BOOST_TEST(message.limits.size() == 2);
    BOOST_TEST(message.quarantines.empty());
}

// The same for hosts that do not state eras of the store.
BOOST_AUTO_TEST_CASE(ReadsMessagesWithoutEras)
{
    PeerHeartbeat sent = heartbeat();
    sent.configurationVersion = RowVersion(StoreEra(3), 17);
    sent.configurationRevision = Revision(5);
    sent.storeEra = StoreEra(4);
    auto json = *fromCbor(encodePeerMessage(sent));
    const auto current = std::get<PeerHeartbeat>(*decodePeerMessage(toCbor(json)));
    BOOST_TEST(current.configurationVersion == sent.configurationVersion);
    BOOST_TEST(current.configurationRevision == sent.configurationRevision);
    BOOST_TEST(current.storeEra == sent.storeEra);
    truncate(json, 15);
    const auto earlier = std::get<PeerHeartbeat>(*decodePeerMessage(toCbor(json)));
    BOOST_TEST(earlier.configurationVersion == RowVersion(17));
    BOOST_TEST(earlier.storeEra == StoreEra());
    const PeerOperatorRows rows { { { { "", "config" }, "x", RowVersion(StoreEra(2), 8), false } } };
    auto frame = *fromCbor(encodePeerMessage(rows));
    BOOST_TEST(std::get<PeerOperatorRows>(*decodePeerMessage(toCbor(frame))).rows[0].version
        == RowVersion(StoreEra(2), 8));
    truncate(frame[1][0], 4);
    BOOST_TEST(
        std::get<PeerOperatorRows>(*decodePeerMessage(toCbor(frame))).rows[0].version == RowVersion(8));
}

// Guards against a host of the previous release whose limits can't be read, and against a cold time that
// overflows.
BOOST_AUTO_TEST_CASE(ReadsLimitsWithoutAColdTime)
{
    const auto read = [](const PeerMessage& message, const std::optional<int64_t>& coldFor) {
        auto json = *fromCbor(encodePeerMessage(message));
        truncate(json[1], 5);
        if (coldFor)
            json[1].push_back(*coldFor);
        return std::get<PeerUpstreamLimit>(*decodePeerMessage(toCbor(json))).limit.coldFor;
    };
    BOOST_TEST(!read(PeerUpstreamLimit { limit() }, std::nullopt));
    BOOST_TEST((read(PeerUpstreamLimit { limit() }, 7'000'000) == 7s));
    BOOST_TEST((read(PeerUpstreamLimit { limit() }, -5) == 0s));
    BOOST_TEST((read(PeerUpstreamLimit { limit() }, INT64_MAX / 2000) == 24h));
}

// The same for hosts of the version before that.
BOOST_AUTO_TEST_CASE(ReadsHeartbeatsWithoutLimits)
{
    auto json = *fromCbor(encodePeerMessage(heartbeat()));
    truncate(json, 13);
    auto& engine = json[7][0];
    engine.erase(engine.size() - 1);
    engine.erase(engine.size() - 1);
    const auto decoded = decodePeerMessage(toCbor(json));
    BOOST_REQUIRE(decoded.has_value());
    const auto& message = std::get<PeerHeartbeat>(*decoded);
    BOOST_TEST(message.limits.empty());
    BOOST_TEST(message.quarantines.empty());
    BOOST_TEST((message.engines.at(0).startInterval == 0s));
}

// Guards against digests that are lost or mixed up with unchanged ones, and against a further field while the
// setting is off.
BOOST_AUTO_TEST_CASE(HeartbeatsCarryDigestsOnlyIfStated)
{
    const auto sent = [](std::optional<affinity::PrefixStatement> statement) {
        PeerHeartbeat message = heartbeat();
        message.engines[0].prefixes = std::move(statement);
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        return std::get<PeerHeartbeat>(*decoded).engines.at(0).prefixes;
    };
    constexpr size_t fieldsWithoutPrefixes = 12;
    BOOST_TEST((*fromCbor(encodePeerMessage(heartbeat())))[7][0].size() == fieldsWithoutPrefixes);
    BOOST_TEST(!sent(std::nullopt));
    const affinity::PrefixDigest digest({ affinity::PrefixFingerprint { 0xfffffff0 } });
    const auto stated = sent(affinity::PrefixStatement { 0.25, digest });
    BOOST_TEST(stated->memoryFill == 0.25);
    BOOST_TEST(stated->digest->hasSamePrefixes(digest));
    BOOST_TEST(!sent(affinity::PrefixStatement { 0.25, std::nullopt })->digest);
    // Guards against a fill that decreases each time that it is passed on.
    for (int percent = 0; percent <= 100; ++percent)
        BOOST_TEST(
            sent(affinity::PrefixStatement { percent / 100.0, std::nullopt })->memoryFill == percent / 100.0);
    BOOST_TEST(sent(affinity::PrefixStatement { 0.25, affinity::PrefixDigest() })->digest->empty());
}

// Guards against losing a heartbeat, and with it a host, because of a digest that can't be read.
BOOST_AUTO_TEST_CASE(AMalformedDigestLosesOnlyTheDigest)
{
    using nlohmann::json;
    const std::vector<json> malformed { json(), json("x"), json::array(), json::array({ "x" }),
        json::array({ 1, "x" }), json::array({ 1, json::binary({ 1, 2, 3 }) }),
        json::array({ 1, json::binary(std::vector<uint8_t>(1024)) }), json::array({ 1, 2, 3 }) };
    for (const json& prefixes : malformed) {
        json frame = *fromCbor(encodePeerMessage(heartbeat()));
        frame[7][0].push_back(prefixes);
        const auto decoded = decodePeerMessage(toCbor(frame));
        BOOST_REQUIRE(decoded.has_value());
        const EngineSummary& engine = std::get<PeerHeartbeat>(*decoded).engines.at(0);
        BOOST_TEST(!engine.prefixes);
        BOOST_TEST((engine.startInterval == 2s));
    }
}

BOOST_AUTO_TEST_SUITE_END()
