#include "transport/peer_links.h"

#include "transport/loop_testing.h"
#include "transport/raw_link_peer_testing.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <algorithm>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

const std::string secret = "shared secret";

/// A host with its links. Events are recorded as text, for example "b:connected" or "rejected:silent".
struct Host {
    Host(
        EventLoop& eventLoop, const std::string& id, const std::function<void(PeerLinkOptions&)>& change = {})
        : loop(eventLoop)
        , self(id)
    {
        options.self = HostId(id);
        options.incarnation = Incarnation(5);
        options.dataCentre = DataCentreId("dc");
        options.secret = secret;
        // Long enough that a busy machine does not end a link that is to stay.
        options.silenceTimeout = 60s;
        options.connectTimeout = 60s;
        if (change)
            change(options);
        PeerLinkHandlers handlers;
        handlers.onConnected = [this](const PeerIdentity& peer) { add(peer.host.value() + ":connected"); };
        handlers.onDisconnected
            = [this](const HostId& host, LinkError error) { add(host.value() + ":" + toString(error)); };
        handlers.onRejected = [this](LinkError error) { add(std::string("rejected:") + toString(error)); };
        handlers.onFrame = [this](const HostId&, std::string_view frame) {
            frames.emplace_back(frame);
            if (onFrame)
                onFrame();
        };
        std::string error;
        links = PeerLinks::listen(loop, options, handlers, error);
        BOOST_REQUIRE(links);
    }

    void add(const std::string& event) { events.push_back(event); }
    void connect(const Host& other) { links->connect(other.self, other.links->address()); }
    bool sees(const std::string& event) const
    {
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    EventLoop& loop;
    HostId self;
    PeerLinkOptions options;
    std::vector<std::string> events;
    std::vector<std::string> frames;
    std::function<void()> onFrame;
    std::unique_ptr<PeerLinks> links;
};

void runRounds(EventLoop& loop, int rounds)
{
    runUntil(loop, [&] { return rounds-- <= 0; });
}

LinkHello identity(const std::string& host, int64_t incarnation = 1)
{
    return { HostId(host), Incarnation(incarnation), DataCentreId("dc"), "" };
}

using Events = std::vector<std::string>;

void checkEvents(const Host& host, const Events& expected)
{
    BOOST_TEST(host.events == expected, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLinksTest)

// Guards against frames that are lost, cut or reordered, in both directions and with large frames between.
BOOST_AUTO_TEST_CASE(FramesArriveWholeAndInOrder)
{
    EventLoop loop;
    Host a(loop, "a");
    Host b(loop, "b");
    b.connect(a);
    runUntil(loop, [&] { return a.sees("b:connected") && b.sees("a:connected"); });
    constexpr int count = 20000;
    const std::string large(5 * 1024 * 1024, 'x');
    for (int number = 0; number < count; ++number) {
        BOOST_REQUIRE(a.links->send(b.self, std::to_string(number)));
        BOOST_REQUIRE(b.links->send(a.self, number == count / 2 ? large : std::to_string(number)));
    }
    runUntil(loop, [&] { return a.frames.size() == count && b.frames.size() == count; });
    for (int number = 0; number < count; ++number) {
        BOOST_REQUIRE(b.frames[number] == std::to_string(number));
        BOOST_REQUIRE(a.frames[number] == (number == count / 2 ? large : std::to_string(number)));
    }
    BOOST_TEST(a.links->receivedBytes() == b.links->sentBytes());
    BOOST_TEST(a.links->bufferedBytes(b.self) == 0U);
    b.links->disconnect(a.self);
    BOOST_TEST(!b.links->isConnected(a.self));
    runUntil(loop, [&] { return a.sees("b:closed"); });
    checkEvents(b, { "a:connected" });
}

// Guards against two links, or none, when both sides connect at about the same time.
BOOST_AUTO_TEST_CASE(SimultaneousConnectsMakeOneLink)
{
    for (int lead = -8; lead <= 8; ++lead) {
        EventLoop loop;
        Host a(loop, "a");
        Host b(loop, "b");
        Host& first = lead < 0 ? a : b;
        Host& second = lead < 0 ? b : a;
        first.connect(second);
        for (int round = 0; round < std::abs(lead); ++round)
            event_base_loop(loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
        second.connect(first);
        runUntil(loop, [&] { return a.sees("b:connected") && b.sees("a:connected"); });
        a.links->send(b.self, "to b");
        b.links->send(a.self, "to a");
        runUntil(loop, [&] { return a.frames.size() == 1 && b.frames.size() == 1; });
        runRounds(loop, 10);
        checkEvents(a, { "b:connected" });
        checkEvents(b, { "a:connected" });
    }
}

// Guards against a host that stays without a link, because its own attempt hangs while the peer gets through.
BOOST_AUTO_TEST_CASE(IncomingConnectionReplacesFailedAttempt)
{
    EventLoop loop;
    // Long enough that b is heard before the attempt ends, on a busy machine too.
    Host a(loop, "a", [](PeerLinkOptions& options) { options.silenceTimeout = 1s; });
    Host b(loop, "b");
    RawLinkPeer mute(loop);
    a.links->connect(b.self, mute.listen());
    b.connect(a);
    runUntil(loop, [&] { return !a.events.empty() && !b.events.empty(); });
    checkEvents(a, { "b:connected" });
    checkEvents(b, { "a:connected" });
}

// Guards against an attempt whose end is never reported, and a peer that is then never tried again: a process
// that is delayed finds that its attempt and the peer's connection, which waits for that attempt, have both
// timed out.
BOOST_AUTO_TEST_CASE(ADelayedProcessReportsAFailedAttemptWithAConnectionThatWaits)
{
    constexpr auto silence = 500ms;
    EventLoop loop;
    Host a(loop, "a", [&](PeerLinkOptions& options) { options.silenceTimeout = silence; });
    RawLinkPeer mute(loop);
    a.links->connect(HostId("b"), mute.listen());
    RawLinkPeer b(loop);
    b.connectAs(identity("b"), secret, a.links->address());
    constexpr size_t helloAndProof = 2;
    runUntil(loop, [&] { return b.sent.size() == helloAndProof; });
    runRounds(loop, 10);
    BOOST_TEST(a.events.empty());
    std::this_thread::sleep_for(silence + 100ms);
    runUntil(loop, [&] { return !a.events.empty() && b.up; });
    checkEvents(a, { "b:connected" });
}

// Guards against hosts that never connect again because the store has lost their secret and a host that
// started then has made another one.
BOOST_AUTO_TEST_CASE(ANewSecretHoldsForNewLinks)
{
    EventLoop loop;
    Host a(loop, "a");
    Host b(loop, "b", [](PeerLinkOptions& options) { options.secret = "other"; });
    b.connect(a);
    runUntil(loop, [&] { return b.sees("a:unauthenticated"); });
    a.links->setSecret("other");
    b.connect(a);
    runUntil(loop, [&] { return b.links->isConnected(HostId("a")) && a.links->isConnected(HostId("b")); });
    BOOST_TEST(a.links->isConnected(HostId("b")));
}

// Guards against a link to a host that does not know the secret, is another host or is this host itself.
BOOST_AUTO_TEST_CASE(WrongSecretAndWrongHostAreRefused)
{
    EventLoop loop;
    Host a(loop, "a");
    Host stranger(loop, "b", [](PeerLinkOptions& options) { options.secret = "other"; });
    stranger.connect(a);
    a.connect(stranger);
    runUntil(loop, [&] { return a.events.size() == 2 && stranger.events.size() == 2; });
    for (const Host* host : { &a, &stranger }) {
        BOOST_TEST(host->sees("rejected:unauthenticated"));
        BOOST_TEST(host->sees((host == &a ? "b" : "a") + std::string(":unauthenticated")));
    }
    Host c(loop, "c");
    c.links->connect(HostId("x"), a.links->address());
    c.links->connect(c.self, c.links->address());
    runUntil(loop, [&] { return c.events.size() == 3 && a.events.size() == 3; });
    BOOST_TEST(c.sees("x:unauthenticated"));
    BOOST_TEST(c.sees("c:unauthenticated"));
    BOOST_TEST(c.sees("rejected:unauthenticated"));
    std::string error;
    PeerLinkOptions withoutSecret;
    BOOST_TEST(!PeerLinks::listen(loop, withoutSecret, {}, error));
    BOOST_TEST(!error.empty());
}

// Guards against an attacker that records the frames of an earlier connection.
BOOST_AUTO_TEST_CASE(ReplayedProofIsRefused)
{
    EventLoop loop;
    Host a(loop, "a");
    RawLinkPeer original(loop);
    original.connectAs(identity("b"), secret, a.links->address());
    runUntil(loop, [&] { return original.up; });
    original.close();
    runUntil(loop, [&] { return a.events.size() == 2; });
    RawLinkPeer attacker(loop);
    attacker.hello = original.hello;
    attacker.useWebsocket(WebsocketRole::Client, [&](const std::string& message) {
        if (decodeLinkHello(message))
            attacker.send(original.sent.back());
    });
    attacker.connect(a.links->address());
    runUntil(loop, [&] { return attacker.ended; });
    runUntil(loop, [&] { return a.events.size() == 3; });
    checkEvents(a, { "b:connected", "b:closed", "rejected:unauthenticated" });
}

// Guards against an attacker that sends a host's own nonce and proof back to it.
BOOST_AUTO_TEST_CASE(ReflectedProofIsRefused)
{
    EventLoop loop;
    Host a(loop, "a");
    RawLinkPeer attacker(loop);
    attacker.hello = identity("b");
    attacker.hello.nonce = *makeLinkNonce();
    attacker.useWebsocket(WebsocketRole::Server, [&](const std::string& message) {
        if (!decodeLinkHello(message))
            attacker.send(message);
    });
    a.links->connect(HostId("b"), attacker.listen());
    runUntil(loop, [&] { return !a.events.empty(); });
    checkEvents(a, { "b:unauthenticated" });
}

// Guards against bytes that are no websocket, and against frames before the proof.
BOOST_AUTO_TEST_CASE(GarbageAndEarlyFramesAreRejected)
{
    EventLoop loop;
    Host a(loop, "a");
    RawLinkPeer garbage(loop);
    garbage.connect(a.links->address());
    garbage.write(std::string(100000, '\xee') + "\r\n\r\n");
    runUntil(loop, [&] { return a.events.size() == 1; });
    RawLinkPeer early(loop);
    early.hello = identity("b");
    early.hello.nonce = *makeLinkNonce();
    early.useWebsocket(WebsocketRole::Client, [&](const std::string&) { early.send("frame"); });
    early.connect(a.links->address());
    runUntil(loop, [&] { return a.events.size() == 2; });
    checkEvents(a, { "rejected:protocol_violation", "rejected:unauthenticated" });
    BOOST_TEST(a.frames.empty());
}

// Guards against links that go silent for good, and against connections that never finish the handshake.
BOOST_AUTO_TEST_CASE(SilentPeersAreDisconnected)
{
    EventLoop loop;
    Host a(loop, "a", [](PeerLinkOptions& options) {
        options.silenceTimeout = 300ms;
        options.pingInterval = 50ms;
    });
    RawLinkPeer mute(loop);
    mute.connect(a.links->address());
    runUntil(loop, [&] { return a.events.size() == 1; });
    RawLinkPeer silent(loop);
    silent.connectAs(identity("b"), secret, a.links->address());
    runUntil(loop, [&] { return silent.up; });
    silent.stopReading();
    runUntil(loop, [&] { return a.events.size() == 3; });
    RawLinkPeer listener(loop);
    a.links->connect(HostId("c"), listener.listen());
    runUntil(loop, [&] { return a.events.size() == 4; });
    checkEvents(a, { "rejected:silent", "b:connected", "b:silent", "c:silent" });
}

// Guards against links that keep the times of a fleet of another size.
BOOST_AUTO_TEST_CASE(SilenceMayChangeWhileALinkIsUp)
{
    EventLoop loop;
    Host a(loop, "a", [](PeerLinkOptions& options) {
        options.silenceTimeout = 60s;
        options.pingInterval = 20ms;
    });
    RawLinkPeer silent(loop);
    silent.connectAs(identity("b"), secret, a.links->address());
    runUntil(loop, [&] { return silent.up; });
    silent.stopReading();
    a.links->setSilence(300ms, 20ms);
    runUntil(loop, [&] { return a.events.size() == 2; });
    checkEvents(a, { "b:connected", "b:silent" });
}

// Guards against an idle link that is closed as silent because nobody sends.
BOOST_AUTO_TEST_CASE(IdleLinkIsPinged)
{
    EventLoop loop;
    Host a(loop, "a", [](PeerLinkOptions& options) { options.pingInterval = 5ms; });
    Host b(loop, "b");
    a.connect(b);
    runUntil(loop, [&] { return a.sees("b:connected") && b.sees("a:connected"); });
    const int64_t before = a.links->receivedBytes();
    runUntil(loop, [&] { return a.links->receivedBytes() > before + 20; });
    checkEvents(a, { "b:connected" });
}

// Guards against a stopped process and a lost host being taken for each other.
BOOST_AUTO_TEST_CASE(RefusedAndUnreachableAreToldApart)
{
    EventLoop loop;
    Host a(loop, "a", [](PeerLinkOptions& options) { options.connectTimeout = 100ms; });
    SocketAddress closedPort;
    {
        Host stopped(loop, "b");
        closedPort = stopped.links->address();
    }
    a.links->connect(HostId("b"), closedPort);
    BOOST_TEST(a.events.empty());
    runUntil(loop, [&] { return a.events.size() == 1; });
    // A full accept queue drops further connections, as a lost host does.
    const int full = socket(AF_INET, SOCK_STREAM, 0);
    const auto any = toNative({ "127.0.0.1", 0 });
    BOOST_REQUIRE(bind(full, any->pointer(), any->size) == 0);
    BOOST_REQUIRE(listen(full, 0) == 0);
    const auto address = toNative(boundAddress(full));
    std::vector<int> fillers;
    for (int count = 0; count < 4; ++count) {
        fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        connect(fillers.back(), address->pointer(), address->size);
    }
    a.links->connect(HostId("c"), boundAddress(full));
    runUntil(loop, [&] { return a.events.size() == 2; });
    checkEvents(a, { "b:refused", "c:unreachable" });
    std::for_each(fillers.begin(), fillers.end(), ::close);
    ::close(full);
}

// Guards against a peer that is taken for unreachable because the process was delayed while it connected.
BOOST_AUTO_TEST_CASE(ADelayedProcessTakesAConnectionThatWasMadeInTime)
{
    constexpr auto timeout = 100ms;
    EventLoop loop;
    Host a(loop, "a", [&](PeerLinkOptions& options) { options.connectTimeout = timeout; });
    Host b(loop, "b");
    a.connect(b);
    std::this_thread::sleep_for(2 * timeout);
    runUntil(loop, [&] { return !a.events.empty(); });
    checkEvents(a, { "b:connected" });
}

// Guards against unbounded memory for a peer that sends too much or reads too little.
BOOST_AUTO_TEST_CASE(LimitsCloseTheLink)
{
    EventLoop loop;
    Host a(loop, "a", [](PeerLinkOptions& options) { options.maximumOutputBytes = 1 << 20; });
    Host b(loop, "b", [](PeerLinkOptions& options) { options.maximumFrameBytes = 1000; });
    a.connect(b);
    runUntil(loop, [&] { return a.sees("b:connected") && b.sees("a:connected"); });
    a.links->send(b.self, std::string(1000, 'x'));
    a.links->send(b.self, std::string(1001, 'x'));
    runUntil(loop, [&] { return a.events.size() == 2 && b.events.size() == 2; });
    checkEvents(a, { "b:connected", "b:closed" });
    checkEvents(b, { "a:connected", "a:protocol_violation" });
    BOOST_TEST(b.frames.size() == 1U);
    a.events.clear();
    RawLinkPeer slow(loop);
    slow.connectAs(identity("c"), secret, a.links->address());
    runUntil(loop, [&] { return slow.up; });
    slow.stopReading();
    while (a.links->send(HostId("c"), std::string(100000, 'x'))) { }
    BOOST_TEST(!a.links->isConnected(HostId("c")));
    checkEvents(a, { "c:connected" });
    runUntil(loop, [&] { return a.events.size() == 2; });
    checkEvents(a, { "c:connected", "c:congested" });
}

// Guards against frames that go to a process that has been replaced, and against an old process coming back.
BOOST_AUTO_TEST_CASE(NewerIncarnationReplacesTheLink)
{
    EventLoop loop;
    Host a(loop, "a");
    RawLinkPeer first(loop);
    RawLinkPeer second(loop);
    RawLinkPeer old(loop);
    first.connectAs(identity("b", 2), secret, a.links->address());
    runUntil(loop, [&] { return first.up; });
    second.connectAs(identity("b", 3), secret, a.links->address());
    runUntil(loop, [&] { return second.up && first.ended; });
    old.connectAs(identity("b", 1), secret, a.links->address());
    runUntil(loop, [&] { return a.events.size() == 4; });
    checkEvents(a, { "b:connected", "b:closed", "b:connected", "rejected:unauthenticated" });
    BOOST_TEST(!old.up);
    BOOST_TEST(a.links->isConnected(HostId("b")));
}

// Guards against use of freed memory when a handler changes or destroys the links that called it.
BOOST_AUTO_TEST_CASE(HandlersMayChangeAndDestroyLinks)
{
    EventLoop loop;
    Host a(loop, "a");
    Host b(loop, "b");
    a.connect(b);
    runUntil(loop, [&] { return a.sees("b:connected") && b.sees("a:connected"); });
    b.onFrame = [&] {
        b.links->disconnect(a.self);
        b.connect(a);
    };
    a.links->send(b.self, "first");
    a.links->send(b.self, "dropped after disconnect");
    runUntil(loop, [&] { return b.events.size() == 2 && a.events.size() == 3; });
    checkEvents(a, { "b:connected", "b:closed", "b:connected" });
    BOOST_TEST(b.frames.size() == 1U);
    b.onFrame = [&] { b.links.reset(); };
    a.links->send(b.self, "second");
    a.links->send(b.self, "third");
    runUntil(loop, [&] { return a.events.size() == 4; });
    BOOST_TEST(b.frames.size() == 2U);
    checkEvents(b, { "a:connected", "a:connected" });
}

BOOST_AUTO_TEST_SUITE_END()
