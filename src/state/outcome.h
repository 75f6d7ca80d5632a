#pragma once

namespace lacewing {

/// How a request ended. Every request has exactly one outcome.
enum class Outcome {
    /// The complete response was delivered.
    Answered,
    /// The request was rejected before it ran; retrying it is safe.
    RefusedNotRun,
    /// The request may have run completely or in part; retrying it may run it twice.
    Unknown,
};

/// @return the value of the Lacewing-Outcome header.
constexpr const char* toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::RefusedNotRun:
        return "refused_not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace lacewing
