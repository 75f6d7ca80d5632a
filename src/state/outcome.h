#pragma once

namespace lacewing {

/// How a request ended. Exactly one applies to every request.
enum class Outcome {
    /// The whole answer was delivered.
    Answered,
    /// The request was not run; repeating it is safe.
    RefusedNotRun,
    /// The request may have run, wholly or in part.
    Unknown,
};

/// @return the outcome as written in the Lacewing-Outcome header.
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
