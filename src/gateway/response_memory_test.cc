#include "gateway/response_memory.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr size_t kilobyte = 1024;

class CountingHolder : public ResponseMemory::Holder {
public:
    void memoryGranted() override { ++granted; }
    void memoryRevoked() override { ++revoked; }

    int granted = 0;
    int revoked = 0;
};

struct Fixture {
    VirtualScheduler scheduler;
    MemoryAccount account { 100 * kilobyte };
    int shortages = 0;
    ResponseMemory memory { scheduler, account, { [this] { ++shortages; } } };
    CountingHolder first;
    CountingHolder second;
    CountingHolder third;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResponseMemoryTest, Fixture)

// Guards against many large responses that together exceed the memory of the process (LOST).
BOOST_AUTO_TEST_CASE(WhatDoesNotFitWaitsForItsTurn)
{
    BOOST_TEST(memory.reserve(first, 80 * kilobyte));
    BOOST_TEST(!memory.reserve(second, 60 * kilobyte));
    // It would fit, but must not overtake the one that waits.
    BOOST_TEST(!memory.reserve(third, 20 * kilobyte));
    BOOST_TEST(memory.waitingCount() == 2u);
    BOOST_TEST(account.held() == 80 * kilobyte);
    memory.release(first);
    scheduler.advance(1ms);
    BOOST_TEST(second.granted == 1);
    BOOST_TEST(third.granted == 1);
    BOOST_TEST(account.held() == 80 * kilobyte);
    memory.release(second);
    memory.release(third);
    BOOST_TEST(account.held() == 0u);
}

// Guards against small responses that wait behind large ones.
BOOST_AUTO_TEST_CASE(SmallResponsesNeverWait)
{
    memory.reserve(first, 100 * kilobyte);
    BOOST_TEST(!memory.reserve(second, 50 * kilobyte));
    BOOST_TEST(memory.reserve(third, ResponseMemory::smallResponseBytes));
}

// Guards against responses that keep memory without an end, so that no other one is read.
BOOST_AUTO_TEST_CASE(AResponseWithoutProgressIsGivenUpIfOthersWait)
{
    memory.reserve(first, 90 * kilobyte);
    scheduler.advance(10s);
    BOOST_TEST(first.revoked == 0);
    memory.reserve(second, 50 * kilobyte);
    scheduler.advance(500ms);
    BOOST_TEST(first.revoked == 1);
    BOOST_TEST(second.revoked == 0);
    BOOST_TEST(shortages == 1);
    memory.release(first);
    scheduler.advance(1ms);
    BOOST_TEST(second.granted == 1);
}

// Guards against giving up a slow response that does make progress, or one that isn't read because it waits.
BOOST_AUTO_TEST_CASE(AResponseThatGoesOnIsKept)
{
    memory.reserve(first, 90 * kilobyte);
    memory.reserve(second, 30 * kilobyte);
    for (int round = 0; round < 10; ++round) {
        scheduler.advance(500ms);
        memory.reserve(first, 90 * kilobyte);
    }
    BOOST_TEST(first.revoked == 0);
    BOOST_TEST(second.revoked == 0);
}

// Guards against responses of unknown length that all have a part and wait for each other.
BOOST_AUTO_TEST_CASE(IfAllWaitOneIsGivenUp)
{
    memory.reserve(first, 50 * kilobyte);
    memory.reserve(second, 50 * kilobyte);
    BOOST_TEST(!memory.reserve(first, 80 * kilobyte));
    BOOST_TEST(!memory.reserve(second, 80 * kilobyte));
    scheduler.advance(2s);
    BOOST_TEST(first.revoked + second.revoked >= 1);
    memory.release(first.revoked > 0 ? first : second);
    scheduler.advance(1ms);
    BOOST_TEST(first.granted + second.granted == 1);
}

// Guards against a holder that is told of memory after it has gone.
BOOST_AUTO_TEST_CASE(AHolderThatHasGoneIsForgotten)
{
    memory.reserve(first, 100 * kilobyte);
    auto gone = std::make_unique<CountingHolder>();
    BOOST_TEST(!memory.reserve(*gone, 50 * kilobyte));
    memory.release(*gone);
    gone.reset();
    memory.release(first);
    scheduler.advance(5s);
    BOOST_TEST(account.held() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
