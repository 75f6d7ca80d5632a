#include "fakes/forbidden_text.h"

#include <cctype>

namespace lacewing {

namespace {

std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size()
            && std::isxdigit(static_cast<unsigned char>(text[i + 1]))
            && std::isxdigit(static_cast<unsigned char>(text[i + 2]));
        if (!isEscape) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return decoded;
}

} // namespace

ForbiddenText::ForbiddenText(const std::vector<std::string>& texts)
{
    for (const std::string& text : texts) {
        if (!text.empty())
            m_texts.push_back(text);
    }
}

int64_t ForbiddenText::countIn(const std::string& part) const
{
    int64_t count = 0;
    for (const std::string& text : m_texts)
        count += part.find(text) != std::string::npos ? 1 : 0;
    return count;
}

int64_t ForbiddenText::countIn(const HttpExchange& exchange) const
{
    if (m_texts.empty())
        return 0;
    int64_t count = countIn(exchange.body());
    for (const auto& [name, value] : exchange.headers())
        count += countIn(name + ": " + value);
    const std::string target = exchange.path() + "?" + exchange.query();
    return count + countIn(target + "\n" + decodePercent(target));
}

} // namespace lacewing
