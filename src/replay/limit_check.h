#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <vector>

namespace lacewing {

/// Checks from the outside that over any interval a workspace receives at most rate x interval + burst
/// tokens. A caller knows only two times between which a charge was made, so a charge counts towards an
/// interval only if both lie in it; the check finds no excess where there is none.
class LimitCheck {
public:
    /// @param rate tokens a second.
    LimitCheck(double rate, Tokens burst);

    /// Adds a charge that was made between two times.
    void charge(Duration earliest, Duration latest, Tokens tokens);

    /// @return by how many tokens the worst interval exceeds the limit; 0 if none does.
    double excess() const;

private:
    struct Charge {
        Duration earliest;
        Duration latest;
        Tokens tokens;
    };

    double m_rate;
    Tokens m_burst;
    std::vector<Charge> m_charges;
};

} // namespace lacewing
