#include "transport/http_answer_head_check.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace lacewing;

namespace {

using Result = HttpAnswerHeadCheck::Result;

// Checks the outcome for the head as a whole and for every length of pieces.
void expectOutcome(const std::string& head, Result expected, size_t acceptedBytes)
{
    for (size_t pieceLength = 1; pieceLength <= head.size(); ++pieceLength) {
        HttpAnswerHeadCheck check;
        Result result = Result::NeedMore;
        size_t accepted = 0;
        for (size_t begin = 0; begin < head.size() && result == Result::NeedMore; begin += pieceLength) {
            result = check.check(std::string_view(head).substr(begin, pieceLength));
            accepted += check.acceptedBytes();
        }
        BOOST_TEST_CONTEXT(head << " in pieces of " << pieceLength)
        {
            BOOST_TEST((result == expected));
            BOOST_TEST(accepted == acceptedBytes);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpAnswerHeadCheckTest)

// Guards against heads of working upstreams that are refused, and against a body taken for a part of the
// head.
BOOST_AUTO_TEST_CASE(UsualHeadsAreAccepted)
{
    for (const std::string head :
        { "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.0 404\r\n\r\n", "HTTP/1.1 200 \r\n\r\n",
            "HTTP/1.1 200 OK\nA:\tb\xff\n c\n\n", "HTTP/1.1 100 Continue\r\n\r\n" }) {
        expectOutcome(head, Result::Done, head.size());
        expectOutcome(head + std::string(1, '\0'), Result::Done, head.size());
        expectOutcome(head.substr(0, head.size() - 1), Result::NeedMore, head.size() - 1);
    }
}

// Guards against a status or version that evhttp and other parsers read differently.
BOOST_AUTO_TEST_CASE(MalformedStatusLinesAreRefused)
{
    for (const std::string accepted :
        { "", "HTTP/", "HTTP/1.", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 2", "HTTP/1.1 200" }) {
        for (const char byte : { '\r', '\n', '\t', '\0', '+', '-', 'x', '\xb2', '\xff' }) {
            const bool isWhole = accepted.size() == 12;
            if (!isWhole || (byte != '\r' && byte != '\n'))
                expectOutcome(accepted + byte + "1 200 OK\r\n\r\n", Result::Failed, accepted.size());
        }
    }
    expectOutcome("HTTP/1.1 2000 OK\r\n\r\n", Result::Failed, 12);
    expectOutcome("HTTP/2.0 200 OK\r\n\r\n", Result::Failed, 5);
}

// Guards against the part of a value after a byte that ends it for one parser only.
BOOST_AUTO_TEST_CASE(ControlBytesAreRefused)
{
    const std::string begin = "HTTP/1.1 200 OK\r\nContent-Length: 2";
    constexpr int firstPrintable = 0x20;
    for (int value = 0; value < firstPrintable; ++value) {
        const auto byte = static_cast<char>(value);
        if (byte == '\t' || byte == '\n')
            continue;
        // A carriage return is refused at the byte that follows.
        expectOutcome(begin + byte + "3\r\n\r\n", Result::Failed, begin.size() + (byte == '\r' ? 1 : 0));
    }
    expectOutcome(begin + "\x7f\r\n\r\n", Result::Failed, begin.size());
}

BOOST_AUTO_TEST_SUITE_END()
