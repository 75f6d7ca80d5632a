#include "daemon/entry_request.h"

#include "base/digest.h"
#include "base/virtual_scheduler.h"
#include "daemon/fake_exchange_test.h"
#include "state/refusal.h"
#include "state/simulated_table.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

/// Records the messages that an entry sends to owners.
class RecordingMessenger : public PeerMessenger {
public:
    bool send(const HostId& peer, const PeerMessage& message) override
    {
        if (const auto* run = std::get_if<RunRequest>(&message))
            runs.push_back({ peer, *run });
        if (std::holds_alternative<RunCancel>(message))
            ++cancels;
        return true;
    }

    std::vector<std::pair<HostId, RunRequest>> runs;
    int cancels = 0;
};

Configuration makeConfiguration()
{
    Configuration configuration;
    configuration.workspaces[WorkspaceId("w")] = { WorkspaceId("w"), Tokens(1000), Tokens(6400) };
    for (const char* id : { "e1", "e2", "e3" }) {
        UpstreamConfig engine;
        engine.id = UpstreamId(id);
        engine.baseModel = ModelId("m");
        engine.maximumConcurrency = 8;
        configuration.upstreams[engine.id] = engine;
        engine.id = UpstreamId(std::string("s") + id);
        engine.kind = UpstreamKind::PlainService;
        engine.baseModel = ModelId();
        engine.service = "desk";
        configuration.upstreams[engine.id] = engine;
    }
    return configuration;
}

struct Fixture {
    Fixture()
    {
        const Configuration configuration = makeConfiguration();
        holder.setLimits(quotaLimits(configuration));
        quotaClient.setLimits(quotaLimits(configuration));
        std::set<int> partitions;
        for (int partition = 0; partition < quotaPartitions; ++partition)
            partitions.insert(partition);
        holder.setPartitions(partitions, scheduler.now());
        claims.setIncarnation(Incarnation(1));
        router.setConfiguration(configuration);
        router.reported(HostId("o1"), { { report("e1"), report("se1") } });
        router.reported(HostId("o2"), { { report("e2"), report("e3"), report("se2"), report("se3") } });
        scheduler.advance(10s);
    }

    static UpstreamReport report(const char* upstream)
    {
        UpstreamReport report;
        report.upstream = UpstreamId(upstream);
        report.fencingNumber = FencingNumber(1);
        return report;
    }

    /// Starts a streamed completion, or a call to a plain service.
    EntryRequest& start(bool isCompletion, bool isRepeatable, RequestId id = RequestId("r1"))
    {
        AdmittedRequest request;
        request.workspace = WorkspaceId("w");
        request.route.repeatable = isRepeatable;
        request.route.startDeadlineMs = 5000;
        request.cost = Tokens(100);
        if (isCompletion) {
            request.completion = CompletionRequest();
            request.completion->streaming = true;
            request.completion->engineBody = "{}";
            request.completion->promptTokens = Tokens(10);
            request.adapter = { AdapterId("a"), AdapterVersion("1") };
            request.baseModel = ModelId("m");
        } else {
            request.service = ServiceCall { "desk", "POST", "/book", "text/plain", "x" };
            request.requestId = std::move(id);
        }
        EntryContext context { scheduler, messenger, metrics, quotaClient, router, budget, claims,
            [this] { return StreamId(++lastStream); }, [](StreamId) {} };
        entry = std::make_unique<EntryRequest>(
            std::move(context), exchange, std::move(request), "id", [this] { ++finished; });
        entry->start();
        scheduler.advance(100ms);
        return *entry;
    }

    RunChunk chunk(int64_t firstToken, const std::string& text) const
    {
        return { messenger.runs.back().second.stream, firstToken, 1, text };
    }
    RunEnd end(Outcome outcome, std::string_view code) const
    {
        RunEnd end;
        end.stream = messenger.runs.back().second.stream;
        end.outcome = outcome;
        end.code = code;
        end.status = 503;
        return end;
    }
    HostId owner() const { return messenger.runs.back().first; }

    VirtualScheduler scheduler;
    MetricsRegistry metrics;
    RecordingMessenger messenger;
    PartitionHolder holder { scheduler, [] { return true; } };
    QuotaClient quotaClient { scheduler, messenger, holder, HostId("self"), Incarnation(1) };
    UpstreamRouter router { scheduler, DataCentreId("dc"), [](const UpstreamId&) { return std::nullopt; },
        1 };
    RetryBudget budget { scheduler };
    SimulatedTable table { scheduler, 1 };
    std::unique_ptr<TableService> tableClient = table.client(HostId("self"));
    ClaimRegistry claims { scheduler, *tableClient, HostId("self"), Incarnation(1),
        [](const HostId&, Incarnation) { return true; } };
    std::shared_ptr<FakeExchange> exchange = std::make_shared<FakeExchange>("POST", "/", HttpHeaders(), "");
    int64_t lastStream = 0;
    int finished = 0;
    std::unique_ptr<EntryRequest> entry;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryRequestTest, Fixture)

// Guards against missing or duplicate tokens when a stream is resumed on another upstream, and against late
// chunks of the first attempt in the response.
BOOST_AUTO_TEST_CASE(LostStreamResumesAtTheNextToken)
{
    start(true, true);
    const RunChunk late = chunk(1, "LATE");
    entry->received(owner(), chunk(0, "a"));
    const UpstreamId first = messenger.runs.back().second.upstream;
    entry->ownerLost(owner());
    scheduler.advance(1s);
    BOOST_REQUIRE(messenger.runs.size() == 2u);
    BOOST_TEST(messenger.runs.back().second.resumeFrom == 1);
    BOOST_TEST(messenger.runs.back().second.upstream != first);
    entry->received(owner(), late);
    entry->received(owner(), chunk(1, "b"));
    RunEnd done = end(Outcome::Answered, "");
    done.generatedTokens = 2;
    done.promptTokens = 10;
    entry->received(owner(), done);
    BOOST_TEST(finished == 1);
    BOOST_TEST(exchange->responseBody.find("LATE") == std::string::npos);
    BOOST_TEST(exchange->responseBody.find("\"text\":\"b\"") != std::string::npos);
    BOOST_TEST(exchange->responseBody.find("[DONE]") != std::string::npos);
}

// Guards against relaying a response with missing tokens as if it were complete.
BOOST_AUTO_TEST_CASE(GapInTheAnswerStartsANewAttempt)
{
    start(true, true);
    entry->received(owner(), chunk(0, "a"));
    entry->received(owner(), chunk(2, "c"));
    scheduler.advance(1s);
    BOOST_TEST(messenger.cancels == 1);
    BOOST_REQUIRE(messenger.runs.size() == 2u);
    BOOST_TEST(messenger.runs.back().second.resumeFrom == 1);
}

// Guards against running a non-repeatable call twice after its connection was lost.
BOOST_AUTO_TEST_CASE(NonRepeatableCallIsNotSentAgainAfterALoss)
{
    start(false, false);
    BOOST_REQUIRE(messenger.runs.size() == 1u);
    entry->ownerLost(owner());
    scheduler.advance(10s);
    BOOST_TEST(messenger.runs.size() == 1u);
    BOOST_TEST(exchange->responseStatus == 502);
    BOOST_TEST(*exchange->responseHeaders.find("Lacewing-Outcome") == "unknown");
}

// Guards against telling the repeat of an answered call that it is running, because the answer has left the
// host before it is written to the table.
BOOST_AUTO_TEST_CASE(RepeatWaitsForTheAnswerThatIsBeingWritten)
{
    for (int tenths = 0; tenths <= 20; ++tenths) {
        const std::unique_ptr<TableService> peerTable = table.client(HostId("peer"));
        ClaimRegistry peerClaims(scheduler, *peerTable, HostId("peer"), Incarnation(1),
            [](const HostId&, Incarnation) { return true; });
        const RequestId id("r" + std::to_string(tenths));
        const std::string fingerprint = sha256Hex("POST /book\nx");
        std::optional<ClaimVerdict> verdict;
        peerClaims.begin(
            WorkspaceId("w"), id, fingerprint, [&](const ClaimResult& result) { verdict = result.verdict; });
        scheduler.advance(100ms);
        BOOST_REQUIRE((verdict == ClaimVerdict::Run));
        exchange = std::make_shared<FakeExchange>("POST", "/", HttpHeaders(), "");
        start(false, false, id);
        scheduler.advance(tenths * 100ms);
        peerClaims.complete(WorkspaceId("w"), id, { 200, "text/plain", "seat 7" }, [](bool) {});
        scheduler.advance(1s);
        BOOST_TEST(exchange->responseStatus == 200);
        BOOST_TEST(exchange->responseBody == "seat 7");
    }
    BOOST_TEST(messenger.runs.empty());
}

// Guards against a repeat that waits for a running call until its own deadline.
BOOST_AUTO_TEST_CASE(RepeatOfACallThatRunsOnIsToldSo)
{
    claims.begin(WorkspaceId("w"), RequestId("r1"), sha256Hex("POST /book\nx"), [](const ClaimResult&) {});
    scheduler.advance(100ms);
    start(false, false);
    BOOST_TEST(exchange->responseStatus == 0);
    scheduler.advance(5s);
    BOOST_TEST(exchange->responseStatus == 409);
    BOOST_TEST(messenger.runs.empty());
}

// Guards against sending a non-repeatable call before its claim is written to the table.
BOOST_AUTO_TEST_CASE(NonRepeatableCallIsNotSentWhileTheTableIsDown)
{
    table.setDown(true);
    start(false, false);
    scheduler.advance(10s);
    BOOST_TEST(messenger.runs.empty());
    BOOST_TEST(exchange->responseStatus == 503);
    BOOST_TEST(*exchange->responseHeaders.find("Lacewing-Outcome") == "refused_not_run");
}

// Guards against a second run of a call whose owner says that it hasn't run, after it has begun the answer.
BOOST_AUTO_TEST_CASE(NonRepeatableCallIsNotSentAgainAfterAContradictoryRefusal)
{
    start(false, false);
    entry->received(owner(), chunk(0, ""));
    entry->received(owner(), end(Outcome::RefusedNotRun, refusal::upstreamRefused));
    scheduler.advance(10s);
    BOOST_TEST(messenger.runs.size() == 1u);
    BOOST_REQUIRE(exchange->responseStatus == 502);
    BOOST_TEST(*exchange->responseHeaders.find("Lacewing-Outcome") == "unknown");
}

// Guards against reporting "not run" after a refused retry although the lost first attempt may have run.
BOOST_AUTO_TEST_CASE(RefusalAfterALostAttemptIsUnknown)
{
    start(true, true);
    entry->ownerLost(owner());
    scheduler.advance(50ms);
    entry->received(owner(), end(Outcome::RefusedNotRun, refusal::deadlineExceeded));
    BOOST_TEST(finished == 1);
    BOOST_TEST(*exchange->responseHeaders.find("Lacewing-Outcome") == "unknown");
}

// Guards against unbounded retries, and against delaying the error response after the last attempt.
BOOST_AUTO_TEST_CASE(AttemptsAreBoundedAndTheLastRefusalIsAnsweredAtOnce)
{
    start(true, true);
    const MonotonicTime begin = scheduler.now();
    while (finished == 0) {
        entry->received(owner(), end(Outcome::RefusedNotRun, refusal::queueFull));
        scheduler.advance(1ms);
    }
    BOOST_TEST(messenger.runs.size() == 6u);
    BOOST_TEST((scheduler.now() - begin < 1s));
    BOOST_TEST(*exchange->responseHeaders.find("Lacewing-Outcome") == "refused_not_run");
}

// Guards against unused tokens that stay charged, and against upstream work that goes on, after the caller
// has disconnected.
BOOST_AUTO_TEST_CASE(CallerWhoLeavesCancelsAndGetsTheRestBack)
{
    const Tokens before
        = holder.bucket(WorkspaceId("w"))->level(scheduler.now()) + quotaClient.available(WorkspaceId("w"));
    start(true, true);
    entry->received(owner(), chunk(0, "a"));
    exchange->clientLeft();
    BOOST_TEST(messenger.cancels == 1);
    BOOST_TEST(finished == 1);
    scheduler.advance(5s);
    const Tokens after
        = holder.bucket(WorkspaceId("w"))->level(scheduler.now()) + quotaClient.available(WorkspaceId("w"));
    BOOST_TEST(after.value() >= before.value() - 11);
}

// Guards against a stream that continues after its key was withdrawn.
BOOST_AUTO_TEST_CASE(StoppedStreamEndsWithAnErrorEvent)
{
    start(true, true);
    entry->received(owner(), chunk(0, "a"));
    entry->stop(401, refusal::keyWithdrawn, "the key was withdrawn");
    BOOST_TEST(messenger.cancels == 1);
    BOOST_TEST(exchange->isEnded);
    BOOST_TEST(exchange->responseBody.find("key_withdrawn") != std::string::npos);
    BOOST_TEST(exchange->responseBody.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
