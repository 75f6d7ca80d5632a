#include "daemon/upstream_run_fixture_test.h"
#include "state/refusal.h"

using namespace lacewing;

namespace {

const std::string refused
    = "HTTP/1.1 503 Unavailable\r\nLacewing-Not-Run: 1\r\nContent-Length: 7\r\n\r\nnot run";
const std::string answered = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceRunTest, UpstreamRunFixture)

// Guards against taking an earlier answer that the service sends once more for the answer to the next
// request, which runs.
BOOST_AUTO_TEST_CASE(EarlierAnswerOnceMoreIsNoAnswer)
{
    for (const std::string& earlier : { refused, answered }) {
        BOOST_TEST_CONTEXT(earlier)
        {
            const size_t connection = server.peers.size();
            start(makeServiceRun);
            accept(connection).send(earlier);
            finish();
            BOOST_TEST((end->outcome != Outcome::Unknown));
            start(makeServiceRun);
            accept(connection, 2).send(earlier + answered);
            finish();
            BOOST_TEST((end->outcome == Outcome::Unknown));
            BOOST_TEST(end->code == refusal::upstreamLost);
            BOOST_TEST(bytes == "");
            runUntil(loop, [&] { return server.peers[connection]->isClosed(); });
        }
    }
}

// Guards against passing on a status that HTTP doesn't define as the answer of a service in trouble.
BOOST_AUTO_TEST_CASE(AnUndefinedStatusIsNoAnswer)
{
    for (const std::string status : { "000", "099", "600", "999" }) {
        BOOST_TEST_CONTEXT("status " << status)
        {
            const size_t connection = server.peers.size();
            start(makeServiceRun);
            accept(connection).send("HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\ndone");
            finish();
            BOOST_TEST((end->outcome == Outcome::Unknown));
            BOOST_TEST(bytes == "");
        }
    }
}

// Guards against rejecting the answers of a service that names the call in each, and against taking one that
// names another call.
BOOST_AUTO_TEST_CASE(AnswersOfTheSameConnectionMustNameTheCall)
{
    start(makeServiceRun);
    const std::string earlier = named(refused, callId);
    accept().send(earlier);
    finish();
    BOOST_TEST((end->outcome == Outcome::RefusedNotRun));
    start(makeServiceRun);
    accept(0, 2).send(named(answered, callId));
    finish();
    BOOST_TEST((end->outcome == Outcome::Answered));
    BOOST_TEST(bytes == "done");
    start(makeServiceRun);
    accept(0, 3).send(earlier);
    finish();
    BOOST_TEST((end->outcome == Outcome::Unknown));
}

// Guards against a second run of a call whose answer states that it hasn't run, and contradicts that or is
// cut off.
BOOST_AUTO_TEST_CASE(ContradictoryOrCutStatementIsNoRefusal)
{
    const std::string contradictory = "HTTP/1.1 503 Unavailable\r\nLacewing-Not-Run: 1\r\nLacewing-Not-Run: "
                                      "0\r\nContent-Length: 0\r\n\r\n";
    for (const std::string& answer : { contradictory, refused.substr(0, refused.size() - 1) }) {
        const size_t connection = server.peers.size();
        start(makeServiceRun);
        RawPeer& peer = accept(connection);
        peer.send(answer);
        peer.close();
        finish();
        BOOST_TEST((end->outcome != Outcome::RefusedNotRun));
    }
    start(makeServiceRun);
    RawPeer& peer = accept(server.peers.size());
    peer.send(named(named(refused, "call-other"), callId));
    finish();
    BOOST_TEST((end->outcome == Outcome::Unknown));
}

// Guards against passing on, and storing, a part of an answer as the whole one. A service process that ends
// closes its connections in an orderly way.
BOOST_AUTO_TEST_CASE(EndOfTheConnectionIsNoEndOfAnAnswer)
{
    for (const char* head : { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
        BOOST_TEST_CONTEXT(head)
        {
            const size_t connection = server.peers.size();
            start(makeServiceRun);
            RawPeer& peer = accept(connection);
            peer.send(std::string("HTTP/1.1 200 OK\r\n") + head + "\r\n4\r\n");
            peer.close();
            finish();
            BOOST_TEST((end->outcome == Outcome::Unknown));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
