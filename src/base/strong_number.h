#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

namespace lacewing {

/// Strongly typed 64-bit integer whose type determines its unit or meaning.
///
/// @tparam Tag any type; it only distinguishes the instantiations.
template <typename Tag> class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(int64_t value)
        : m_value(value)
    {
    }

    /// @return the untyped value, in the unit of the type.
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
