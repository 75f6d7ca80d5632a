#pragma once

#include "experiment/fleet_shape.h"
#include "gateway/run_request.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lacewing::experiment {

/// A shape of load or a fault under which placement and queueing are judged.
enum class LoadPattern {
    Steady,
    /// Arrivals in waves, several requests at a time.
    ClumpedWaves,
    /// All callers send much more for some seconds.
    BurstOfAll,
    /// One class does.
    BurstOfOneClass,
    /// One workspace, and with it the adapters that it prefers, does.
    HotWorkspace,
    /// Callers come back at once after a refusal, several times.
    ImmediateRepeats,
    /// The popular adapters fall silent and others take their place.
    PopularityShift,
    /// Many requests for adapters that no engine has a copy of.
    RareAdapters,
    /// A quarter of the engines loses everything and comes back some seconds later.
    EngineCrashes,
    /// Adapters load four times more slowly.
    SlowWeightStore,
    /// A quarter of the hosts, owners of engines, is killed.
    OwnersKilled,
    /// A quarter of the engines states a limit of requests a second, changes it and drops it.
    LimitedEngines,
    /// Engines differ for good, and are slowed by other workloads for some hundred milliseconds at a time.
    UnevenEngines,
    /// The last class sends 2.4 times its usual, one workspace five times, and a quarter of the engines is
    /// lost.
    Contention,
};

/// All patterns but Contention, which has a fleet of its own (FleetShape::contended()), in the order of the
/// report.
const std::vector<LoadPattern>& allLoadPatterns();
/// @return the pattern's name in kebab-case.
const char* toString(LoadPattern pattern);
/// @return nothing if no pattern has the name.
std::optional<LoadPattern> loadPatternNamed(std::string_view name);

/// One request as its caller sends it first.
struct Arrival {
    Duration at {};
    /// Index in FleetShape::classes.
    size_t requestClass = 0;
    int adapter = 0;
    int workspace = 0;
    int host = 0;
    Tokens prompt;
    /// The parts of the prompt; empty unless FleetShape::secondVariants is set.
    std::vector<gateway::PromptPart> parts;
};

/// When the pattern's load or fault begins and how long it lasts.
constexpr Duration patternStart = std::chrono::seconds(8);
constexpr Duration patternLength = std::chrono::seconds(5);
constexpr Duration loadLength = std::chrono::seconds(20);
/// One in so many engines or hosts fails, the first one included.
constexpr int failingPart = 4;
/// Speeds of uneven engines in multiples of the mean, given out in turn.
constexpr double unevenSpeeds[] = { 1.7, 0.7, 0.7, 0.9 };
/// Factor by which an uneven engine is slowed, the share of its time, and the mean length of a stretch.
constexpr double stretchSlowdown = 2.5;
constexpr double stretchShare = 0.15;
constexpr Duration stretchLength = std::chrono::milliseconds(600);
/// How long an engine that has crashed is away.
/// Limits in requests a second that engines state, one after the other.
constexpr double firstLimit = 1;
constexpr double secondLimit = 2.5;
/// How long engines state each limit.
constexpr Duration limitLength = std::chrono::seconds(4);
constexpr Duration engineOutage = std::chrono::seconds(4);

/// @return the requests of a run in order of time; the same seed gives the same requests.
std::vector<Arrival> generateArrivals(const FleetShape& shape, LoadPattern pattern, uint64_t seed);

} // namespace lacewing::experiment
