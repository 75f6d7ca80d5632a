#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <string>
#include <vector>

namespace lacewing {

/// How a replayed request ended, as the caller sees it.
enum class RequestEnding {
    /// Whole and correct.
    Answered,
    /// Claimed to be whole, but is not the right answer to this request.
    Wrong,
    RefusedNotRun,
    Unknown,
    /// The caller left, as the trace says; what it had received was right.
    Cancelled,
};

struct RequestResult {
    RequestEnding ending = RequestEnding::Unknown;
    /// Refusal code, or the error of the connection.
    std::string code;
    /// What is wrong with the answer.
    std::string fault;
    /// Times since the start of the replay. The charge was made between the first two.
    Duration sentAt {};
    Duration firstTokenAt {};
    Duration endedAt {};
    bool hasFirstToken = false;
    /// Times between successive tokens of a stream.
    std::vector<Duration> gaps;
    /// Tokens that the caller knows to have been served.
    Tokens served;
    /// Body of a service's answer.
    std::string body;
    /// Hosts that could not be connected to before one took the request.
    int connectFailures = 0;
};

} // namespace lacewing
