#pragma once

#include "base/random.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lacewing {

/// Draws ranks whose probability falls with a power of the rank, as the popularity of adapters does.
class ZipfDistribution {
public:
    /// @param count number of ranks, at least 1.
    ZipfDistribution(int count, double exponent)
    {
        double sum = 0;
        for (int rank = 1; rank <= count; ++rank)
            m_cumulative.push_back(sum += std::pow(rank, -exponent));
    }

    /// @return a rank from 0, the most frequent.
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
