#pragma once

#include "fakes/content_hash.h"

#include <cstdint>
#include <random>
#include <string>

namespace lacewing {

/// @return an id that no earlier or other start of a program has.
inline std::string newBootId()
{
    std::random_device device;
    return hexOf((static_cast<uint64_t>(device()) << 32) | device());
}

} // namespace lacewing
