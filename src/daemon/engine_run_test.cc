#include "daemon/upstream_run_fixture_test.h"
#include "state/refusal.h"

#include <sstream>

using namespace lacewing;

namespace {

const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string finishEvent
    = "data: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2},\"finish_reason\":\"stop\"}\n\n"
      "data: [DONE]\n\n";

std::string tokenEvent(int index, const std::string& text)
{
    return "data: {\"token_index\":" + std::to_string(index) + ",\"text\":\"" + text + "\"}\n\n";
}

std::string errorBody(const std::string& code)
{
    return R"({"error":{"code":")" + code + R"(","message":"text"}})";
}

std::string errorAnswer(const std::string& status, const std::string& body)
{
    const std::string length
        = status == "204" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return "HTTP/1.1 " + status + " Error\r\n" + length + "\r\n" + body;
}

struct Fixture : UpstreamRunFixture {
    /// Starts a run, and answers it with the bytes and the end of the connection.
    void answer(const std::string& answer, int64_t resumeFrom = 0)
    {
        const size_t connection = server.peers.size();
        start(makeEngineRun, resumeFrom);
        RawPeer& peer = accept(connection);
        peer.send(answer);
        peer.close();
        finish();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineRunTest, Fixture)

// Guards against joining the bytes of an unfinished event with the events of the run that follows.
BOOST_AUTO_TEST_CASE(UnfinishedEventIsNotJoinedWithTheNextRun)
{
    const std::string event = tokenEvent(1, "b");
    for (size_t length = 1; length + 2 < event.size(); ++length) {
        BOOST_TEST_CONTEXT(event.substr(0, length))
        {
            answer(streamHead + tokenEvent(0, "a") + event.substr(0, length));
            BOOST_TEST(bytes == "a");
            BOOST_TEST((end->outcome == Outcome::Unknown));
            answer(streamHead + event + finishEvent, 1);
            BOOST_TEST(bytes == "b");
            BOOST_TEST((end->outcome == Outcome::Answered));
        }
    }
}

// Guards against taking the orderly end of an answer for the end of the stream, whichever way marks it.
BOOST_AUTO_TEST_CASE(OrderlyEndInsideTheStreamIsNoAnswer)
{
    const std::string whole = tokenEvent(0, "a") + finishEvent;
    for (size_t length = 0; length < whole.find("\n\ndata: [DONE]"); length += 7) {
        const std::string body = whole.substr(0, length);
        const std::string size = std::to_string(length);
        for (const std::string& framed : { "Content-Length: " + size + "\r\n\r\n" + body, "\r\n" + body }) {
            BOOST_TEST_CONTEXT(framed)
            {
                answer("HTTP/1.1 200 OK\r\n" + framed);
                BOOST_TEST((end->outcome == Outcome::Unknown));
                BOOST_TEST(end->code == refusal::upstreamLost);
            }
        }
    }
}

// Guards against going on after an error message or another response in the middle of a stream.
BOOST_AUTO_TEST_CASE(TextInsideTheStreamEndsIt)
{
    for (const char* text :
        { "engine exhausted\n\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
            "data: {\"error\":{\"code\":\"failed\"}}\n\n" }) {
        BOOST_TEST_CONTEXT(text)
        {
            answer(streamHead + tokenEvent(0, "a") + text + tokenEvent(0, "x") + tokenEvent(1, "y")
                + finishEvent);
            BOOST_TEST((end->outcome == Outcome::Unknown));
            BOOST_TEST(bytes.find('y') == std::string::npos);
        }
    }
}

// Guards against a stream that ends as complete although its last tokens are missing.
BOOST_AUTO_TEST_CASE(FinishMustCountTheTokens)
{
    answer(streamHead + tokenEvent(0, "a") + finishEvent);
    BOOST_TEST((end->outcome == Outcome::Unknown));
    answer(streamHead + tokenEvent(0, "a") + tokenEvent(1, "b") + finishEvent);
    BOOST_TEST((end->outcome == Outcome::Answered));
}

// Guards against telling callers "not run" for requests of which the engine has not said so.
BOOST_AUTO_TEST_CASE(OnlyStatedRefusalsAreNotRun)
{
    const std::pair<const char*, const char*> refusals[] = { { "400", "invalid_request" },
        { "404", "adapter_not_resident" }, { "429", "queue_full" }, { "503", "not_ready" } };
    for (const auto& [status, code] : refusals) {
        answer(errorAnswer(status, errorBody(code)));
        BOOST_TEST((end->outcome == Outcome::RefusedNotRun), status);
        BOOST_TEST(end->code == code);
    }
    const std::pair<const char*, std::string> others[] = { { "500", errorBody("adapter_evicted") },
        { "500", errorBody("queue_full") }, { "503", errorBody("overloaded") }, { "503", "" },
        { "502", "<html>Bad Gateway</html>" }, { "404", "{}" }, { "204", "" } };
    for (const auto& [status, body] : others) {
        BOOST_TEST_CONTEXT(status << " " << body)
        {
            answer(errorAnswer(status, body));
            BOOST_TEST((end->outcome == Outcome::Unknown));
            BOOST_TEST(end->code == refusal::upstreamLost);
        }
    }
}

// Guards against taking an earlier refusal that the engine sends once more for the answer to the next
// request, which runs.
BOOST_AUTO_TEST_CASE(EarlierRefusalOnceMoreIsNoAnswer)
{
    const std::string refused = errorAnswer("429", errorBody("queue_full"));
    start(makeEngineRun);
    accept().send(refused);
    finish();
    BOOST_TEST((end->outcome == Outcome::RefusedNotRun));
    start(makeEngineRun);
    accept(0, 2).send(refused + streamHead + tokenEvent(0, "a") + finishEvent);
    finish();
    BOOST_TEST((end->outcome == Outcome::Unknown));
    BOOST_TEST(bytes == "");
    runUntil(loop, [this] { return server.peers[0]->isClosed(); });
}

// Guards against rejecting the answers of an engine that names the call in each, and against taking one that
// names another call.
BOOST_AUTO_TEST_CASE(AnswersOfTheSameConnectionMustNameTheCall)
{
    const std::string stream = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string events = tokenEvent(0, "a") + tokenEvent(1, "b") + finishEvent;
    std::ostringstream chunk;
    chunk << std::hex << events.size() << "\r\n" << events << "\r\n0\r\n\r\n";
    start(makeEngineRun);
    const std::string refused = named(errorAnswer("429", errorBody("queue_full")), callId);
    accept().send(refused);
    finish();
    BOOST_TEST((end->outcome == Outcome::RefusedNotRun));
    start(makeEngineRun);
    const std::string answered = named(stream, callId) + chunk.str();
    accept(0, 2).send(answered);
    finish();
    BOOST_TEST((end->outcome == Outcome::Answered));
    size_t requests = 2;
    size_t connection = 0;
    for (const std::string& earlier : { refused, answered }) {
        start(makeEngineRun);
        accept(connection++, ++requests).send(earlier);
        requests = 0;
        finish();
        BOOST_TEST((end->outcome == Outcome::Unknown));
        BOOST_TEST(bytes == "");
    }
}

BOOST_AUTO_TEST_SUITE_END()
