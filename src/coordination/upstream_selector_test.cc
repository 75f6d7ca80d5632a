#include "coordination/upstream_selector.h"

#include "coordination/baseline_selectors.h"
#include "coordination/bounded_load_selector.h"
#include "coordination/rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start(1h);

std::vector<UpstreamView> views(int count)
{
    std::vector<UpstreamView> result;
    for (int i = 0; i < count; ++i) {
        UpstreamView view;
        view.upstream = UpstreamId("u" + std::to_string(i));
        view.owner = HostId("h");
        view.dataCentre = DataCentreId("dc" + std::to_string(i % 3));
        view.maximumConcurrency = 10;
        view.reportedAt = start;
        result.push_back(view);
    }
    return result;
}

Selection selectionOf(const std::string& adapter)
{
    Selection selection;
    selection.adapter = AdapterKey { AdapterId(adapter), AdapterVersion("1") };
    selection.dataCentre = DataCentreId("dc0");
    return selection;
}

std::vector<std::unique_ptr<UpstreamSelector>> allSelectors()
{
    std::vector<std::unique_ptr<UpstreamSelector>> all;
    all.push_back(std::make_unique<RandomSelector>(1));
    all.push_back(std::make_unique<LeastQueueSelector>(1));
    all.push_back(std::make_unique<RendezvousSelector>());
    all.push_back(std::make_unique<TwoChoiceSelector>(1));
    all.push_back(std::make_unique<BoundedLoadSelector>(BoundedLoadSelector::Options {}));
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamSelectorTest)

// Guards against selecting upstreams that are leaving, ejected, excluded, without an owner or of another
// model.
BOOST_AUTO_TEST_CASE(OnlyEligibleUpstreamsAreChosen)
{
    std::vector<UpstreamView> candidates = views(6);
    candidates[0].state = UpstreamState::Draining;
    candidates[1].weight = 0;
    candidates[2].owner = HostId();
    candidates[3].baseModel = ModelId("other");
    for (int i = 0; i < 5; ++i)
        candidates[static_cast<size_t>(i)].resident.insert(*selectionOf("a0").adapter);
    for (const auto& selector : allSelectors()) {
        for (int i = 0; i < 50; ++i) {
            Selection selection = selectionOf("a" + std::to_string(i));
            selection.excluded.insert(UpstreamId("u4"));
            BOOST_TEST(*selector->select(selection, candidates, start) == UpstreamId("u5"));
            selection.excluded.insert(UpstreamId("u5"));
            BOOST_TEST(!selector->select(selection, candidates, start).has_value());
        }
    }
}

// Guards against a change of one upstream that moves adapters of others, and against an uneven distribution.
BOOST_AUTO_TEST_CASE(RendezvousMovesOnlyTheAdaptersOfALostUpstream)
{
    const std::vector<UpstreamView> all = views(9);
    const std::vector<UpstreamView> fewer = views(8);
    std::map<UpstreamId, int> counts;
    for (int i = 0; i < 3000; ++i) {
        const Selection selection = selectionOf("a" + std::to_string(i));
        const UpstreamId before = rankByRendezvous(selection, all).front()->upstream;
        ++counts[before];
        if (before != UpstreamId("u8"))
            BOOST_TEST(rankByRendezvous(selection, fewer).front()->upstream == before);
    }
    for (const auto& [upstream, count] : counts) {
        BOOST_TEST(count > 250);
        BOOST_TEST(count < 420);
    }
}

// Guards against loading an adapter on another upstream while one that holds it has capacity.
BOOST_AUTO_TEST_CASE(ResidencyGoesBeforeLoadWithinTheBound)
{
    std::vector<UpstreamView> candidates = views(4);
    BoundedLoadSelector selector { BoundedLoadSelector::Options {} };
    const Selection selection = selectionOf("a");
    candidates[2].resident.insert(*selection.adapter);
    candidates[2].running = 5;
    BOOST_TEST(*selector.select(selection, candidates, start) == UpstreamId("u2"));
    candidates[2].running = 10;
    BOOST_TEST(*selector.select(selection, candidates, start) != UpstreamId("u2"));
}

// Guards against a hot adapter that overloads its upstream while others are idle, as with plain rendezvous
// hashing.
BOOST_AUTO_TEST_CASE(HotAdapterSpreadsUnderLaggingReports)
{
    const std::vector<UpstreamView> stale = views(4);
    BoundedLoadSelector bounded { BoundedLoadSelector::Options {} };
    std::map<UpstreamId, int> counts;
    for (int i = 0; i < 32; ++i) {
        const Selection selection = selectionOf("hot");
        const UpstreamId chosen = *bounded.select(selection, stale, start + 10ms * i);
        bounded.started(chosen, selection.adapter, start + 10ms * i);
        ++counts[chosen];
    }
    BOOST_TEST(counts.size() == 4u);
    for (const auto& [upstream, count] : counts)
        BOOST_TEST(count <= 12);
}

// Guards against loading an adapter where it evicts a frequently used one.
BOOST_AUTO_TEST_CASE(ColdAdapterIsLoadedWhereEvictionCostsLeast)
{
    std::vector<UpstreamView> candidates = views(3);
    candidates[0].evictionCost = 0.5;
    candidates[1].evictionCost = 0.1;
    candidates[2].evictionCost = 0.9;
    BoundedLoadSelector selector { BoundedLoadSelector::Options {} };
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(
            *selector.select(selectionOf("a" + std::to_string(i)), candidates, start) == UpstreamId("u1"));
}

// Guards against counting requests twice that a report already includes, and against missing later ones.
BOOST_AUTO_TEST_CASE(OwnRequestsSinceTheReportAreAdded)
{
    InFlightTracker tracker;
    UpstreamView view = views(1).front();
    tracker.started(view.upstream, start - 1s);
    tracker.started(view.upstream, start + 1s);
    tracker.started(view.upstream, start + 2s);
    tracker.finished(view.upstream, start + 3s);
    view.running = 4;
    BOOST_TEST(tracker.load(view) == 5);
    view.reportedAt = start - 1h;
    view.running = 0;
    BOOST_TEST(tracker.load(view) == 2);
}

// Guards against a restarted service upstream that gets its full load during its slow start.
BOOST_AUTO_TEST_CASE(TwoChoicesBalanceByLoadAndWeight)
{
    std::vector<UpstreamView> candidates = views(3);
    candidates[0].running = 8;
    candidates[1].running = 8;
    candidates[2].running = 1;
    candidates[2].weight = 0.1;
    TwoChoiceSelector selector(3);
    std::map<UpstreamId, int> counts;
    for (int i = 0; i < 300; ++i)
        ++counts[*selector.select(Selection {}, candidates, start)];
    BOOST_TEST(counts[UpstreamId("u2")] == 0);
    candidates[2].weight = 1;
    for (int i = 0; i < 300; ++i)
        ++counts[*selector.select(Selection {}, candidates, start)];
    BOOST_TEST(counts[UpstreamId("u2")] > 150);
}

BOOST_AUTO_TEST_SUITE_END()
