#include "gateway/owned_engines.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("engines");
const ModelId model("base");
const UpstreamId engine("e-1");

/// Decodes rows of engines whose value is the engine's start time.
class EngineRows : public FakeRowDecoder {
public:
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string&, std::string&) const override
    {
        ServiceConfiguration engines;
        engines.id = service;
        engines.engine = EngineLimits();
        engines.engine->adapterPlaces = 2;
        engines.engine->models = { { model, 1 } };
        ServingConfiguration::Builder builder(Revision(1));
        builder.add(engines);
        return builder.build();
    }
    std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const override
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(row.id.key);
        entry.service = service;
        entry.address = { "127.0.0.1", 1 };
        entry.startedAt = std::stoll(row.value);
        return entry;
    }
};

/// Reports a model without adapters; orders are answered only by answerAll().
class ManualEngineControl : public EngineControl {
public:
    void order(const EngineTarget&, const AdapterOrder&, OrderCallback callback) override
    {
        ++orders;
        m_open.push_back(std::move(callback));
    }
    void answerAll(OrderOutcome outcome)
    {
        for (const OrderCallback& callback : std::exchange(m_open, {}))
            callback(outcome);
    }
    void report(const EngineTarget&, ReportCallback callback) override
    {
        ++reports;
        EngineReport report;
        report.models = { { model, 0, {}, {} } };
        callback(report);
    }

    int orders = 0;
    int reports = 0;

private:
    std::vector<OrderCallback> m_open;
};

struct Fixture {
    Fixture()
    {
        store.put({ "op", "config" }, "{}");
        store.put({ "servers", engine.value() }, "1");
        configuration.start();
        upstreams.start();
        scheduler.advance(50ms);
        owners.claimed(engine, FencingNumber(1));
        scheduler.advance(10ms);
    }

    void request(int64_t run)
    {
        RunRequest request;
        request.key = { HostId("host-2"), RunId(run) };
        request.adapter = { model, AdapterId("a1") };
        request.prompt = Tokens(100);
        request.onTimeStart = request.latestStart = scheduler.now() + 5s;
        owners.request(engine, request);
        scheduler.advance(10ms);
    }

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    EngineRows rows;
    ConfigurationTracker configuration { scheduler, store, rows, { [] {}, [](const AdapterRelease&) {} } };
    UpstreamDirectory upstreams { scheduler, store, rows,
        { [this] { owners.refresh(); }, [](const table_sync::ChangeSet&) {},
            [this](const DataCentreId&) { return isEvacuated; } } };
    bool isEvacuated = false;
    ManualEngineControl control;
    std::vector<RunDenial> denials;
    OwnedEngines owners { scheduler, control, upstreams, configuration, HostId("host-1"),
        { [](const RunGrant&) {}, [this](const RunDenial& denial) { denials.push_back(denial); },
            [](const UpstreamId&) {}, [] { return true; }, [](const UpstreamId&, const char*) {},
            [](const UpstreamId&) { return std::optional<RequestRate>(); } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OwnedEnginesTest, Fixture)

// Guards against requests that wait until their deadline after the engine has restarted: the new scheduler
// does not know them.
BOOST_AUTO_TEST_CASE(DeniesWaitingRunsWhenTheEngineRestarts)
{
    request(7);
    BOOST_TEST(control.orders == 1);
    BOOST_TEST(denials.empty());
    store.put({ "servers", engine.value() }, "2");
    scheduler.advance(2s);
    BOOST_REQUIRE(denials.size() == 1);
    BOOST_TEST(denials[0].key.run == RunId(7));
    BOOST_TEST((denials[0].reason == RunRefusal::EngineUnusable));
}

// Guards against requests that wait for an engine that has said that it leaves, and against orders to it.
BOOST_AUTO_TEST_CASE(DeniesWaitingRunsWhenTheEngineLeaves)
{
    request(7);
    BOOST_TEST(control.orders == 1);
    upstreams.availability().learnLeaving({ engine, 1 }, StatementOrigin::Response, scheduler.now());
    owners.refresh();
    BOOST_REQUIRE(denials.size() == 1);
    BOOST_TEST((denials[0].reason == RunRefusal::EngineLeaving));
    control.answerAll(OrderOutcome::Unknown);
    scheduler.advance(1s);
    BOOST_TEST(control.orders == 1);
    request(8);
    BOOST_TEST(denials.size() == 2);
}

// Guards against orders to an engine that wants a rest (BUDGET), and against requests that wait for one in
// vain.
BOOST_AUTO_TEST_CASE(ARestingEngineGetsNoOrders)
{
    const auto rest = upstreams.availability().learnRest(engine, 1, 2s, scheduler.now());
    BOOST_REQUIRE(rest.has_value());
    owners.refresh();
    request(7);
    scheduler.advance(1500ms);
    BOOST_TEST(control.orders == 0);
    BOOST_TEST(denials.empty());
    scheduler.advance(600ms);
    BOOST_TEST(control.orders == 1);
    upstreams.availability().learnRest(engine, 1, 9s, scheduler.now());
    owners.refresh();
    control.answerAll(OrderOutcome::Unknown);
    request(8);
    BOOST_TEST(denials.size() >= 1u);
}

// Guards against requests that wait for a host that no longer owns the engine.
BOOST_AUTO_TEST_CASE(DeniesWaitingRunsWhenTheEngineIsLost)
{
    request(8);
    owners.lost(engine);
    BOOST_REQUIRE(denials.size() == 1);
    BOOST_TEST((denials[0].reason == RunRefusal::NotOwner));
    request(9);
    BOOST_TEST(denials.size() == 2);
}

// Guards against handing an engine over while an order is outstanding, which would arrive after those of the
// next owner.
BOOST_AUTO_TEST_CASE(ReportsOutstandingOrders)
{
    BOOST_TEST(!owners.hasOutstandingOrders());
    request(7);
    BOOST_TEST(owners.hasOutstandingOrders());
    owners.lost(engine);
    BOOST_TEST(owners.hasOutstandingOrders());
    control.answerAll(OrderOutcome::Accepted);
    BOOST_TEST(!owners.hasOutstandingOrders());
}

// Guards against requests that wait for an engine of an evacuated data centre, against orders to it, and
// against an engine that gets no more of them once the evacuation has been taken back.
BOOST_AUTO_TEST_CASE(DeniesWaitingRunsWhileTheDataCentreIsEvacuated)
{
    request(7);
    BOOST_TEST(control.orders == 1);
    isEvacuated = true;
    owners.refresh();
    BOOST_REQUIRE(denials.size() == 1);
    BOOST_TEST((denials[0].reason == RunRefusal::EngineLeaving));
    control.answerAll(OrderOutcome::Unknown);
    const int reports = control.reports;
    scheduler.advance(10s);
    BOOST_TEST(control.orders == 1);
    BOOST_TEST(control.reports == reports);
    BOOST_TEST(owners.owns(engine));
    isEvacuated = false;
    owners.refresh();
    scheduler.advance(2s);
    request(8);
    BOOST_TEST(control.orders == 2);
    BOOST_TEST(denials.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
