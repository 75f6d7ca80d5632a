#include "experiment/fleet_shape.h"

#include "gateway/heartbeat_interval.h"

#include <algorithm>

namespace lacewing::experiment {

using std::chrono::milliseconds;
using std::chrono::seconds;

void FleetShape::setHosts(int count)
{
    hosts = count;
    heartbeatInterval = gateway::heartbeatIntervalFor(static_cast<size_t>(count));
}

FleetShape FleetShape::ofEngines(int engines)
{
    FleetShape shape;
    shape.engines = engines;
    shape.setHosts(std::max(3, engines));
    shape.requestsPerSecond = 6.0 * engines;
    shape.adapters = std::clamp(engines * 250, 750, 10'000);
    shape.fullSpeedLoads = std::max(4, engines * 2 / 3);
    shape.classes = {
        { "summary", 0.72, Tokens(2368), 8, milliseconds(800), seconds(4), 1.8, 0.53, 1, Tokens(341),
            Tokens(227) },
        { "background", 0.1, Tokens(2368), 8, seconds(1), seconds(12), 1.8, 0.53, 1, Tokens(341),
            Tokens(227) },
        { "interactive", 0.18, Tokens(1460), 57, milliseconds(800), seconds(15), 2.5, 0.74, 0, Tokens(210),
            Tokens(140) },
    };
    return shape;
}

FleetShape FleetShape::contended(int engines)
{
    FleetShape shape = ofEngines(engines);
    shape.classes = {
        { "urgent", 0.6, Tokens(1900), 12, seconds(1), seconds(6), 2, 1, 0 },
        { "usual", 0.15, Tokens(2300), 20, milliseconds(1500), seconds(8), 1.5, 0.75, 1 },
        { "long", 0.25, Tokens(2300), 60, seconds(2), seconds(15), 1, 0.5, 2 },
    };
    return shape;
}

} // namespace lacewing::experiment
