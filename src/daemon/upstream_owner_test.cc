#include "daemon/upstream_owner.h"

#include "base/virtual_scheduler.h"
#include "coordination/fair_request_queue.h"
#include "state/refusal.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

class RecordingMessenger : public PeerMessenger {
public:
    bool send(const HostId&, const PeerMessage& message) override
    {
        if (const auto* end = std::get_if<RunEnd>(&message))
            ends.push_back(*end);
        return true;
    }

    std::vector<RunEnd> ends;
};

/// Placeholder client; the runs of these tests open no connections.
class UnusedHttpClient : public HttpClient {
public:
    std::unique_ptr<HttpClientCall> send(HttpClientRequest, HttpClientHandlers) override { return nullptr; }
    void closeIdle(const SocketAddress&) override { }
    size_t connectionCount() const override { return 0; }
};

/// A run that ends when the test calls finish().
class ManualRun : public UpstreamRun {
public:
    ManualRun(StreamId stream, Listener listener, std::map<StreamId, ManualRun*>& runs)
        : m_stream(stream)
        , m_listener(std::move(listener))
        , m_runs(runs)
    {
    }
    ~ManualRun() override { m_runs.erase(m_stream); }
    void start() override { m_runs[m_stream] = this; }
    void addWindow(int64_t) override { }
    void finish()
    {
        RunEnd end;
        end.stream = m_stream;
        end.outcome = Outcome::Answered;
        const auto onEnd = m_listener.onEnd;
        onEnd(end);
    }

private:
    StreamId m_stream;
    Listener m_listener;
    std::map<StreamId, ManualRun*>& m_runs;
};

UpstreamConfig makeConfig()
{
    UpstreamConfig config;
    config.id = UpstreamId("u");
    config.maximumConcurrency = 2;
    return config;
}

class ManualOwner : public UpstreamOwner {
public:
    /// @param openRuns receives the runs that have started and not ended; must outlive the owner.
    ManualOwner(OwnerContext context, LeaseCheck mayAct, std::map<StreamId, ManualRun*>& openRuns)
        : UpstreamOwner(context, makeConfig(),
            std::make_unique<FairRequestQueue>(FairRequestQueue::Options()), std::move(mayAct))
        , runs(openRuns)
    {
    }

    std::map<StreamId, ManualRun*>& runs;
    int references = 0;

protected:
    bool isReady(const AdapterKey&, RequestClass) const override { return true; }
    bool acquire(const QueuedRequest&) override
    {
        ++references;
        return true;
    }
    void release(const QueuedRequest&) override { --references; }
    std::unique_ptr<UpstreamRun> makeRun(const RunRequest& request, UpstreamRun::Listener listener) override
    {
        return std::make_unique<ManualRun>(request.stream, std::move(listener), runs);
    }
    Duration minimumWait(const AdapterKey&) const override { return Duration::zero(); }
};

struct Fixture {
    void submit(int64_t stream, const char* entry = "entry")
    {
        RunRequest request;
        request.stream = StreamId(stream);
        request.workspace = WorkspaceId("w");
        request.cost = Tokens(1);
        request.deadlineMs = 1000;
        owner.submit(HostId(entry), request);
    }

    VirtualScheduler scheduler;
    UnusedHttpClient client;
    RecordingMessenger messenger;
    MetricsRegistry metrics;
    CallIds callIds { "host" };
    bool leaseIsValid = true;
    std::map<StreamId, ManualRun*> runs;
    ManualOwner owner { { scheduler, client, messenger, metrics, callIds },
        [this](Duration) { return leaseIsValid; }, runs };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamOwnerTest, Fixture)

// Guards against an owner that sends requests after its lease has expired, for example during a process
// pause.
BOOST_AUTO_TEST_CASE(NothingStartsWithoutAValidLease)
{
    submit(1);
    submit(2);
    submit(3);
    leaseIsValid = false;
    runs.at(StreamId(1))->finish();
    BOOST_TEST(runs.count(StreamId(3)) == 0u);
    submit(4);
    BOOST_TEST(messenger.ends.back().code == refusal::sessionInvalid);
    BOOST_TEST((messenger.ends.back().outcome == Outcome::RefusedNotRun));
}

// Guards against reporting "not run" for requests that were already sent to the upstream when the lease was
// lost.
BOOST_AUTO_TEST_CASE(AbandonTellsRunningFromWaiting)
{
    submit(1);
    submit(2);
    submit(3);
    owner.abandon();
    BOOST_REQUIRE(messenger.ends.size() == 3u);
    BOOST_TEST((messenger.ends[0].outcome == Outcome::Unknown));
    BOOST_TEST((messenger.ends[1].outcome == Outcome::Unknown));
    BOOST_TEST((messenger.ends[2].outcome == Outcome::RefusedNotRun));
    BOOST_TEST(owner.references == 0);
}

// Guards against a lease hand-over that aborts running requests.
BOOST_AUTO_TEST_CASE(DrainWaitsForRunningRequests)
{
    bool drained = false;
    submit(1);
    owner.drain([&] { drained = true; });
    BOOST_TEST(!drained);
    submit(2);
    BOOST_TEST(messenger.ends.back().code == refusal::leaving);
    runs.at(StreamId(1))->finish();
    BOOST_TEST(drained);
}

// Guards against starting requests after their deadline, and against expiring requests that already run.
BOOST_AUTO_TEST_CASE(WaitingRequestsExpireAndRunningOnesDoNot)
{
    submit(1);
    submit(2);
    submit(3);
    scheduler.advance(3s);
    BOOST_REQUIRE(messenger.ends.size() == 1u);
    BOOST_TEST(messenger.ends[0].stream.value() == 3);
    BOOST_TEST(messenger.ends[0].code == refusal::deadlineExceeded);
    BOOST_TEST(runs.size() == 2u);
}

// Guards against adapter references that leak when the connection to an entry is lost; the adapter could
// never be evicted.
BOOST_AUTO_TEST_CASE(LostEntryFreesItsRequests)
{
    submit(1, "a");
    submit(2, "b");
    submit(3, "a");
    owner.entryLost(HostId("a"));
    scheduler.advance(1ms);
    BOOST_TEST(owner.references == 1);
    BOOST_TEST(owner.requestCount() == 1u);
    BOOST_TEST(runs.count(StreamId(1)) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
