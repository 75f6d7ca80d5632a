#include "protocol/peer_codec.h"

#include "base/cbor.h"
#include "base/random.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using nlohmann::json;

namespace {

const std::string allBytes = [] {
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte)
        bytes.push_back(static_cast<char>(byte));
    return bytes;
}();

/// One message of each type, with a value in every field that differs from the default.
std::vector<PeerMessage> examples()
{
    const TokenAmount a { WorkspaceId("a"), Tokens(5) };
    const TokenAmount b { WorkspaceId("b"), Tokens(INT64_MAX) };
    return {
        Heartbeat {
            UINT64_MAX, Incarnation(3), DaemonState::Draining, Revision(9), ContentHash("ff"), 12, true, 7 },
        HeartbeatAck { 1, Incarnation(2), Incarnation(3), true, Revision(4), ContentHash("0a"), 5, true },
        RunRequest { StreamId(1), RequestId("id"), WorkspaceId("w"), RouteId("r"), AdapterId("a"),
            AdapterVersion("v1"), ModelId("m"), UpstreamId("u"), Tokens(9), RequestClass::Batch, 1500, 17,
            true, false, "POST", "/p?q", "text/plain", allBytes },
        RunChunk { StreamId(2), 3, 4, allBytes },
        RunEnd { StreamId(3), Outcome::RefusedNotRun, "code", 503, 1000, 11, 12, "stop", "text/plain" },
        RunCancel { StreamId(4) },
        RunWindow { StreamId(5), 262144 },
        QuotaRequest { 6, { a, b } },
        QuotaGrant { 7, { a }, { b, a } },
        QuotaReturn { 8, { b }, { a, a } },
        UpstreamReports { { { UpstreamId("u"), FencingNumber(2), 3, 4, 6, 5, { "a@1", "b@2" } }, {} } },
        ConfigFetch { ContentHash("12") },
        ConfigData { ContentHash("34"), allBytes },
        Goodbye { Incarnation(10) },
    };
}

PeerCodecReason reasonFor(const json& map)
{
    PeerCodec codec;
    BOOST_TEST(!codec.decode(toCbor(map)).has_value());
    return codec.lastError().reason;
}

json chunkMap()
{
    return json::from_cbor(PeerCodec::encode(RunChunk { StreamId(2), 3, 4, "text" }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerCodecTest)

// Guards against a field that is left out, swapped with another or altered on the way. Each example differs
// from the default in every field, and the map that is compared was checked to hold all of them.
BOOST_AUTO_TEST_CASE(EveryMessageSurvivesTheRoundTrip)
{
    PeerCodec codec;
    BOOST_TEST(examples().size() == std::variant_size_v<PeerMessage>);
    for (const PeerMessage& message : examples()) {
        const std::string frame = PeerCodec::encode(message);
        const auto decoded = codec.decode(frame);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded->index() == message.index());
        BOOST_TEST(PeerCodec::encode(*decoded) == frame);
    }
    const auto request = std::get<RunRequest>(*codec.decode(PeerCodec::encode(examples()[2])));
    BOOST_TEST(request.requestId.value() == "id");
    BOOST_TEST(request.adapter.value() == "a");
    BOOST_TEST(request.version.value() == "v1");
    BOOST_TEST(request.workspace.value() == "w");
    BOOST_TEST(request.body == allBytes);
    BOOST_TEST(!request.repeatable);
    const auto heartbeat = std::get<Heartbeat>(*codec.decode(PeerCodec::encode(examples()[0])));
    BOOST_TEST(heartbeat.seq == UINT64_MAX);
    BOOST_TEST((heartbeat.state == DaemonState::Draining));
}

// Guards against a default value that stands in for a field the sender left out.
BOOST_AUTO_TEST_CASE(EveryFieldIsRequiredAndExtraFieldsAreIgnored)
{
    PeerCodec codec;
    for (const PeerMessage& message : examples()) {
        json map = json::from_cbor(PeerCodec::encode(message));
        for (const auto& [name, value] : map.items()) {
            json shorter = map;
            shorter.erase(name);
            BOOST_TEST((reasonFor(shorter) == PeerCodecReason::MissingField));
            json wrongKind = map;
            wrongKind[name] = nullptr;
            BOOST_TEST((reasonFor(wrongKind) == PeerCodecReason::WrongKind));
        }
        map["later"] = { { "nested", { 1, 2.5, nullptr } } };
        BOOST_TEST(codec.decode(toCbor(map)).has_value());
    }
}

// Guards against numbers that would create tokens or overflow, and against unknown names.
BOOST_AUTO_TEST_CASE(BadValuesAreRefusedWithTheirReason)
{
    const auto with = [](const char* name, const json& value) {
        json map = chunkMap();
        map[name] = value;
        return map;
    };
    BOOST_TEST((reasonFor(with("tokens", -1)) == PeerCodecReason::WrongKind));
    BOOST_TEST((reasonFor(with("tokens", 1.0)) == PeerCodecReason::WrongKind));
    BOOST_TEST((reasonFor(with("tokens", UINT64_MAX)) == PeerCodecReason::OutOfRange));
    BOOST_TEST((reasonFor(with("bytes", "text")) == PeerCodecReason::WrongKind));
    BOOST_TEST((reasonFor(with("type", "Later")) == PeerCodecReason::UnknownType));
    BOOST_TEST((reasonFor(json::array({ 1 })) == PeerCodecReason::NotAMap));
    json end = json::from_cbor(PeerCodec::encode(RunEnd {}));
    end["outcome"] = "maybe";
    BOOST_TEST((reasonFor(end) == PeerCodecReason::OutOfRange));
    end["outcome"] = "unknown";
    end["status"] = int64_t(1) << 40;
    BOOST_TEST((reasonFor(end) == PeerCodecReason::OutOfRange));
    json ask = json::from_cbor(PeerCodec::encode(QuotaRequest { 1, { { WorkspaceId("a"), Tokens(-5) } } }));
    BOOST_TEST((reasonFor(ask) == PeerCodecReason::WrongKind));
}

// Guards against negative numbers beyond 64 bits, which the library wraps around to positive ones.
BOOST_AUTO_TEST_CASE(WrappedNegativeNumberIsRefused)
{
    std::string frame = PeerCodec::encode(RunWindow { StreamId(1), 0x1122334455667788 });
    const size_t position = frame.find("\x1b\x11\x22\x33");
    BOOST_REQUIRE(position != std::string::npos);
    frame[position] = '\x3b';
    frame[position + 1] = '\xff';
    PeerCodec codec;
    BOOST_TEST(!codec.decode(frame).has_value());
}

// Guards against a crash or an exception on damaged frames.
BOOST_AUTO_TEST_CASE(MutatedFramesNeverCrash)
{
    Random random(20240607);
    PeerCodec codec;
    size_t refused = 0;
    for (int round = 0; round < 2000; ++round) {
        for (const PeerMessage& message : examples()) {
            std::string frame = PeerCodec::encode(message);
            for (uint64_t flips = 1 + random.below(4); flips > 0; --flips)
                frame[random.below(frame.size())] ^= static_cast<char>(1U << random.below(8));
            if (random.chance(0.3))
                frame.resize(random.below(frame.size()));
            if (random.chance(0.1))
                std::generate(frame.begin(), frame.end(), [&] { return static_cast<char>(random.next()); });
            const auto decoded = codec.decode(frame);
            refused += decoded ? 0 : 1;
            BOOST_REQUIRE(decoded.has_value() == (codec.lastError().reason == PeerCodecReason::None));
        }
    }
    BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()
