#include "replay/limit_check.h"

#include <algorithm>

namespace lacewing {

LimitCheck::LimitCheck(double rate, Tokens burst)
    : m_rate(rate)
    , m_burst(burst)
{
}

void LimitCheck::charge(Duration earliest, Duration latest, Tokens tokens)
{
    m_charges.push_back({ earliest, latest, tokens });
}

double LimitCheck::excess() const
{
    std::vector<Charge> byEnd = m_charges;
    std::sort(
        byEnd.begin(), byEnd.end(), [](const Charge& a, const Charge& b) { return a.latest < b.latest; });
    double worst = 0;
    // Every interval that matters starts with one charge and ends with another.
    for (const Charge& first : byEnd) {
        Tokens sum;
        for (const Charge& charge : byEnd) {
            if (charge.earliest < first.earliest)
                continue;
            sum += charge.tokens;
            const double allowed
                = m_rate * toSeconds(charge.latest - first.earliest) + static_cast<double>(m_burst.value());
            worst = std::max(worst, static_cast<double>(sum.value()) - allowed);
        }
    }
    return worst;
}

} // namespace lacewing
