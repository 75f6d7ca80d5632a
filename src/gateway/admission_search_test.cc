#include "gateway/admission_search.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(AdmissionSearchTest)

// Guards against a request that is queued at the first engine while another could start it at once.
BOOST_AUTO_TEST_CASE(OnlyTheLastOwnerMayStartLate)
{
    const MonotonicTime arrival { 10s };
    AdmissionSearch search(arrival, 800ms, 4s);
    RunRequest request;
    search.prepare(request, 9);
    BOOST_TEST((request.latestStart == arrival + 760ms));
    BOOST_TEST((request.onTimeStart == arrival + 760ms));
    while (search.hasAttemptsLeft()) {
        BOOST_TEST((request.latestStart == arrival + 760ms));
        search.prepare(request, 9);
    }
    BOOST_TEST((request.latestStart == arrival + 1760ms));
    search.allowOneMore();
    BOOST_TEST(search.hasAttemptsLeft());
}

// Guards against denying a late start at the only engine although the answer is still useful, and against a
// wait beyond the caller's timeout.
BOOST_AUTO_TEST_CASE(TheOnlyEngineMayStartLateWithinTheLimit)
{
    AdmissionSearch search(MonotonicTime(), 800ms, 1s);
    RunRequest request;
    search.prepare(request, 1);
    BOOST_TEST((request.latestStart == MonotonicTime() + 960ms));
}

// Guards against a caller that returns at another time than the one for which an owner expects it.
BOOST_AUTO_TEST_CASE(PrefersThePromisedRetryDelay)
{
    AdmissionSearch search(MonotonicTime(), 1s, 6s);
    search.denied({ {}, RunRefusal::Overloaded, 400ms, 0ms });
    search.denied({ {}, RunRefusal::Overloaded, 900ms, 0ms, true });
    BOOST_TEST((search.retryAfter() == 900ms));
}

// Guards against a retry delay that is longer than the shortest one suggested, or zero.
BOOST_AUTO_TEST_CASE(SuggestsTheShortestRetryDelay)
{
    AdmissionSearch search(MonotonicTime(), 800ms, 4s);
    BOOST_TEST(!search.retryAfter().has_value());
    search.denied({ {}, RunRefusal::NotOwner, 0ms, 0ms });
    BOOST_TEST(!search.retryAfter().has_value());
    search.denied({ {}, RunRefusal::Overloaded, 900ms, 0ms });
    search.denied({ {}, RunRefusal::Overloaded, 400ms, 0ms });
    BOOST_TEST((search.retryAfter() == 400ms));
    search.denied({ {}, RunRefusal::Overloaded, 5ms, 0ms });
    BOOST_TEST((search.retryAfter() == 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
