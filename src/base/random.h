#pragma once

#include <cstdint>

namespace lacewing {

/// Seeded pseudo-random number generator (SplitMix64, Steele et al. 2014). Equal seeds produce equal
/// sequences on every platform, which the distributions of <random> do not guarantee.
class Random {
public:
    explicit Random(uint64_t seed)
        : m_state(seed)
    {
    }

    /// @return 64 random bits.
    uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    }

    /// @param bound greater than 0.
    /// @return a random integer in [0, bound).
    uint64_t below(uint64_t bound) { return next() % bound; }

    /// @return a random number in [0, 1).
    double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    /// @param probability in [0, 1].
    /// @return true with the given probability.
    bool chance(double probability) { return uniform() < probability; }

private:
    uint64_t m_state;
};

} // namespace lacewing
