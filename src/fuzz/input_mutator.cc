#include "fuzz/input_mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace lacewing::fuzz {

namespace {

constexpr size_t maximumMutations = 6;
constexpr size_t maximumSliceBytes = 40;
/// Longer inputs are truncated to this size.
constexpr size_t maximumInputBytes = 64 * 1024;

/// Delimiters and keywords that parsers handle specially.
constexpr std::array<std::string_view, 22> syntaxTokens { "\r\n", "\r\n\r\n", "\n\n", ":", ",", "\"", "{",
    "}", "[", "]", "null", "true", "\\u0000", "\xff\xfe", "\xc3\x28", "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n", "id: 7\n", "data:", "%00", "//", " " };
constexpr std::array<std::string_view, 10> boundaryNumbers { "0", "-1", "1e400", "-1e19", "0.0000001",
    "9223372036854775807", "9223372036854775808", "18446744073709551616", "NaN", "00" };

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

} // namespace

std::string InputMutator::next()
{
    std::string input = randomInput();
    const size_t mutations = 1 + m_random.below(maximumMutations);
    for (size_t count = 0; count < mutations; ++count)
        mutate(input);
    if (input.size() > maximumInputBytes)
        input.resize(maximumInputBytes);
    return input;
}

void InputMutator::mutate(std::string& input)
{
    const size_t at = randomPosition(input);
    const size_t length = std::min(m_random.below(maximumSliceBytes), input.size() - at);
    switch (m_random.below(8)) {
    case 0:
        if (at < input.size())
            input[at] = static_cast<char>(input[at] ^ (1 << m_random.below(8)));
        break;
    case 1:
        if (at < input.size())
            input[at] = static_cast<char>(m_random.next());
        break;
    case 2:
        input.erase(at, length);
        break;
    case 3:
        input.insert(at, input.substr(at, length));
        break;
    case 4:
        input.insert(at, syntaxTokens[m_random.below(syntaxTokens.size())]);
        break;
    case 5:
        insertFromCorpus(input);
        break;
    case 6:
        replaceNumber(input);
        break;
    default:
        input.resize(at);
        break;
    }
}

void InputMutator::insertFromCorpus(std::string& input)
{
    const std::string& other = randomInput();
    const size_t from = randomPosition(other);
    input.insert(randomPosition(input), other.substr(from, m_random.below(maximumSliceBytes)));
}

void InputMutator::replaceNumber(std::string& input)
{
    const auto first
        = std::find_if(input.begin() + static_cast<std::string::difference_type>(randomPosition(input)),
            input.end(), isDigit);
    const auto last = std::find_if_not(first, input.end(), isDigit);
    input.replace(first, last, boundaryNumbers[m_random.below(boundaryNumbers.size())]);
}

} // namespace lacewing::fuzz
