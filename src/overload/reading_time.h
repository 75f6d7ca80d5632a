#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace lacewing::overload {

/// @param tokensPerMillisecond must not be 0.
/// @return the time that an engine takes to read so many prompt tokens.
inline Duration readingTime(Tokens tokens, double tokensPerMillisecond)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        static_cast<double>(tokens.value()) / tokensPerMillisecond));
}

} // namespace lacewing::overload
