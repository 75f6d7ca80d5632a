#pragma once

#include "base/clock.h"
#include "base/request_rate.h"

namespace lacewing::gateway {

/// What an upstream of a service takes after its start.
struct ColdStart {
    /// Time for which the upstream is cold after its start.
    Duration duration {};
    /// Requests that a cold upstream takes from all hosts together.
    RequestRate rate { 0 };
};

} // namespace lacewing::gateway
