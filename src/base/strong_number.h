#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

namespace lacewing {

/// A 64-bit number whose type tells its unit.
///
/// @tparam Tag any type; it only makes the unit distinct.
template <typename Tag> class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(int64_t value)
        : m_value(value)
    {
    }

    /// @return the bare number, in the unit of the type.
    constexpr int64_t value() const { return m_value; }

    friend constexpr bool operator==(StrongNumber a, StrongNumber b) { return a.m_value == b.m_value; }
    friend constexpr bool operator!=(StrongNumber a, StrongNumber b) { return a.m_value != b.m_value; }
    friend constexpr bool operator<(StrongNumber a, StrongNumber b) { return a.m_value < b.m_value; }
    friend constexpr bool operator>(StrongNumber a, StrongNumber b) { return a.m_value > b.m_value; }
    friend constexpr bool operator<=(StrongNumber a, StrongNumber b) { return a.m_value <= b.m_value; }
    friend constexpr bool operator>=(StrongNumber a, StrongNumber b) { return a.m_value >= b.m_value; }
    friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b)
    {
        return StrongNumber(a.m_value + b.m_value);
    }
    friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b)
    {
        return StrongNumber(a.m_value - b.m_value);
    }
    StrongNumber& operator+=(StrongNumber other)
    {
        m_value += other.m_value;
        return *this;
    }
    StrongNumber& operator-=(StrongNumber other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend std::ostream& operator<<(std::ostream& out, StrongNumber number) { return out << number.m_value; }

private:
    int64_t m_value = 0;
};

} // namespace lacewing

template <typename Tag> struct std::hash<lacewing::StrongNumber<Tag>> {
    size_t operator()(lacewing::StrongNumber<Tag> number) const
    {
        return std::hash<int64_t>()(number.value());
    }
};
