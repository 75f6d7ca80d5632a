#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace lacewing {

/// What a stand-in engine is and how fast it works.
struct EngineOptions {
    std::string baseModel = "base";
    /// New at each start.
    std::string bootId;
    int64_t slots = 8;
    size_t maximumBatch = 32;
    /// Requests that may wait for a place in the batch.
    size_t queueLimit = 256;
    /// Duration of a decoding step without any sequence.
    Duration baseStep = std::chrono::microseconds(29'200);
    Duration stepPerSequence = std::chrono::microseconds(200);
    /// For each distinct adapter in the batch.
    Duration stepPerAdapter = std::chrono::microseconds(600);
    Duration prefillPerToken = std::chrono::microseconds(100);
    /// Prompt tokens that one step processes at most, over all sequences.
    int64_t prefillTokensPerStep = 512;
    /// Added to the next step by each adapter that has become resident.
    Duration loadStall = std::chrono::milliseconds(5);
    /// Divides the durations above, to run faster than a real engine.
    double timeScale = 1;
    int64_t cacheTokens = 65'536;
    Duration cacheEventLag = std::chrono::seconds(2);
    double cacheEventGaps = 0.02;
    Duration reportLag = std::chrono::milliseconds(500);
    /// Orders with a number below the highest one seen are refused.
    bool checkFencing = true;
    uint64_t seed = 1;
};

/// Faults that can be set while the engine runs.
struct EngineFaults {
    double slowFactor = 1;
    double loadFailures = 0;
    bool notReady = false;
    /// Streams are cut after this many tokens; 0 for never.
    double dropAfterTokens = 0;
};

/// A refusal or failure, as the protocol reports it.
struct EngineError {
    int status = 500;
    std::string code;
    std::string message;
};

} // namespace lacewing
