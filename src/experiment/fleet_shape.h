#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/overload_policy.h"

#include <string>
#include <vector>

namespace lacewing::experiment {

/// A kind of request of the simulated callers.
struct RequestClass {
    std::string name;
    /// Share of all requests, 0 to 1.
    double share = 0;
    /// Mean prompt length.
    Tokens prompt;
    /// Events of the answer.
    int events = 1;
    /// Time to the first event within which the answer is on time.
    Duration targetLatency {};
    /// After this time the caller leaves.
    Duration timeout {};
    /// Value of an answer on time, and of a late one.
    double worth = 1;
    double lateWorth = 0;
    /// Rank; 0 is the most urgent.
    int priority = 0;
    /// The first two parts of the prompt, which requests share; the rest is the request's own.
    Tokens firstPart {};
    Tokens secondPart {};
};

/// What a simulated fleet consists of. Rates are for the whole fleet.
struct FleetShape {
    int hosts = 3;
    /// Hosts and engines are spread over them evenly.
    int dataCentres = 3;
    int engines = 3;
    int adapterPlaces = 6;
    int batchSlots = 64;
    Tokens cacheTokens = Tokens(150'000);
    /// Adapters that an engine keeps a copy of after they were unloaded.
    int warmCopies = 30;
    double promptTokensPerMillisecond = 25.8;
    /// Time of a decoding step, and what each running request adds.
    Duration stepTime = std::chrono::microseconds(8200);
    Duration stepTimePerRequest = std::chrono::microseconds(18);
    int tokensPerEvent = 3;
    Duration coldLoadTime = std::chrono::milliseconds(250);
    Duration warmLoadTime = std::chrono::milliseconds(25);
    /// Loads from the weight store at a time beyond which all of them slow down in proportion.
    int fullSpeedLoads = 8;
    int adapters = 1000;
    /// Exponent of the popularity of adapters.
    double zipfExponent = 1.2;
    int workspaces = 8;
    double requestsPerSecond = 20;
    /// One way between two hosts, or a host and an engine.
    Duration linkDelay = std::chrono::milliseconds(1);
    /// Time between two heartbeats of a host.
    Duration heartbeatInterval = std::chrono::milliseconds(200);
    std::vector<RequestClass> classes;
    /// Variants of the first part of a class's prompts.
    int firstVariants = 3;
    /// Variants of the second part after each first part; 0 if prompts share nothing.
    int secondVariants = 0;
    gateway::OverloadPolicy overloadPolicy = gateway::OverloadPolicy::Arrival;

    /// Sets the number of hosts, and the interval of their heartbeats with it.
    void setHosts(int count);
    /// @return a fleet with so many engines under a load that keeps about half of them reading prompts.
    static FleetShape ofEngines(int engines);
    /// @return the same with three classes of different urgency, the least urgent one last.
    static FleetShape contended(int engines);
};

} // namespace lacewing::experiment
