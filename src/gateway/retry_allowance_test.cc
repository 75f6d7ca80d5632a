#include "gateway/retry_allowance.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RetryAllowanceTest)

// Load: a service fails all requests on all hosts. Guards against retries beyond the fleet's budget.
BOOST_AUTO_TEST_CASE(StaysWithinTheFleetsBudget)
{
    const RetryLimits limits { 0.2, 54, 10s };
    constexpr size_t hosts = 7;
    const ServiceId service("ledger");
    const MonotonicTime now(100s);
    int retries = 0;
    for (size_t host = 0; host < hosts; ++host) {
        RetryAllowance allowance(limits);
        allowance.setHostCount(hosts);
        for (int request = 0; request < 100; ++request)
            allowance.countRequest(service, now);
        while (allowance.tryRetry(service, now))
            ++retries;
    }
    BOOST_TEST(retries <= 0.2 * 100 * hosts + 54);
    BOOST_TEST(retries > 0);
}

// Guards against retries that never leave the sliding window, which would use up the budget for good.
BOOST_AUTO_TEST_CASE(DropsRetriesOlderThanTheWindow)
{
    RetryAllowance allowance({ 0.2, 10, 10s });
    const ServiceId service("ledger");
    while (allowance.tryRetry(service, MonotonicTime(100s))) { }
    BOOST_TEST(!allowance.tryRetry(service, MonotonicTime(109s)));
    BOOST_TEST(allowance.tryRetry(service, MonotonicTime(111s)));
}

BOOST_AUTO_TEST_SUITE_END()
