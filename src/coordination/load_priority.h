#pragma once

#include "state/peer_messages.h"

namespace lacewing {

/// Divides adapter loads between the classes where the fleet-wide limit on loads is short. Batch leaves a
/// reserve for urgent requests, but gets a bounded share of the loads even if urgent requests use up the
/// limit.
class LoadPriority {
public:
    struct Options {
        /// Loads that batch leaves over beyond its share.
        double reserve = 6;
        /// Share of the loads that batch gets at least, in [0, 1).
        double batchShare = 0.1;
    };

    explicit LoadPriority(Options options)
        : m_options(options)
    {
    }

    /// @param available loads that the limit allows now.
    /// @return whether a load for a request of the class may start.
    bool mayLoad(RequestClass requestClass, double available) const;

    /// Notes that a load was taken from the limit.
    void recordLoad(RequestClass requestClass);

private:
    Options m_options;
    /// Loads that batch may start before urgent requests.
    double m_batchCredit = 0;
};

} // namespace lacewing
