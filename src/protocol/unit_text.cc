#include "protocol/unit_text.h"

#include <charconv>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

struct UnitFactor {
    std::string_view suffix;
    int64_t factor;
};

const std::vector<UnitFactor>& factors(FieldUnit unit)
{
    static const std::vector<UnitFactor> none { { "", 1 } };
    static const std::vector<UnitFactor> tokens { { "tokens", 1 } };
    static const std::vector<UnitFactor> tokenRate { { "tokens/s", 1 } };
    static const std::vector<UnitFactor> loadRate { { "loads/s", 1 } };
    static const std::vector<UnitFactor> time { { "ms", 1 }, { "s", 1000 }, { "min", 60'000 },
        { "h", 3'600'000 } };
    switch (unit) {
    case FieldUnit::None:
        return none;
    case FieldUnit::Tokens:
        return tokens;
    case FieldUnit::TokensPerSecond:
        return tokenRate;
    case FieldUnit::LoadsPerSecond:
        return loadRate;
    case FieldUnit::Milliseconds:
        return time;
    }
    return none;
}

/// Splits a text into a number and the factor of its unit.
template <typename Number>
std::optional<std::pair<Number, int64_t>> parseNumber(const std::string& text, FieldUnit unit)
{
    Number number {};
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc())
        return std::nullopt;
    std::string_view suffix(rest, static_cast<size_t>(end - rest));
    if (unit != FieldUnit::None && suffix.size() > 1 && suffix.front() == ' ')
        suffix.remove_prefix(1);
    for (const UnitFactor& candidate : factors(unit)) {
        if (candidate.suffix == suffix)
            return std::make_pair(number, candidate.factor);
    }
    return std::nullopt;
}

} // namespace

std::optional<int64_t> parseQuantity(const std::string& text, FieldUnit unit)
{
    const auto parsed = parseNumber<int64_t>(text, unit);
    if (!parsed)
        return std::nullopt;
    const auto [number, factor] = *parsed;
    const int64_t bound = std::numeric_limits<int64_t>::max() / factor;
    if (number > bound || number < -bound)
        return std::nullopt;
    return number * factor;
}

std::optional<double> parseFraction(const std::string& text, FieldUnit unit)
{
    // from_chars() also reads "inf" and "nan", which no configuration value may be.
    if (text.empty() || text.find_first_of("0123456789") != 0)
        return std::nullopt;
    const auto parsed = parseNumber<double>(text, unit);
    if (!parsed)
        return std::nullopt;
    return parsed->first * static_cast<double>(parsed->second);
}

const char* quantityExample(FieldUnit unit)
{
    switch (unit) {
    case FieldUnit::None:
        return "a whole number such as 8";
    case FieldUnit::Tokens:
        return "a number of tokens such as `5000 tokens`";
    case FieldUnit::TokensPerSecond:
        return "a rate such as `1000 tokens/s`";
    case FieldUnit::LoadsPerSecond:
        return "a rate such as `3.5 loads/s`";
    case FieldUnit::Milliseconds:
        return "a duration such as `250ms`, `30s`, `2min` or `1h`";
    }
    return "";
}

} // namespace lacewing
