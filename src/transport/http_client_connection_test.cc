#include "transport/http_client.h"
#include "transport/http_client_connection.h"
#include "transport/http_test_support.h"

using namespace lacewing;

namespace {

struct Fixture {
    EventLoop loop;
    RawServer server { loop };
    std::unique_ptr<HttpClient> client = HttpClient::create(loop);

    // Sends a request, answers it with pieces of raw bytes, and returns how it ended.
    HttpClientResult fetch(const std::string& answer, size_t pieceLength, std::string& body)
    {
        HttpClientRequest request;
        request.server = server.address();
        std::optional<HttpClientResult> result;
        HttpClientHandlers handlers;
        handlers.onBody = [&](std::string_view bytes) { body += bytes; };
        handlers.onDone = [&](const HttpClientResult& done) { result = done; };
        server.peers.clear();
        const auto call = client->send(std::move(request), std::move(handlers));
        runUntil(loop, [&] { return !server.peers.empty() && server.peers[0]->received("\r\n\r\n"); });
        for (size_t begin = 0; begin < answer.size() && !result; begin += pieceLength) {
            server.peers[0]->send(answer.substr(begin, pieceLength));
            loop.runAfter(std::chrono::milliseconds(1), [this] { loop.stop(); });
            loop.run();
        }
        runUntil(loop, [&] { return result.has_value(); });
        return *result;
    }

    struct CutResult {
        HttpClientResult result;
        int heads = 0;
    };

    // Sends a request, answers it with raw bytes, ends the connection once they are read, and returns how the
    // request ended.
    CutResult fetchCut(const std::string& answer, bool isReset, bool isKept, std::string& body)
    {
        HttpClientRequest request;
        request.server = server.address();
        std::optional<HttpClientResult> result;
        CutResult cut;
        HttpClientHandlers handlers;
        handlers.onHeaders = [&](int, const HttpHeaders&) { ++cut.heads; };
        handlers.onBody = [&](std::string_view bytes) { body += bytes; };
        handlers.onDone = [&](const HttpClientResult& done) { result = done; };
        const size_t earlier = isKept ? server.peers[0]->all().size() : 0;
        const auto call = client->send(std::move(request), std::move(handlers));
        BOOST_REQUIRE(call->isOnReusedConnection() == isKept);
        runUntil(loop, [&] {
            return !server.peers.empty()
                && server.peers[0]->all().find("\r\n\r\n", earlier) != std::string::npos;
        });
        server.peers[0]->send(answer);
        // A reset would drop what the client has not read.
        loop.runAfter(std::chrono::milliseconds(1), [this] { loop.stop(); });
        loop.run();
        BOOST_REQUIRE(!result);
        if (isReset)
            server.peers[0]->reset();
        else
            server.peers[0]->close();
        runUntil(loop, [&] { return result.has_value(); });
        cut.result = *result;
        return cut;
    }
};

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClientConnectionTest, Fixture)

// Guards against bytes lost or doubled where evhttp's reading of a chunk is taken over, however it is cut.
BOOST_AUTO_TEST_CASE(EveryCutGivesTheSameBody)
{
    const std::string answer = "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" + chunkedHead
        + "5\r\nhello\r\n00A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
    for (size_t pieceLength = 1; pieceLength <= answer.size(); ++pieceLength) {
        std::string body;
        const HttpClientResult result = fetch(answer, pieceLength, body);
        BOOST_TEST(!result.error);
        BOOST_TEST(result.status == 200);
        BOOST_TEST(body == "hello0123456789");
    }
}

// Guards against a chunk longer than its size: evhttp takes the rest for the size of the next one.
BOOST_AUTO_TEST_CASE(ChunkLongerThanItsSizeIsInvalid)
{
    const std::string answer = chunkedHead + "5\r\nhello3\r\nabc\r\n0\r\n\r\n";
    for (size_t pieceLength = 1; pieceLength <= answer.size(); ++pieceLength) {
        std::string body;
        const HttpClientResult result = fetch(answer, pieceLength, body);
        BOOST_TEST((result.error == HttpClientError::InvalidAnswer));
        BOOST_TEST(body == "hello");
    }
}

// Guards against a size that evhttp takes although other parsers refuse it or read another number.
BOOST_AUTO_TEST_CASE(MalformedChunkSizeIsInvalid)
{
    std::vector<std::string> sizes = { "", "+5", "-0", "0x5", " 5", "\t5", "5 ", "5 5", "5\t", "+", "x",
        "00000000000000005", "ffffffffffffffff" };
    const std::string_view digits = "0123456789abcdefABCDEF";
    for (int value = 0; value <= 0xff; ++value) {
        const auto byte = static_cast<char>(static_cast<unsigned char>(value));
        if (digits.find(byte) == std::string_view::npos)
            sizes.push_back("5" + std::string(1, byte) + "5");
    }
    for (const std::string& size : sizes) {
        const std::string answer = chunkedHead + "2\r\nok\r\n" + size + "\r\nhello\r\n0\r\n\r\n";
        for (const size_t pieceLength : { answer.size(), size_t { 1 } }) {
            BOOST_TEST_CONTEXT("size [" << size << "] in pieces of " << pieceLength)
            {
                std::string body;
                const HttpClientResult result = fetch(answer, pieceLength, body);
                BOOST_TEST((result.error == HttpClientError::InvalidAnswer));
                BOOST_TEST(body == "ok");
            }
        }
    }
}

// Guards against a status that HTTP doesn't define being taken for the answer of a server in trouble.
BOOST_AUTO_TEST_CASE(UndefinedStatusIsInvalid)
{
    for (const std::string status : { "000", "001", "099", "101", "199", "600", "799", "999" }) {
        for (const std::string& framing : { std::string("\r\nContent-Length: 2\r\n\r\nok"),
                 std::string("\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
                 std::string("\r\n\r\nok") }) {
            const std::string answer = "HTTP/1.1 " + status + " Odd" + framing;
            for (const size_t pieceLength : { answer.size(), size_t { 1 } }) {
                BOOST_TEST_CONTEXT("answer [" << answer << "] in pieces of " << pieceLength)
                {
                    std::string body;
                    const HttpClientResult result = fetch(answer, pieceLength, body);
                    BOOST_TEST((result.error == HttpClientError::InvalidAnswer));
                    BOOST_TEST(body == "");
                }
            }
        }
    }
}

// Guards against a head of which evhttp reads a part only, or a number that isn't one.
BOOST_AUTO_TEST_CASE(MalformedHeadIsInvalid)
{
    const std::string nul(1, '\0');
    const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
    const std::vector<std::string> answers = { "HTTP/1.1 +200 OK" + rest, "HTTP/1.1 200x OK" + rest,
        "HTTP/1.1 0200 OK" + rest, "HTTP/1.1 \t200 OK" + rest, "HTTP/1.1 200" + nul + " OK" + rest,
        "HTTP/1.1 4294967496 OK" + rest, "HTTP/+1.1 200 OK" + rest, "HTTP/1.-1 200 OK" + rest,
        "HTTP/01.1 200 OK" + rest, "HTTP/1.1 200 OK\r\nX: a" + nul + "b" + rest,
        "HTTP/1.1 200 OK\r\nContent-Length: 2" + nul + "3\r\n\r\nok" };
    for (const std::string& malformed : answers) {
        for (const std::string interim :
            { "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" }) {
            const std::string answer = interim + malformed;
            for (const size_t pieceLength : { answer.size(), size_t { 1 } }) {
                BOOST_TEST_CONTEXT("answer [" << answer << "] in pieces of " << pieceLength)
                {
                    std::string body;
                    const HttpClientResult result = fetch(answer, pieceLength, body);
                    BOOST_TEST((result.error == HttpClientError::InvalidAnswer));
                    BOOST_TEST(body == "");
                }
            }
        }
    }
}

// Guards against a statement of the server that nobody sees, since it comes outside of the answer's head.
BOOST_AUTO_TEST_CASE(FieldsOutsideTheHeadAreReported)
{
    const std::string chunks = "5\r\nhello\r\n0\r\n";
    const std::pair<std::string, bool> answers[] = { { chunkedHead + chunks + "\r\n", false },
        { "HTTP/1.1 100 Continue\r\n\r\n" + chunkedHead + chunks + "\r\n", false },
        { "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" + chunkedHead + chunks + "\r\n", true },
        { "HTTP/1.1 102 Processing\r\n\r\n" + chunkedHead + chunks + "\r\n", true },
        { chunkedHead + chunks + "Trailer: t\r\n\r\n", true } };
    for (const auto& [answer, isExpected] : answers) {
        for (size_t pieceLength = 1; pieceLength <= answer.size(); ++pieceLength) {
            std::string body;
            const HttpClientResult result = fetch(answer, pieceLength, body);
            BOOST_TEST(body == "hello");
            BOOST_TEST(result.hasFieldsOutsideHead == isExpected);
        }
    }
}

// Guards against evhttp and the check of chunks disagreeing whether a body is chunked.
BOOST_AUTO_TEST_CASE(SpacesAroundTheCodingAreSkipped)
{
    for (const std::string value : { "chunked", "\tchunked", " \t Chunked\t " }) {
        const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding:" + value
            + "\r\n\r\n5\r\nhello\r\n0\r\nTrailer: t\r\n\r\n";
        for (size_t pieceLength = 1; pieceLength <= answer.size(); ++pieceLength) {
            std::string body;
            const HttpClientResult result = fetch(answer, pieceLength, body);
            BOOST_TEST(!result.error);
            BOOST_TEST(body == "hello");
        }
    }
}

// Guards against a connection that is not read any more after a pause, because input came between the call of
// resumeReading() and the delivery of what was held back.
BOOST_AUTO_TEST_CASE(PauseInsideHandlerIsFollowedByTheRest)
{
    HttpClientRequest request;
    request.server = server.address();
    std::unique_ptr<HttpClientCall> call;
    std::string body;
    bool isDone = false;
    HttpClientHandlers handlers;
    handlers.onHeaders = [&](int, const HttpHeaders&) {
        call->pauseReading();
        loop.runAfter(std::chrono::milliseconds(3), [&] { call->resumeReading(); });
    };
    handlers.onBody = [&](std::string_view bytes) { body += bytes; };
    handlers.onDone = [&](const HttpClientResult& result) { isDone = !result.error; };
    call = client->send(std::move(request), std::move(handlers));
    runUntil(loop, [&] { return !server.peers.empty() && server.peers[0]->received("\r\n\r\n"); });
    const std::string sent(100000, 'x');
    server.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + sent);
    runUntil(loop, [&] { return isDone; });
    BOOST_TEST((body == sent));
}

namespace {

/// What a server sends first, and then again and again until the connection is closed.
struct EndlessAnswer {
    const char* name;
    std::string begin;
    std::string repeated;
};

std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    return { { "no answer", "", std::string(1000, 'x') }, { "line ends", "", "\r\n" },
        { "status line", "HTTP/1.1 200 ", std::string(1000, 'O') },
        { "header field", head + "A: ", std::string(1000, 'a') }, { "header fields", head, "A: b\r\n" },
        { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "body without length", head + "\r\n", std::string(1000, 'b') },
        { "long body", head + "Content-Length: 9000000000\r\n\r\n", std::string(1000, 'b') },
        { "chunks", chunkedHead, "5\r\nhello\r\n" }, { "chunk size", chunkedHead, "0000" },
        { "chunk extension", chunkedHead + "5;", std::string(1000, 'e') },
        { "trailer", chunkedHead + "0\r\n", "T: t\r\n" } };
}

} // namespace

// Guards against a server in trouble that sends without end: the call must end by itself, with little memory,
// and the connection be closed, however the bytes come.
BOOST_AUTO_TEST_CASE(AnswersWithoutEndAreGivenUp)
{
    constexpr size_t maximumBytes = 100000;
    constexpr auto totalTimeout = std::chrono::milliseconds(200);
    for (const EndlessAnswer& answer : endlessAnswers()) {
        BOOST_TEST_CONTEXT(answer.name)
        {
            HttpClientRequest request;
            request.server = server.address();
            request.maximumAnswerBytes = maximumBytes;
            request.totalTimeout = totalTimeout;
            std::optional<HttpClientResult> result;
            size_t bodyBytes = 0;
            HttpClientHandlers handlers;
            handlers.onBody = [&](std::string_view bytes) { bodyBytes += bytes.size(); };
            handlers.onDone = [&](const HttpClientResult& done) { result = done; };
            server.peers.clear();
            const MonotonicTime begin = loop.now();
            const auto call = client->send(std::move(request), std::move(handlers));
            runUntil(loop, [&] { return !server.peers.empty() && server.peers[0]->received("\r\n\r\n"); });
            server.peers[0]->send(answer.begin);
            runUntil(loop, [&] {
                if (!result)
                    server.peers[0]->send(answer.repeated);
                return result.has_value();
            });
            BOOST_TEST(result->error.has_value());
            BOOST_TEST(bodyBytes <= maximumBytes);
            BOOST_TEST(toMilliseconds(loop.now() - begin) < 2 * toMilliseconds(totalTimeout));
            runUntil(loop, [&] { return server.peers[0]->isClosed(); });
        }
    }
    BOOST_TEST(client->connectionCount() == 0);
}

// Guards against a call without a total timeout that a flood of an endless answer does not end either.
BOOST_AUTO_TEST_CASE(AFloodOfAnAnswerWithoutEndIsCutBySize)
{
    for (const EndlessAnswer& answer : endlessAnswers()) {
        BOOST_TEST_CONTEXT(answer.name)
        {
            std::string flood = answer.begin;
            while (flood.size() < 300000)
                flood += answer.repeated;
            HttpClientRequest request;
            request.server = server.address();
            request.maximumAnswerBytes = 100000;
            request.progressTimeout = std::chrono::milliseconds(300);
            std::optional<HttpClientResult> result;
            HttpClientHandlers handlers;
            handlers.onDone = [&](const HttpClientResult& done) { result = done; };
            server.peers.clear();
            const auto call = client->send(std::move(request), std::move(handlers));
            runUntil(loop, [&] { return !server.peers.empty() && server.peers[0]->received("\r\n\r\n"); });
            server.peers[0]->send(flood);
            runUntil(loop, [&] { return result.has_value(); });
            BOOST_TEST(result->error.has_value());
        }
    }
}

namespace {

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// The head of an answer, and whether an orderly end of the connection right after it ends the whole answer.
struct AnswerHead {
    std::string bytes;
    bool isWholeAnswer;
};

std::vector<AnswerHead> answerHeads()
{
    const std::string begin = "HTTP/1.1 200 OK\r\nX-A: b\r\n";
    return { { begin + "Content-Length: 4\r\n\r\n", false },
        { begin + "Transfer-Encoding: chunked\r\n\r\n", false }, { begin + "\r\n", true },
        { "HTTP/1.1 100 Continue\r\n\r\n" + begin + "Content-Length: 4\r\n\r\n", false },
        { "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", true },
        { "HTTP/1.1 503 Unavailable\r\nX-A: b\r\nContent-Length: 0\r\n\r\n", true } };
}

} // namespace

// Guards against a head that is cut at any byte and counts as an answer, as a status or as the begin of a
// body, on a new connection and on one that has carried a whole answer.
BOOST_AUTO_TEST_CASE(CutHeadIsNoAnswer)
{
    for (const AnswerHead& head : answerHeads()) {
        const size_t cuts = head.bytes.size() + (head.isWholeAnswer ? 0 : 1);
        for (size_t variant = 0; variant < 4 * cuts; ++variant) {
            const size_t length = variant / 4;
            const bool isReset = variant % 2 != 0;
            const bool isKept = variant % 4 >= 2;
            BOOST_TEST_CONTEXT(head.bytes.substr(0, length) << ", reset " << isReset << ", kept " << isKept)
            {
                std::string body;
                server.peers.clear();
                if (isKept) {
                    BOOST_TEST(!fetch(wholeAnswer, wholeAnswer.size(), body).error);
                    body.clear();
                }
                const CutResult cut = fetchCut(head.bytes.substr(0, length), isReset, isKept, body);
                BOOST_TEST((cut.result.error == HttpClientError::ConnectionLost));
                BOOST_TEST(cut.result.requestSent);
                BOOST_TEST(cut.heads == (length == head.bytes.size() ? 1 : 0));
                BOOST_TEST(body == "");
            }
        }
    }
    BOOST_TEST(client->connectionCount() == 0);
}

namespace {

const std::string refusal = "HTTP/1.1 503 Full\r\nId: r-1\r\nContent-Length: 0\r\n\r\n";

/// A client whose requests have ids.
struct NamedFixture : Fixture {
    NamedFixture() { client = HttpClient::create(loop, "Id"); }

    /// Sends a request with an id, or without one if it is empty, and answers it.
    ///
    /// @param connection that the request must come on.
    HttpClientResult exchange(const std::string& id, const std::string& answer, size_t connection)
    {
        HttpClientRequest request;
        request.server = server.address();
        if (!id.empty())
            request.headers.add("id", id);
        result.reset();
        HttpClientHandlers handlers;
        handlers.onDone = [this](const HttpClientResult& done) { result = done; };
        const size_t earlier = server.peers.size() > connection ? server.peers[connection]->all().size() : 0;
        call = client->send(std::move(request), std::move(handlers));
        runUntil(loop, [&] {
            return server.peers.size() > connection
                && server.peers[connection]->all().find("\r\n\r\n", earlier) != std::string::npos;
        });
        server.peers[connection]->send(answer);
        runUntil(loop, [this] { return result.has_value(); });
        return *result;
    }

    std::unique_ptr<HttpClientCall> call;
    std::optional<HttpClientResult> result;
};

struct NoObserver : HttpClientConnection::Observer {
    void connectionIdle(HttpClientConnection&) override { }
    void connectionClosed(HttpClientConnection&) override { }
};

} // namespace

// Guards against the copy of a refusal that is taken for the answer to the same request, sent again.
BOOST_FIXTURE_TEST_CASE(ARequestNeverGoesOverAConnectionThatHasCarriedItsId, NamedFixture)
{
    exchange("r-1", refusal, 0);
    BOOST_TEST(!call->isIdRepeated());
    exchange("r-2", wholeAnswer, 0);
    exchange("r-1", wholeAnswer, 1);
    BOOST_TEST(call->isIdRepeated());
    // The connection that was used last has carried the id, the other one hasn't.
    exchange("r-3", wholeAnswer, 1);
    exchange("r-3", wholeAnswer, 0);
    BOOST_TEST(server.peers.size() == 2);
}

// Guards against a connection that takes more memory with each request.
BOOST_FIXTURE_TEST_CASE(AConnectionThatHasCarriedManyIdsIsNotKept, NamedFixture)
{
    for (int number = 0; number < 1024; ++number)
        exchange("r-" + std::to_string(number), wholeAnswer, 0);
    exchange("r-1024", wholeAnswer, 1);
    BOOST_TEST(server.peers.size() == 2);
}

// Guards against a pool that overlooks what a connection has carried.
BOOST_FIXTURE_TEST_CASE(AConnectionRefusesAnIdThatItHasCarried, NamedFixture)
{
    NoObserver observer;
    HttpClientConnection connection(loop, observer, server.address(), "Id");
    const auto start = [&] {
        result.reset();
        HttpClientHandlers handlers;
        handlers.onDone = [this](const HttpClientResult& done) { result = done; };
        HttpClientRequest request;
        request.server = server.address();
        auto exchange = std::make_shared<HttpClientExchange>(std::move(request), std::move(handlers));
        exchange->ids = { "r-1" };
        connection.start(exchange);
        return exchange;
    };
    const auto first = start();
    runUntil(loop, [&] { return !server.peers.empty() && server.peers[0]->received("\r\n\r\n"); });
    server.peers[0]->send(refusal);
    runUntil(loop, [this] { return result.has_value(); });
    BOOST_TEST(!result->error);
    const auto second = start();
    runUntil(loop, [this] { return result.has_value(); });
    BOOST_TEST((result->error == HttpClientError::ConnectFailed));
    BOOST_TEST(!result->requestSent);
}

// Guards against a request that fails because an earlier answer comes once more before its own, however the
// bytes are cut.
BOOST_FIXTURE_TEST_CASE(AnEarlierAnswerBeforeTheOwnOneIsDropped, NamedFixture)
{
    const std::string own = "HTTP/1.1 200 OK\r\nId: r-2\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string body : { "", "full", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }) {
        const std::string earlier = "HTTP/1.1 503 Full\r\nId: r-1\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        const std::string answer = earlier + earlier + own;
        for (size_t pieceLength = 1; pieceLength <= answer.size(); ++pieceLength) {
            client = HttpClient::create(loop, "Id");
            server.peers.clear();
            exchange("r-1", earlier, 0);
            HttpClientRequest request;
            request.server = server.address();
            request.headers.add("Id", "r-2");
            std::string received;
            std::vector<int> statuses;
            result.reset();
            HttpClientHandlers handlers;
            handlers.onHeaders = [&](int status, const HttpHeaders&) { statuses.push_back(status); };
            handlers.onBody = [&](std::string_view bytes) { received += bytes; };
            handlers.onDone = [this](const HttpClientResult& done) { result = done; };
            call = client->send(std::move(request), std::move(handlers));
            runUntil(loop, [&] { return server.peers[0]->received("r-2\r\n"); });
            for (size_t begin = 0; begin < answer.size() && !result; begin += pieceLength) {
                server.peers[0]->send(answer.substr(begin, pieceLength));
                loop.runAfter(std::chrono::milliseconds(1), [this] { loop.stop(); });
                loop.run();
            }
            runUntil(loop, [this] { return result.has_value(); });
            BOOST_TEST(!result->error);
            BOOST_TEST(result->droppedAnswers == 2);
            BOOST_TEST((statuses == std::vector<int> { 200 }));
            BOOST_TEST(received == "ok");
            // A server that has sent answers too many may send more.
            BOOST_TEST(client->connectionCount() == 0);
        }
    }
}

// Guards against dropping what may be the answer to the request, or has no known end.
BOOST_FIXTURE_TEST_CASE(OnlyBoundedAnswersToEarlierRequestsAreDropped, NamedFixture)
{
    for (const std::string answer : { "HTTP/1.1 503 Full\r\nId: r-9\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 503 Full\r\nId: r-1\r\nId: r-2\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 503 Full\r\nId: r-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "HTTP/1.1 503 Full\r\nId: r-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 304 Same\r\nId: r-1\r\nContent-Length: 9\r\n\r\n" }) {
        client = HttpClient::create(loop, "Id");
        server.peers.clear();
        exchange("r-1", refusal, 0);
        const int status = exchange("r-2", answer, 0).status;
        BOOST_TEST(answer.find(' ' + std::to_string(status) + ' ') == 8);
        BOOST_TEST(result->droppedAnswers == 0);
    }
}

// Guards against the beginning of an answer that is taken for the body of an earlier answer to HEAD, which
// has none.
BOOST_FIXTURE_TEST_CASE(NothingIsDroppedOnAConnectionThatHasCarriedHead, NamedFixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 50\r\n\r\n";
    HttpClientRequest request;
    request.server = server.address();
    request.method = "HEAD";
    request.headers.add("Id", "r-1");
    HttpClientHandlers handlers;
    handlers.onDone = [this](const HttpClientResult& done) { result = done; };
    call = client->send(std::move(request), std::move(handlers));
    runUntil(loop, [&] { return !server.peers.empty() && server.peers[0]->received("\r\n\r\n"); });
    server.peers[0]->send(head);
    runUntil(loop, [this] { return result.has_value(); });
    BOOST_TEST(!result->error);
    exchange("r-2", head + "HTTP/1.1 200 OK\r\nId: r-2\r\nContent-Length: 2\r\n\r\nok", 0);
    BOOST_TEST(result->droppedAnswers == 0);
}

// Guards against the copy of a refused order that is taken for the answer to the next one.
BOOST_FIXTURE_TEST_CASE(TheRefusalOfARequestWithoutAnIdEndsItsConnection, NamedFixture)
{
    const std::string unnamed = "HTTP/1.1 409 Busy\r\nContent-Length: 0\r\n\r\n";
    exchange("", wholeAnswer, 0);
    exchange("", unnamed, 0);
    exchange("", wholeAnswer, 1);
    // A refusal that names its request can be told from the answer to another one.
    exchange("r-1", refusal, 1);
    exchange("", wholeAnswer, 1);
    BOOST_TEST(server.peers.size() == 2);
}

// Guards against an idle connection that takes in bytes without end after a whole answer.
BOOST_AUTO_TEST_CASE(BytesAfterAnAnswerCloseTheConnection)
{
    std::string body;
    const HttpClientResult result = fetch("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1000, body);
    BOOST_TEST(!result.error);
    for (int piece = 0; piece < 100; ++piece)
        server.peers[0]->send(std::string(10000, 'x'));
    runUntil(loop, [&] { return server.peers[0]->isClosed(); });
    BOOST_TEST(client->connectionCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
