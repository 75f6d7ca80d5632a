#include "transport/http_chunk_check.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace lacewing;

namespace {

using Result = HttpChunkCheck::Result;

constexpr uint64_t maximumBodyBytes = 100;

struct Outcome {
    Result result = Result::NeedMore;
    size_t acceptedBytes = 0;
    std::string reason;

    bool operator==(const Outcome& other) const
    {
        return result == other.result && acceptedBytes == other.acceptedBytes && reason == other.reason;
    }
};

Outcome outcomeOf(std::string_view body, size_t pieceLength)
{
    HttpChunkCheck check;
    check.reset(maximumBodyBytes);
    Outcome outcome;
    for (size_t begin = 0; begin < body.size() && outcome.result == Result::NeedMore; begin += pieceLength) {
        outcome.result = check.check(body.substr(begin, pieceLength));
        outcome.acceptedBytes += check.acceptedBytes();
        outcome.reason = check.fault().reason;
    }
    return outcome;
}

// Checks the outcome for the body as a whole and for every length of pieces.
void expectOutcome(const std::string& body, const Outcome& expected)
{
    for (size_t pieceLength = 1; pieceLength <= body.size(); ++pieceLength) {
        BOOST_TEST_CONTEXT(body << " in pieces of " << pieceLength)
        {
            BOOST_TEST((outcomeOf(body, pieceLength) == expected));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpChunkCheckTest)

// Guards against a well-formed body that is refused, and against a trailer taken for chunks.
BOOST_AUTO_TEST_CASE(WellFormedBodiesAreAccepted)
{
    for (const std::string body : { "0\r\n", "5\r\nhello\r\n0\r\n",
             "00A\r\n0123456789\r\n0000000000000000\r\n", "a\r\n0\r\n0\r\n\r\n\r\n\r\n1\r\n\n\r\n0\r\n" }) {
        expectOutcome(body, { Result::Done, body.size(), "" });
        expectOutcome(body + "A: b\r\n\r\n", { Result::Done, body.size(), "" });
        expectOutcome(body.substr(0, body.size() - 1), { Result::NeedMore, body.size() - 1, "" });
    }
}

// Guards against a byte that a parser takes for a digit, as a table of char with -1 does where char is
// unsigned.
BOOST_AUTO_TEST_CASE(EveryByteThatIsNoDigitIsRefused)
{
    const std::string_view digits = "0123456789abcdefABCDEF";
    const std::string first = "5\r\nhello\r\n";
    for (int value = 0; value <= 0xff; ++value) {
        const auto byte = static_cast<char>(static_cast<unsigned char>(value));
        if (digits.find(byte) != std::string_view::npos)
            continue;
        const std::string size(1, byte);
        BOOST_TEST_CONTEXT("byte " << value)
        {
            expectOutcome(
                first + size + "1\r\na\r\n0\r\n", { Result::Failed, first.size(), "malformed_chunk" });
            // A line feed must follow the carriage return at once.
            const size_t accepted = first.size() + 1 + (byte == '\r' ? 1 : 0);
            expectOutcome(
                first + "0" + size + "1\r\na\r\n0\r\n", { Result::Failed, accepted, "malformed_chunk" });
            expectOutcome(
                first + "1" + size + "\r\na\r\n0\r\n", { Result::Failed, accepted, "malformed_chunk" });
        }
    }
}

// Guards against framing on which another parser could disagree.
BOOST_AUTO_TEST_CASE(OtherFaultsAreRefused)
{
    const std::pair<std::string, std::string> cases[] = {
        { "", "\r\n0\r\n" },
        { "", "+1\r\na" },
        { "0", "x1\r\na" },
        { "1", ";a=b\r\na" },
        { "1", "\na\r\n0\r\n" },
        { "0000000000000000", "1\r\na" },
        { "1\r", "\r\na" },
        { "1\r\na", "b\r\n0\r\n" },
        { "1\r\na", "\n0\r\n" },
        { "1\r\na\r", "0\r\n" },
        { "0", "\n\r\n" },
    };
    for (const auto& [accepted, rest] : cases)
        expectOutcome(accepted + rest, { Result::Failed, accepted.size(), "malformed_chunk" });
}

// Guards against a sum of sizes that overflows, and against a body that is larger than it may be.
BOOST_AUTO_TEST_CASE(SizesAreBounded)
{
    const std::string hundred = "64\r\n" + std::string(maximumBodyBytes, 'x') + "\r\n";
    expectOutcome(hundred + "0\r\n", { Result::Done, hundred.size() + 3, "" });
    expectOutcome(hundred + "1\r\n", { Result::Failed, hundred.size() + 2, "body_too_large" });
    expectOutcome("65\r\n", { Result::Failed, 3, "body_too_large" });
    expectOutcome("1\r\na\r\nffffffffffffffff\r\n", { Result::Failed, 23, "body_too_large" });
}

BOOST_AUTO_TEST_SUITE_END()
