#pragma once

#include "base/random.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lacewing {

/// ZipfDistribution distribution: the probability of a rank decreases with a power of the rank. Models the
/// popularity of adapters.
class ZipfDistribution {
public:
    /// @param count number of ranks, at least 1.
    /// @param exponent exponent of the power law.
    ZipfDistribution(int count, double exponent)
    {
        double sum = 0;
        for (int rank = 1; rank <= count; ++rank)
            m_cumulative.push_back(sum += std::pow(rank, -exponent));
    }

    /// @return a random rank; 0 is the most frequent.
    size_t draw(Random& random) const
    {
        const auto position = std::upper_bound(
            m_cumulative.begin(), m_cumulative.end(), random.uniform() * m_cumulative.back());
        return std::min(static_cast<size_t>(position - m_cumulative.begin()), m_cumulative.size() - 1);
    }

private:
    std::vector<double> m_cumulative;
};

} // namespace lacewing
