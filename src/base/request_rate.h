#pragma once

#include "base/clock.h"

#include <chrono>

namespace lacewing {

/// A number of requests per second.
class RequestRate {
public:
    constexpr explicit RequestRate(double perSecond)
        : m_perSecond(perSecond)
    {
    }

    constexpr double perSecond() const { return m_perSecond; }
    /// @return the time between two requests at this rate, which must not be 0.
    Duration interval() const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_perSecond));
    }

    friend bool operator==(RequestRate a, RequestRate b) { return a.m_perSecond == b.m_perSecond; }
    friend bool operator!=(RequestRate a, RequestRate b) { return !(a == b); }
    friend bool operator<(RequestRate a, RequestRate b) { return a.m_perSecond < b.m_perSecond; }
    friend RequestRate operator*(RequestRate rate, double factor)
    {
        return RequestRate(rate.m_perSecond * factor);
    }

private:
    double m_perSecond;
};

} // namespace lacewing
