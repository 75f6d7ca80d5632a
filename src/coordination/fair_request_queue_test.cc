#include "coordination/fair_request_queue.h"

#include "coordination/fifo_request_queue.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

const AdapterKey resident { AdapterId("resident"), AdapterVersion("1") };
const AdapterKey absent { AdapterId("absent"), AdapterVersion("1") };
constexpr RequestClass interactive = RequestClass::Interactive;
constexpr RequestClass batch = RequestClass::Batch;

bool isResident(const AdapterKey& adapter, RequestClass)
{
    return adapter == resident;
}

int64_t nextId = 1;

QueuedRequest request(const std::string& workspace, RequestClass requestClass, int64_t cost = 100)
{
    return { QueuedRequestId(nextId++), WorkspaceId(workspace), resident, requestClass, Tokens(cost),
        MonotonicTime {}, MonotonicTime(10s) };
}

QueuedRequest waitingRequest(const std::string& workspace, RequestClass requestClass)
{
    QueuedRequest result = request(workspace, requestClass);
    result.adapter = absent;
    return result;
}

/// Pops and settles one request.
///
/// @return the workspace of the request, empty if none may start.
std::string serveOne(RequestQueue& queue, int64_t served = 100)
{
    const auto popped = queue.pop({}, isResident);
    if (!popped)
        return "";
    queue.settle(popped->id, Tokens(served));
    return popped->workspace.value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairRequestQueueTest)

// Guards against starvation of batch requests under constant interactive load, and against batch exceeding
// its share.
BOOST_AUTO_TEST_CASE(BatchAdvancesByItsShareUnderConstantInteractiveLoad)
{
    FairRequestQueue queue { FairRequestQueue::Options {} };
    for (int i = 0; i < 200; ++i)
        queue.push(request("b", batch));
    int batchServed = 0;
    for (int i = 0; i < 1000; ++i) {
        queue.push(request("a", interactive));
        batchServed += serveOne(queue) == "b" ? 1 : 0;
    }
    BOOST_TEST(batchServed >= 95);
    BOOST_TEST(batchServed <= 105);
}

// Guards against batch requests that occupy the whole upstream, so that interactive ones wait for long batch
// requests to end.
BOOST_AUTO_TEST_CASE(BatchLeavesRoomForInteractive)
{
    FairRequestQueue::Options options;
    options.maximumBatchRunning = 2;
    FairRequestQueue queue(options);
    for (int i = 0; i < 3; ++i)
        queue.push(request("b", batch));
    BOOST_TEST(queue.pop({}, isResident).has_value());
    BOOST_TEST(queue.pop({}, isResident).has_value());
    BOOST_TEST(!queue.pop({}, isResident).has_value());
    queue.push(request("a", interactive));
    BOOST_TEST(queue.pop({}, isResident).has_value());
}

// Guards against a workspace that displaces others by sending five times as many requests. The FIFO baseline
// shows that this load pattern causes the problem.
BOOST_AUTO_TEST_CASE(GreedyWorkspaceGetsNoMoreThanOthers)
{
    FairRequestQueue fair { FairRequestQueue::Options {} };
    FifoRequestQueue fifo(10000);
    int fairServed = 0;
    int fifoServed = 0;
    for (int i = 0; i < 400; ++i) {
        for (RequestQueue* queue : { static_cast<RequestQueue*>(&fair), static_cast<RequestQueue*>(&fifo) }) {
            for (int j = 0; j < 5; ++j)
                queue->push(request("greedy", interactive));
            queue->push(request("modest", interactive));
        }
        for (int j = 0; j < 2; ++j) {
            fairServed += serveOne(fair) == "modest" ? 1 : 0;
            fifoServed += serveOne(fifo) == "modest" ? 1 : 0;
        }
    }
    BOOST_TEST(fairServed >= 398);
    BOOST_TEST(fifoServed < 200);
}

// Guards against fairness by the number of requests or their estimated cost instead of the tokens served.
BOOST_AUTO_TEST_CASE(ServedTokensCountInsteadOfTheCost)
{
    FairRequestQueue queue { FairRequestQueue::Options {} };
    int shortServed = 0;
    for (int i = 0; i < 400; ++i) {
        queue.push(request("short", interactive));
        queue.push(request("long", interactive));
        const auto popped = queue.pop({}, isResident);
        const bool isShort = popped->workspace.value() == "short";
        shortServed += isShort ? 1 : 0;
        queue.settle(popped->id, Tokens(isShort ? 10 : 30));
    }
    BOOST_TEST(shortServed >= 295);
    BOOST_TEST(shortServed <= 305);
}

// Guards against a workspace that accumulates credit while idle and then starves the others.
BOOST_AUTO_TEST_CASE(ReturnFromIdleGivesNoCredit)
{
    FairRequestQueue queue { FairRequestQueue::Options {} };
    for (int i = 0; i < 300; ++i)
        queue.push(request("steady", interactive));
    queue.push(request("returning", interactive));
    for (int i = 0; i < 100; ++i)
        serveOne(queue);
    for (int i = 0; i < 100; ++i)
        queue.push(request("returning", interactive));
    int returning = 0;
    for (int i = 0; i < 40; ++i)
        returning += serveOne(queue) == "returning" ? 1 : 0;
    BOOST_TEST(returning >= 19);
    BOOST_TEST(returning <= 21);
}

// Guards against a load that blocks later requests for resident adapters, as in the FIFO baseline.
BOOST_AUTO_TEST_CASE(LoadDoesNotBlockRequestsForResidentAdapters)
{
    FairRequestQueue fair { FairRequestQueue::Options {} };
    FifoRequestQueue fifo(10);
    for (RequestQueue* queue : { static_cast<RequestQueue*>(&fair), static_cast<RequestQueue*>(&fifo) }) {
        queue->push(waitingRequest("a", interactive));
        queue->push(request("a", interactive));
        BOOST_TEST(queue->waitingAdapters(isResident, 10).size() == 1u);
        BOOST_TEST(queue->readyCount(interactive, isResident) == 1u);
    }
    BOOST_TEST(fair.pop({}, isResident).has_value());
    BOOST_TEST(!fifo.pop({}, isResident).has_value());
}

// Guards against batch loads that start before loads for interactive requests.
BOOST_AUTO_TEST_CASE(InteractiveAdaptersAreLoadedFirst)
{
    FairRequestQueue queue { FairRequestQueue::Options {} };
    queue.push(waitingRequest("b", batch));
    QueuedRequest urgent = request("a", interactive);
    urgent.adapter = { AdapterId("urgent"), AdapterVersion("1") };
    queue.push(urgent);
    const auto waiting = queue.waitingAdapters(isResident, 10);
    BOOST_REQUIRE(waiting.size() == 2u);
    BOOST_TEST((waiting.front().adapter == urgent.adapter));
}

// Guards against requests that start after their deadline, and against keeping requests that cannot meet it.
BOOST_AUTO_TEST_CASE(RequestsExpireWhenTheirDeadlineCannotBeMet)
{
    FairRequestQueue queue { FairRequestQueue::Options {} };
    queue.push(request("a", interactive));
    queue.push(waitingRequest("a", batch));
    const auto wait
        = [](const AdapterKey& adapter) { return adapter == absent ? Duration(3s) : Duration(0s); };
    BOOST_TEST(queue.expire(MonotonicTime(7s), wait).empty());
    const auto first = queue.expire(MonotonicTime(8s), wait);
    BOOST_REQUIRE(first.size() == 1u);
    BOOST_TEST((first.front().adapter == absent));
    BOOST_TEST(queue.expire(MonotonicTime(10s), wait).empty());
    BOOST_TEST(queue.expire(MonotonicTime(11s), wait).size() == 1u);
    BOOST_TEST(queue.size() == 0u);
}

// Guards against a full class that accepts requests or blocks the other class.
BOOST_AUTO_TEST_CASE(CapacityIsPerClass)
{
    FairRequestQueue::Options options;
    options.capacityPerClass = 1;
    FairRequestQueue queue(options);
    const QueuedRequest first = request("a", batch);
    BOOST_TEST(queue.push(first));
    BOOST_TEST(!queue.push(request("a", batch)));
    BOOST_TEST(queue.push(request("a", interactive)));
    BOOST_TEST(queue.erase(first.id));
    BOOST_TEST(!queue.erase(first.id));
    BOOST_TEST(queue.push(request("a", batch)));
}

BOOST_AUTO_TEST_SUITE_END()
