#include "coordination/quota_bucket.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

MonotonicTime at(Duration time)
{
    return MonotonicTime(time);
}

/// A bucket of the whole fleet: 100 tokens a second, 1,000 at once, full at 10 s.
QuotaBucket makeBucket()
{
    QuotaBucket bucket({ QuotaKind::Rate, Tokens(100), Tokens(1000) }, at(0s));
    bucket.setPartitions(quotaPartitions, at(0s));
    return bucket;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaBucketTest)

// Guards against a bucket that refills over granted amounts while they can still be charged.
BOOST_AUTO_TEST_CASE(OutstandingAmountsCountAgainstTheCapacity)
{
    QuotaBucket bucket = makeBucket();
    BOOST_TEST(bucket.take(Tokens(600), at(10s)) == Tokens(600));
    BOOST_TEST(bucket.level(at(100s)) == Tokens(400));
    bucket.spend(Tokens(600), at(100s));
    BOOST_TEST(bucket.level(at(101s)) == Tokens(500));
}

// Guards against a decrease that leaves more than the new capacity, also when amounts come back later.
BOOST_AUTO_TEST_CASE(DecreaseLeavesNoMoreThanTheNewCapacity)
{
    QuotaBucket bucket = makeBucket();
    bucket.take(Tokens(700), at(10s));
    bucket.setLimit({ QuotaKind::Rate, Tokens(100), Tokens(500) }, at(10s));
    BOOST_TEST(bucket.level(at(20s)) == Tokens(0));
    bucket.giveBack(Tokens(700), at(20s));
    BOOST_TEST(bucket.level(at(20s)) == Tokens(500));
    bucket.setPartitions(quotaPartitions / 2, at(20s));
    BOOST_TEST(bucket.level(at(30s)) == Tokens(250));
}

// Guards against a refund that brings back refill which the bucket would have discarded if the amount had
// never been charged: 1,000 charged and 500 more at 5 s may not be followed by another 1,000.
BOOST_AUTO_TEST_CASE(RefundBringsBackNoDiscardedRefill)
{
    QuotaBucket bucket = makeBucket();
    bucket.take(Tokens(1000), at(10s));
    const auto mark = bucket.spend(Tokens(1000), at(10s));
    bucket.take(Tokens(500), at(15s));
    bucket.spend(Tokens(500), at(15s));
    bucket.refund(Tokens(1000), mark, at(15s));
    BOOST_TEST(bucket.level(at(15s)) == Tokens(500));
}

// Guards against refunds that are lost although the bucket was never near its capacity since the charge.
BOOST_AUTO_TEST_CASE(RefundsAreKeptThroughManyCharges)
{
    QuotaBucket bucket = makeBucket();
    std::vector<HeadroomHistory::Mark> marks;
    for (int charge = 0; charge < 100; ++charge) {
        bucket.take(Tokens(10), at(10s));
        marks.push_back(bucket.spend(Tokens(10), at(10s)));
    }
    for (HeadroomHistory::Mark mark : marks)
        bucket.refund(Tokens(5), mark, at(10s));
    BOOST_TEST(bucket.level(at(10s)) >= Tokens(450));
    BOOST_TEST(bucket.level(at(10s)) <= Tokens(500));
}

BOOST_AUTO_TEST_SUITE_END()
