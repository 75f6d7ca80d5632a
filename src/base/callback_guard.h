#pragma once

#include <memory>
#include <utility>

namespace lacewing {

/// Member of an object whose callbacks may arrive after its end. Wrapped callbacks do nothing then.
class CallbackGuard {
public:
    CallbackGuard() = default;
    CallbackGuard(const CallbackGuard&) = delete;
    CallbackGuard& operator=(const CallbackGuard&) = delete;

    /// @return a callable that forwards to the callback while this guard lives.
    template <typename Callback> auto wrap(Callback callback) const
    {
        return [alive = std::weak_ptr<char>(m_alive), callback = std::move(callback)](auto&&... arguments) {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace lacewing
