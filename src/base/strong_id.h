#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lacewing {

/// Strongly typed string identifier: the compiler rejects, for example, a workspace id in place of an adapter
/// id.
///
/// @tparam Tag any type; it only distinguishes the instantiations.
template <typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    /// @return the identifier as text.
    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const StrongId& a, const StrongId& b) { return a.m_value == b.m_value; }
    friend bool operator!=(const StrongId& a, const StrongId& b) { return a.m_value != b.m_value; }
    friend bool operator<(const StrongId& a, const StrongId& b) { return a.m_value < b.m_value; }
    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.m_value; }

private:
    std::string m_value;
};

} // namespace lacewing

template <typename Tag> struct std::hash<lacewing::StrongId<Tag>> {
    size_t operator()(const lacewing::StrongId<Tag>& id) const
    {
        return std::hash<std::string>()(id.value());
    }
};
