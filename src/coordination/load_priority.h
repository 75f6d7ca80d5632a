#pragma once

#include "state/peer_messages.h"

namespace lacewing {

/// Divides adapter loads between the request classes when the fleet-wide limit on loads is scarce.
///
/// Load pattern: batch and interactive requests that both need loads. Batch leaves a reserve for interactive
/// requests, but gets a bounded share of the loads even if interactive requests exhaust the limit.
class LoadPriority {
public:
    struct Options {
        /// Number of available loads that batch leaves to interactive requests unless it is below its share.
        double reserve = 6;
        /// Minimum share of the loads for batch, in [0, 1).
        double batchShare = 0.1;
    };

    explicit LoadPriority(Options options)
        : m_options(options)
    {
    }

    /// @param available number of loads that the limit allows now.
    /// @return whether a load for a request of the class may start.
    bool mayLoad(RequestClass requestClass, double available) const;

    /// Records that a load was taken from the limit.
    void recordLoad(RequestClass requestClass);

private:
    Options m_options;
    /// Loads that batch may start ahead of interactive requests, in [0, 1].
    double m_batchCredit = 0;
};

} // namespace lacewing
