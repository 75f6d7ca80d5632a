#include "coordination/charge_history.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr int64_t unitsPerToken = quotaPartitions * int64_t { 1'000'000'000 };

int64_t capacity(const QuotaLimit& limit)
{
    return limit.burst.value() * unitsPerToken;
}

} // namespace

void ChargeHistory::setLimit(MonotonicTime from, QuotaLimit limit)
{
    if (m_limits.empty())
        m_states.push_back({ from, capacity(limit), 0, 0 });
    m_limits.push_back({ from, limit });
}

size_t ChargeHistory::charge(MonotonicTime time, Tokens tokens)
{
    m_charges.push_back({ time, tokens });
    return m_charges.size() - 1;
}

void ChargeHistory::amend(size_t index, Tokens tokens)
{
    m_charges[index].tokens = tokens;
    m_states.resize(std::min(m_states.size(), index + 1));
}

int64_t ChargeHistory::spareUnits(MonotonicTime now)
{
    replay();
    State state = m_states.back();
    advance(state, now);
    return state.level;
}

Tokens ChargeHistory::spare(MonotonicTime now)
{
    return Tokens(spareUnits(now) / unitsPerToken);
}

Tokens ChargeHistory::excess()
{
    replay();
    return Tokens((-m_states.back().lowest + unitsPerToken - 1) / unitsPerToken);
}

void ChargeHistory::replay()
{
    while (m_states.size() <= m_charges.size()) {
        State state = m_states.back();
        const Charge& charge = m_charges[m_states.size() - 1];
        advance(state, charge.time);
        state.level -= charge.tokens.value() * unitsPerToken;
        state.lowest = std::min(state.lowest, state.level);
        m_states.push_back(state);
    }
}

void ChargeHistory::advance(State& state, MonotonicTime time) const
{
    while (state.time < time) {
        const bool isLast = state.limit + 1 == m_limits.size();
        const MonotonicTime end = isLast ? time : std::min(time, m_limits[state.limit + 1].from);
        const QuotaLimit& limit = m_limits[state.limit].limit;
        const int64_t room = capacity(limit) - state.level;
        const int64_t unitsPerNanosecond = limit.rate.value() * quotaPartitions;
        const int64_t elapsed = (end - state.time).count();
        const bool isFull = unitsPerNanosecond > 0 && elapsed > room / unitsPerNanosecond;
        state.level += isFull ? room : elapsed * unitsPerNanosecond;
        state.time = end;
        if (!isLast && end == m_limits[state.limit + 1].from)
            state.level = std::min(state.level, capacity(m_limits[++state.limit].limit));
    }
}

} // namespace lacewing
