#pragma once

#include "transport/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace lacewing {

/// Runs the loop until a condition holds. Ends the test case if it does not come about.
inline void runUntil(EventLoop& loop, const std::function<bool()>& condition)
{
    // Far longer than any timeout that a test waits for, and short enough that the name of the test is
    // printed.
    constexpr Duration limit = std::chrono::seconds(90);
    const MonotonicTime end = loop.now() + limit;
    bool holds = false;
    std::function<void()> check = [&] {
        holds = condition();
        if (holds || loop.now() >= end)
            loop.stop();
        else
            loop.runAfter(std::chrono::milliseconds(1), check);
    };
    loop.runAfter(Duration::zero(), check);
    loop.run();
    BOOST_REQUIRE_MESSAGE(holds, "the condition did not come about in time");
}

} // namespace lacewing
