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

/// A row of an engine holds the time at which it started.
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

/// Reports a model without adapters; orders are answered on demand only.
class SilentOrders : public EngineControl {
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
        EngineReport report;
        report.models = { { model, 0, {}, {} } };
        callback(report);
    }

    int orders = 0;

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
    ConfigurationKeeper configuration { scheduler, store, rows, { [] {}, [](const AdapterRelease&) {} } };
    UpstreamDirectory upstreams { scheduler, store, rows,
        { [this] { owners.refresh(); }, [](const std::vector<StoredRow>&) {} } };
    SilentOrders control;
    std::vector<RunDenial> denials;
    OwnedEngines owners { scheduler, control, upstreams, configuration, HostId("host-1"),
        { [](const RunGrant&) {}, [this](const RunDenial& denial) { denials.push_back(denial); },
            [](const UpstreamId&) {}, [] { return true; } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OwnedEnginesTest, Fixture)

// Guards against requests that wait at an engine until their deadline after it has started anew: the new
// scheduler does not know them.
BOOST_AUTO_TEST_CASE(DeniesWaitingRunsWhenTheEngineStartsAnew)
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

// Guards against requests that wait for a host that does not own the engine any more.
BOOST_AUTO_TEST_CASE(DeniesWaitingRunsWhenTheEngineIsLost)
{
    request(8);
    owners.lost(engine);
    BOOST_REQUIRE(denials.size() == 1);
    BOOST_TEST((denials[0].reason == RunRefusal::NotOwner));
    request(9);
    BOOST_TEST(denials.size() == 2);
}

// Guards against an order that arrives after those of the next owner because the engine was handed over while
// the order was on its way.
BOOST_AUTO_TEST_CASE(TellsWhetherAnOrderIsOnItsWay)
{
    BOOST_TEST(!owners.hasOutstandingOrders());
    request(7);
    BOOST_TEST(owners.hasOutstandingOrders());
    owners.lost(engine);
    BOOST_TEST(owners.hasOutstandingOrders());
    control.answerAll(OrderOutcome::Accepted);
    BOOST_TEST(!owners.hasOutstandingOrders());
}

BOOST_AUTO_TEST_SUITE_END()
