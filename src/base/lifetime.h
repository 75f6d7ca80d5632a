#pragma once

#include <memory>
#include <utility>

namespace lacewing {

/// Member of an object that hands out callbacks: a guarded callback does nothing once the object is gone.
class Lifetime {
public:
    Lifetime() = default;
    Lifetime(const Lifetime&) = delete;
    Lifetime& operator=(const Lifetime&) = delete;

    /// @return a callable that forwards to the given one while this object lives.
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
