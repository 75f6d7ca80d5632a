#include "relay/relay_server.h"

#include "base/digest.h"
#include "relay/relay_chooser.h"
#include "relay/relay_fields.h"
#include "relay/relaying_http_client.h"
#include "transport/http_test_support.h"

using namespace lacewing;
using namespace lacewing::relay;
using namespace std::chrono_literals;

namespace {

const UpstreamId upstream("u-1");
const std::string secret = "secret";

/// A host that sends through a relay, the relay, and an upstream that the test plays byte by byte.
struct Fixture {
    Fixture()
    {
        std::string error;
        BOOST_REQUIRE_MESSAGE(server.listen({ "127.0.0.1", 0 }, error), error);
    }

    std::unique_ptr<HttpClientCall> send(const std::string& body)
    {
        HttpClientRequest request;
        request.server = raw.address();
        request.method = "POST";
        request.target = "/p?q";
        request.headers = { { "Host", "h" }, { "Id", "1" } };
        request.body = body;
        HttpClientHandlers handlers;
        handlers.onHeaders = [this](int answered, const HttpHeaders& fields) {
            status = answered;
            headers = fields;
        };
        handlers.onBody = [this](std::string_view bytes) { received += bytes; };
        handlers.onDone = [this](const HttpClientResult& ended) { result = ended; };
        return client.send(std::move(request), std::move(handlers));
    }
    RawPeer& upstreamPeer()
    {
        runUntil(loop, [this] { return !raw.peers.empty(); });
        return *raw.peers.front();
    }
    void awaitResult()
    {
        runUntil(loop, [this] { return result.has_value(); });
    }

    EventLoop loop;
    RawServer raw { loop };
    MemoryAccount memory { 1 << 26 };
    std::unique_ptr<HttpClient> relaysClient = HttpClient::create(loop, "Id");
    std::unique_ptr<HttpClient> ownClient = HttpClient::create(loop, "Id");
    std::string token = relayToken(secret, "relay");
    bool mayForward = true;
    std::string outcome;
    RelayServer server { loop, *relaysClient, memory,
        { [](const std::string& stated) { return equalInConstantTime(stated, relayToken(secret, "relay")); },
            [this](const UpstreamId& id) {
                return mayForward && id == upstream
                    ? std::make_optional(RelayTarget { upstream, raw.address(), 1s })
                    : std::nullopt;
            },
            [](const UpstreamId&, const HttpHeaders&, int, const HttpHeaders&) {},
            [this](const char* ended) { outcome = ended; } } };
    int failures = 0;
    int inHand = 0;
    RelayingHttpClient client { *ownClient, *ownClient,
        { [this](const SocketAddress&) {
             return std::make_optional(Relay { HostId("relay"), server.address(), token, upstream });
         },
            [this](const HostId&) { ++inHand; }, [this](const HostId&) { --inHand; },
            [this](const HostId&) { ++failures; } } };
    int status = 0;
    HttpHeaders headers;
    std::string received;
    std::optional<HttpClientResult> result;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayServerTest, Fixture)

// Guards against a request or an answer that is changed on its way.
BOOST_AUTO_TEST_CASE(PassesARequestAndItsAnswerOnUnchanged)
{
    const auto call = send("body");
    RawPeer& peer = upstreamPeer();
    runUntil(loop, [&] { return peer.received("body"); });
    BOOST_TEST(peer.received("POST /p?q HTTP/1.1"));
    BOOST_TEST(!peer.received("Relay-"));
    peer.send("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 6\r\n\r\nanswer");
    awaitResult();
    BOOST_TEST(!result->error.has_value());
    BOOST_TEST(status == 200);
    BOOST_TEST(headers.find("Seal").value_or("") == "s");
    BOOST_TEST(headers.count(answerField) == 0u);
    BOOST_TEST(received == "answer");
    runUntil(loop, [this] { return outcome == "answered"; });
}

// Guards against events that wait for the end of their stream, and a cut stream that looks complete.
BOOST_AUTO_TEST_CASE(AStreamThatBreaksOffIsNotComplete)
{
    const auto call = send("");
    RawPeer& peer = upstreamPeer();
    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nevent\r\n");
    runUntil(loop, [this] { return received == "event"; });
    peer.reset();
    awaitResult();
    BOOST_TEST(result->error.has_value());
    BOOST_TEST(result->requestSent);
}

// Guards against a request that is said not to have run, although the upstream has got it.
BOOST_AUTO_TEST_CASE(ALostAnswerMayHaveRun)
{
    const auto call = send("body");
    RawPeer& peer = upstreamPeer();
    runUntil(loop, [&] { return peer.received("body"); });
    peer.reset();
    awaitResult();
    BOOST_TEST(result->error.has_value());
    BOOST_TEST(result->requestSent);
    BOOST_TEST(failures == 0);
}

// Guards against a request that counts as run, although the relay has sent nothing.
BOOST_AUTO_TEST_CASE(WhatTheRelayRefusesWasNotSent)
{
    mayForward = false;
    const auto call = send("body");
    awaitResult();
    BOOST_TEST((result->error == HttpClientError::ConnectFailed));
    BOOST_TEST(!result->requestSent);
    BOOST_TEST(status == 0);
    // The relay may still reach other upstreams.
    BOOST_TEST(failures == 0);
}

// Guards against strangers that use a host as their proxy.
BOOST_AUTO_TEST_CASE(RefusesASenderWithoutTheToken)
{
    token = relayToken("other secret", "relay");
    const auto call = send("body");
    awaitResult();
    BOOST_TEST(!result->requestSent);
    BOOST_TEST(raw.peers.empty());
    BOOST_TEST(failures == 1);
}

// Guards against an upstream that works on for a caller who has left.
BOOST_AUTO_TEST_CASE(ACallerWhoLeavesIsCancelledAtTheUpstream)
{
    auto call = send("body");
    RawPeer& peer = upstreamPeer();
    runUntil(loop, [&] { return peer.received("body"); });
    call.reset();
    runUntil(loop, [&] { return peer.isClosed(); });
    BOOST_TEST(outcome == "cancelled");
    BOOST_TEST(inHand == 0);
    BOOST_TEST(server.openCount() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RelayChooserTest)

// Load: one data centre loses its links. Guards against one peer that gets the requests of all, and against
// peers that can't help.
BOOST_AUTO_TEST_CASE(SpreadsRequestsOverThePeersThatReachUpstreams)
{
    Random random(1);
    RelayChooser chooser(DataCentreId("dc-1"), random);
    std::vector<reach::PeerReach> peers;
    for (const char* name : { "near-1", "near-2", "far", "cut", "stopping", "closed" }) {
        reach::PeerReach peer;
        peer.host = HostId(name);
        peer.dataCentre = DataCentreId(peer.host == HostId("far") ? "dc-2" : "dc-1");
        peer.reachesUpstreams = peer.host != HostId("cut");
        peer.isStopping = peer.host == HostId("stopping");
        peer.relayAddress = { "127.0.0.1", static_cast<uint16_t>(peer.host == HostId("closed") ? 0 : 1) };
        peers.push_back(peer);
    }
    std::map<HostId, int> chosen;
    for (int request = 0; request < 12; ++request) {
        const auto peer = chooser.choose(peers, MonotonicTime());
        chooser.started(peer->host);
        ++chosen[peer->host];
    }
    BOOST_TEST(chosen.size() == 3u);
    BOOST_TEST(chosen[HostId("near-1")] >= 4);
    BOOST_TEST(chosen[HostId("near-2")] >= 4);
    const MonotonicTime now = MonotonicTime() + 1s;
    for (const char* name : { "near-1", "near-2", "far" })
        chooser.failed(HostId(name), now);
    BOOST_TEST(!chooser.choose(peers, now).has_value());
    BOOST_TEST(chooser.choose(peers, now + 1s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
