#pragma once

#include <memory>
#include <utility>

namespace lacewing {

/// Protects callbacks against use after free: declared as a member of an object, it wraps the object's
/// callbacks so that they do nothing once the object is destroyed.
class Lifetime {
public:
    Lifetime() = default;
    Lifetime(const Lifetime&) = delete;
    Lifetime& operator=(const Lifetime&) = delete;

    /// @return a callable that forwards to `function` until this object is destroyed.
    template <typename Function> auto guard(Function function) const
    {
        return [token = std::weak_ptr<char>(m_token), function = std::move(function)](auto&&... arguments) {
            if (!token.expired())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<char> m_token = std::make_shared<char>();
};

} // namespace lacewing
