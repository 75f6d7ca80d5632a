#include "fakes/engine_batch.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

/// What one request received.
struct Received {
    std::vector<std::string> tokens;
    std::vector<int64_t> tokenTimes;
    std::optional<GenerationEnd> end;
    uint64_t number = 0;

    std::string text() const
    {
        std::string text;
        for (const std::string& token : tokens)
            text += token;
        return text;
    }
};

GenerationRequest request(
    const std::string& identity, int64_t maximumTokens, const std::string& prompt = "hello")
{
    GenerationRequest made;
    made.name = identity + "#1";
    made.identity = identity;
    made.prompt = prompt;
    made.promptTokens = static_cast<int64_t>((prompt.size() + 3) / 4);
    made.maximumTokens = maximumTokens;
    return made;
}

struct Fixture {
    /// @param received must outlive the request.
    bool submit(const GenerationRequest& request, Received& received)
    {
        const auto number = batch().submit(request,
            { [&](int64_t, const std::string& text) {
                 received.tokens.push_back(text);
                 received.tokenTimes.push_back(toMilliseconds(scheduler.now().time_since_epoch()));
             },
                [&](const GenerationEnd& end) { received.end = end; } });
        received.number = number.value_or(0);
        return number.has_value();
    }

    void runAll()
    {
        while (scheduler.runNext()) { }
    }

    /// Made on first use, so that a test can set the options before.
    EngineBatch& batch()
    {
        if (!m_batch)
            m_batch.emplace(scheduler, options, faults, metrics);
        return *m_batch;
    }

    VirtualScheduler scheduler;
    EngineOptions options;
    EngineFaults faults;
    MetricsRegistry metrics;
    std::optional<EngineBatch> m_batch;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineBatchTest, Fixture)

// Guards against a step time that does not grow with the batch and its distinct adapters.
BOOST_AUTO_TEST_CASE(StepTimeFollowsTheBatch)
{
    const auto lastStep = [&](std::vector<std::string> identities) {
        std::vector<Received> all(identities.size());
        for (size_t i = 0; i < all.size(); ++i)
            submit(request(identities[i], 1000), all[i]);
        // The first steps also process the prompts.
        while (all.back().tokens.size() < 3)
            scheduler.runNext();
        const Duration before = scheduler.now().time_since_epoch();
        while (all.back().tokens.size() < 4)
            scheduler.runNext();
        const Duration step = scheduler.now().time_since_epoch() - before;
        for (const Received& received : all)
            batch().cancel(received.number);
        runAll();
        return step;
    };
    BOOST_TEST((lastStep({ "a@1" }) == 30ms));
    BOOST_TEST((lastStep({ "a@1", "a@1" }) == 30200us));
    BOOST_TEST((lastStep({ "a@1", "b@1" }) == 30800us));
    options.timeScale = 10;
    BOOST_TEST((lastStep({ "a@1" }) == 3ms));
    faults.slowFactor = 5;
    BOOST_TEST((lastStep({ "a@1" }) == 15ms));
}

// Guards against an answer that depends on anything but adapter, version and prompt, and a resumed answer
// that does not continue it.
BOOST_AUTO_TEST_CASE(ResumedAnswerContinuesTheFirst)
{
    Received whole;
    Received other;
    Received version;
    Received resumed;
    Received atEnd;
    GenerationRequest made = request("a@1", 40);
    submit(made, whole);
    runAll();
    const auto length = static_cast<int64_t>(whole.tokens.size());
    BOOST_REQUIRE(length > 2);
    submit(request("a@2", 40), version);
    made.name = "a@1#9";
    made.resumeFrom = 2;
    submit(made, resumed);
    made.resumeFrom = length;
    submit(made, atEnd);
    made.resumeFrom = length + 1;
    BOOST_TEST(!submit(made, other));
    BOOST_TEST(batch().lastError().code == "invalid_request");
    runAll();
    BOOST_TEST(whole.tokens[0] == "a@1 ");
    BOOST_TEST(whole.tokens[0] + whole.tokens[1] + resumed.text() == whole.text());
    BOOST_TEST(resumed.end->completionTokens == length);
    BOOST_TEST(atEnd.tokens.empty());
    BOOST_TEST(atEnd.end->completionTokens == length);
    BOOST_TEST(version.tokens[1] != whole.tokens[1]);
}

// Guards against an interactive request that waits behind batch requests for a place in the batch.
BOOST_AUTO_TEST_CASE(InteractiveRequestsAreAdmittedFirst)
{
    options.maximumBatch = 1;
    GenerationRequest low = request("a@1", 2);
    low.isInteractive = false;
    Received running;
    Received waiting;
    Received urgent;
    submit(low, running);
    scheduler.advance(1ms);
    submit(low, waiting);
    submit(request("a@1", 2), urgent);
    runAll();
    BOOST_TEST(running.tokenTimes[0] < urgent.tokenTimes[0]);
    BOOST_TEST(urgent.tokenTimes[0] < waiting.tokenTimes[0]);
}

// Guards against a queue without bound.
BOOST_AUTO_TEST_CASE(QueueIsLimited)
{
    options.queueLimit = 2;
    Received received[3];
    BOOST_TEST(submit(request("a@1", 2), received[0]));
    BOOST_TEST(submit(request("a@1", 2), received[1]));
    BOOST_TEST(!submit(request("a@1", 2), received[2]));
    BOOST_TEST(batch().lastError().status == 429);
    runAll();
    BOOST_TEST(submit(request("a@1", 2), received[2]));
}

// Guards against a cached prefix that costs as much as a new one, and a prefix of another adapter that does
// not.
BOOST_AUTO_TEST_CASE(CachedPrefixSavesPrefill)
{
    const std::string prompt(4000, 'x');
    const auto firstToken = [&](const std::string& identity) {
        Received received;
        const Duration before = scheduler.now().time_since_epoch();
        submit(request(identity, 1, prompt), received);
        runAll();
        return received.tokenTimes[0] - toMilliseconds(before);
    };
    BOOST_TEST(firstToken("a@1") == 160); // Two steps and 1,000 tokens.
    BOOST_TEST(firstToken("a@1") == 30); // One step and the 8 tokens after the last whole block: 30.8 ms.
    BOOST_TEST(firstToken("b@1") == 160);
}

// Guards against an eviction that is not counted, or that leaves its requests running or unanswered.
BOOST_AUTO_TEST_CASE(EvictionFailsRequestsAndIsCounted)
{
    options.maximumBatch = 2;
    Received evicted;
    Received spared;
    Received waiting;
    submit(request("a@1", 1000), evicted);
    submit(request("b@1", 5), spared);
    submit(request("a@1", 1000), waiting);
    scheduler.advance(100ms);
    batch().evict("c@1#1");
    BOOST_TEST(metrics.counter("evicted_while_running") == 0);
    batch().evict("a@1#1");
    BOOST_TEST(metrics.counter("evicted_while_running") == 1);
    runAll();
    BOOST_TEST(evicted.end->error->code == "adapter_evicted");
    BOOST_TEST(waiting.end->error->code == "adapter_not_resident");
    BOOST_TEST(waiting.tokens.empty());
    BOOST_TEST(!spared.end->error.has_value());
}

// Guards against a cancelled request that goes on to use the accelerator or to call back.
BOOST_AUTO_TEST_CASE(CancelledRequestStops)
{
    Received cancelled;
    submit(request("a@1", 100'000), cancelled);
    scheduler.advance(100ms);
    const size_t tokens = cancelled.tokens.size();
    batch().cancel(cancelled.number);
    runAll();
    BOOST_TEST(cancelled.tokens.size() == tokens);
    BOOST_TEST(!cancelled.end.has_value());
    BOOST_TEST(metrics.counter("tokens_generated") == static_cast<int64_t>(tokens));
}

// Guards against load reports that are current, which would hide faults of balancing on old reports.
BOOST_AUTO_TEST_CASE(LoadReportsLag)
{
    Received received;
    submit(request("a@1", 100'000), received);
    scheduler.advance(499ms);
    BOOST_TEST(batch().reportedLoad().running == 0);
    scheduler.advance(2ms);
    BOOST_TEST(batch().reportedLoad().running == 1);
    batch().cancel(received.number);
    BOOST_TEST(batch().reportedLoad().running == 1);
    scheduler.advance(501ms);
    BOOST_TEST(batch().reportedLoad().running == 0);
}

// Guards against an adapter swap that costs running requests nothing, or is not counted.
BOOST_AUTO_TEST_CASE(LoadsStallTheBatch)
{
    Received received;
    submit(request("a@1", 1000), received);
    while (received.tokens.size() < 3)
        scheduler.runNext();
    batch().addLoadStall();
    while (received.tokens.size() < 6)
        scheduler.runNext();
    // The running step is not prolonged, only the next one.
    BOOST_TEST(received.tokenTimes[3] - received.tokenTimes[2] == 30);
    BOOST_TEST(received.tokenTimes[4] - received.tokenTimes[3] == 35);
    BOOST_TEST(received.tokenTimes[5] - received.tokenTimes[4] == 30);
    BOOST_TEST(metrics.gauge("stall_seconds") == 0.005, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
