#include "fakes/answer_text.h"

#include "base/random.h"
#include "fakes/content_hash.h"

#include <algorithm>

namespace lacewing {

AnswerText::AnswerText(const std::string& identity, const std::string& prompt, int64_t maximumTokens)
    : m_identity(identity)
    , m_hash(hashBytes(prompt, hashBytes(identity + "\n")))
{
    // One answer in five would be longer than the maximum, so that both finish reasons occur.
    const int64_t range = maximumTokens + std::max<int64_t>(1, maximumTokens / 4);
    const auto wanted
        = static_cast<int64_t>(1 + Random(hashBytes(prompt)).below(static_cast<uint64_t>(range)));
    m_length = std::min(wanted, maximumTokens);
    m_isCutOff = wanted > maximumTokens;
}

std::string AnswerText::token(int64_t index) const
{
    if (index == 0)
        return m_identity + " ";
    Random random(m_hash ^ static_cast<uint64_t>(index));
    std::string text(4, ' ');
    for (size_t letter = 0; letter < 3; ++letter)
        text[letter] = static_cast<char>('a' + random.below(26));
    return text;
}

} // namespace lacewing
