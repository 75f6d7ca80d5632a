#include "transport/http_server.h"
#include "transport/http_test_support.h"

using namespace lacewing;

namespace {

struct Fixture {
    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::vector<std::string> rejections;
    std::string seen;

    Fixture()
    {
        std::string error;
        server = HttpServer::listen(
            loop, {}, [this](const auto& exchange) { serve(*exchange); },
            [this](const std::string& reason) { rejections.push_back(reason); }, error);
        BOOST_REQUIRE_MESSAGE(server, error);
    }

    void serve(HttpExchange& exchange)
    {
        seen += exchange.method() + exchange.path() + "," + exchange.query() + ","
            + exchange.headers().find("x").value_or("") + "," + exchange.body() + ";";
        exchange.reply(200, {}, "");
    }

    // Lets the server read what was sent.
    void runSomeRounds()
    {
        constexpr int rounds = 3;
        for (int round = 0; round < rounds; ++round) {
            loop.runAfter(Duration::zero(), [this] { loop.stop(); });
            loop.run();
        }
    }

    // Sends bytes in pieces and returns what the server sends until it closes the connection.
    std::string talk(const std::string& bytes, size_t pieceLength)
    {
        seen.clear();
        rejections.clear();
        RawPeer peer(loop, server->address());
        for (size_t begin = 0; begin < bytes.size(); begin += pieceLength) {
            peer.send(bytes.substr(begin, pieceLength));
            runSomeRounds();
        }
        runUntil(loop, [&] { return peer.isClosed(); });
        return peer.all();
    }
};

size_t countOf(const std::string& text, const std::string& part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

const std::string chunkedHead = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServerConnectionTest, Fixture)

// Guards against a message whose meaning depends on how the network cut it into pieces, and against lines of
// a trailer that are taken for another request.
BOOST_AUTO_TEST_CASE(EveryCutGivesTheSameMessages)
{
    const std::string messages
        = "\r\nPOST /a?q=%20 HTTP/1.1\r\nHost: h\r\nX:\t v \r\nTransfer-Encoding: Chunked\r\n\r\n"
          "5\r\nhello\r\n00A\r\n0123456789\r\n0\r\nTrailer: t\r\nGET: x\r\nContent-Length: 7\r\n\r\n"
          "PUT /b HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"
          "GET /c HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n";
    for (size_t pieceLength = 1; pieceLength <= messages.size(); ++pieceLength) {
        const std::string answers = talk(messages, pieceLength);
        BOOST_TEST(seen == "POST/a,q=%20,v,hello0123456789;PUT/b,,,abc;GET/c,,,;");
        BOOST_TEST(countOf(answers, "HTTP/1.1 200 ") == 3u);
        BOOST_TEST(countOf(answers, "Connection: close\r\n") == 1u);
        BOOST_TEST(rejections.empty());
    }
}

// Guards against requests that libevhtp's parser accepts, cuts off, or closes the connection on without an
// answer.
BOOST_AUTO_TEST_CASE(FaultsThatTheParserMissesAreRefused)
{
    const std::string post = "POST /p HTTP/1.1\r\nHost: h\r\n";
    const std::pair<std::string, std::string> cases[] = {
        // The size overflows to 0, which would end the body.
        { chunkedHead + "10000000000000000\r\n\r\n", "malformed_chunk" },
        { chunkedHead + "ffffffffffffffff\r\nx", "body_too_large" },
        { chunkedHead + "0\r\nA: b\nC: d\r\n\r\n", "bare_line_feed" },
        { chunkedHead + "0\r\nGET / HTTP/1.1\r\n\r\n", "malformed_header" },
        { post + "Content-Length:\r\n\r\nx", "malformed_content_length" },
        { post + "Content-Length : 5\r\n\r\nhello", "malformed_header" },
        { post + "X: " + std::string(9000, 'x') + "\r\n\r\n", "headers_too_large" },
        { "M-SEARCH /a HTTP/1.1\r\nHost: h\r\n\r\n", "unsupported_method" },
    };
    for (const auto& [bytes, reason] : cases) {
        BOOST_TEST_CONTEXT(bytes)
        {
            const std::string answer = talk(bytes + "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", bytes.size());
            BOOST_TEST(rejections == std::vector<std::string> { reason }, boost::test_tools::per_element());
            BOOST_TEST(countOf(answer, "HTTP/1.1 4") == 1u);
            BOOST_TEST(countOf(answer, "Connection: close\r\n") == 1u);
            BOOST_TEST(seen == "");
        }
    }
}

// Guards against a byte of a chunk's size that libevhtp's parser takes for a digit where char is unsigned, so
// that the body ends elsewhere than for another parser.
BOOST_AUTO_TEST_CASE(ChunkSizeWithAByteThatIsNoDigitIsRefused)
{
    const std::string_view digits = "0123456789abcdefABCDEF";
    // As much data as the longest size that such a parser may have read.
    const std::string rest = "\r\n" + std::string(0xfff, 'x') + "\r\n0\r\n\r\n";
    for (int value = 0; value <= 0xff; ++value) {
        const auto byte = static_cast<char>(static_cast<unsigned char>(value));
        if (digits.find(byte) != std::string_view::npos)
            continue;
        for (std::string line : { "011", "101", "110" }) {
            line[line.find('0')] = byte;
            // A carriage return at the end of a line is refused at the one that follows.
            const std::string refused = chunkedHead + line + "\r";
            BOOST_TEST_CONTEXT("byte " << value << " in " << line)
            {
                for (const auto& [bytes, pieceLength] :
                    { std::pair(refused + rest, refused.size() + rest.size()),
                        std::pair(refused, size_t { 1 }),
                        std::pair(chunkedHead + "1\r\na\r\n" + line + "\r", size_t { 1 }) }) {
                    const std::string answer = talk(bytes, pieceLength);
                    // Ends the case, since each request that is taken waits for a timeout.
                    BOOST_REQUIRE(countOf(answer, "HTTP/1.1 400 ") == 1u);
                    BOOST_TEST(rejections == std::vector<std::string> { "malformed_chunk" },
                        boost::test_tools::per_element());
                    BOOST_TEST(seen == "");
                }
            }
        }
    }
}

// Guards against a chunked body that the parser doesn't take for one because of spaces around the coding: the
// request ran with an empty body, and the body was taken for another request.
BOOST_AUTO_TEST_CASE(SpacesAroundTheCodingDontEmptyTheBody)
{
    const std::string rest = "5\r\nhello\r\n0\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    const std::pair<std::string, bool> cases[] = { { "chunked", true }, { " chunked", true },
        { "  Chunked", true }, { "\tchunked", false }, { " \tchunked", false }, { " chunked ", false },
        { " chunked\t", false }, { " chunked \t ", false } };
    for (const auto& [value, isTaken] : cases) {
        const std::string bytes
            = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:" + value + "\r\n\r\n" + rest;
        for (const size_t pieceLength : { bytes.size(), size_t { 1 } }) {
            BOOST_TEST_CONTEXT("value [" << value << "] in pieces of " << pieceLength)
            {
                const std::string answer = talk(bytes, pieceLength);
                BOOST_TEST(seen == (isTaken ? "POST/p,,,hello;GET/c,,,;" : ""));
                BOOST_TEST(countOf(answer, "HTTP/1.1 400 ") == (isTaken ? 0u : 1u));
                BOOST_TEST(countOf(answer, "unsupported_transfer_encoding") == (isTaken ? 0u : 1u));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
