#include "gateway/configuration_tracker.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

/// Decodes configuration rows that consist of the revision number.
class NumberRowDecoder : public FakeRowDecoder {
public:
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string& value, std::string& reason) const override
    {
        if (value.find_first_not_of("0123456789") != std::string::npos) {
            reason = "not a number";
            return nullptr;
        }
        return ServingConfiguration::Builder(Revision(std::stoll(value))).build();
    }
};

StoredRow configurationRow(int64_t version, const char* value)
{
    return { { "", "config" }, value, RowVersion(version), false };
}

const RowKey evacuation { "op", "evacuated:z-1" };

struct Fixture {
    int64_t revision() const { return tracker.current() ? tracker.current()->revision().value() : 0; }
    bool isEvacuated() const { return tracker.evacuations().isEvacuated(DataCentreId("z-1")); }
    void put(const char* value) { store.put({ "op", "config" }, value); }

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    NumberRowDecoder decoder;
    int applied = 0;
    ConfigurationTracker tracker { scheduler, store, decoder,
        { [this] { ++applied; }, [](const AdapterRelease&) {} } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationTrackerTest)

// Guards against a change that takes effect late, and against an invalid change that takes effect at all.
BOOST_AUTO_TEST_CASE(FollowsTheStore)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(100ms);
    BOOST_TEST(fixture.revision() == 3);
    fixture.scheduler.advance(5s);
    fixture.put("8");
    fixture.scheduler.advance(100ms);
    BOOST_TEST(fixture.revision() == 8);
    fixture.put("broken");
    fixture.scheduler.advance(100ms);
    BOOST_TEST(fixture.revision() == 8);
}

// Guards against a host that misses a change which its peers have because the store rejects its calls, and
// against a return to an older configuration.
BOOST_AUTO_TEST_CASE(TakesANewerRowFromAPeerButNeverAnOlderOne)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(100ms);
    fixture.store.fault = RowStoreError::Refused;
    fixture.tracker.peerOffered({ configurationRow(9, "5") }, true);
    BOOST_TEST(fixture.revision() == 5);
    fixture.tracker.peerOffered({ configurationRow(8, "4") }, true);
    BOOST_TEST(fixture.revision() == 5);
    fixture.store.fault.reset();
    fixture.scheduler.advance(5s);
    BOOST_TEST(fixture.revision() == 5);
}

// Guards against rejections by a host whose configuration is out of date: it can't know what was added since.
BOOST_AUTO_TEST_CASE(IsFreshOnlyWhileTheStoreOrAPeerConfirmsIt)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    BOOST_TEST(!fixture.tracker.isFresh());
    fixture.scheduler.advance(3s);
    BOOST_TEST(fixture.tracker.isFresh());
    fixture.store.fault = RowStoreError::Refused;
    fixture.scheduler.advance(5s);
    BOOST_TEST(!fixture.tracker.isFresh());
    fixture.tracker.recordPeerVersion(fixture.tracker.rowVersion(), Revision(), 300ms);
    BOOST_TEST(fixture.tracker.isFresh());
    fixture.scheduler.advance(3s);
    BOOST_TEST(!fixture.tracker.isFresh());
    fixture.tracker.recordPeerVersion(RowVersion(99), Revision(), 0ms);
    BOOST_TEST(!fixture.tracker.isFresh());
}

// Guards against rejections by a host that has learned of a newer configuration but does not have it yet.
BOOST_AUTO_TEST_CASE(IsNotFreshOnceAPeerHasANewerOne)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.tracker.isFresh());
    const RowVersion newer(fixture.tracker.rowVersion().number() + 1);
    fixture.tracker.recordPeerVersion(newer, Revision(), 0ms);
    BOOST_TEST(!fixture.tracker.isFresh());
    fixture.tracker.peerOffered({ configurationRow(newer.number(), "5") }, true);
    BOOST_TEST(fixture.tracker.isFresh());
}

// Load: a new configuration every second in a large fleet. Guards against a store call by every host for each
// configuration.
BOOST_AUTO_TEST_CASE(ANonReaderPollsTheStoreRarely)
{
    constexpr int seconds = 60;
    Fixture fixture;
    fixture.put("1");
    fixture.tracker.start();
    fixture.scheduler.advance(100ms);
    fixture.tracker.setReader(false);
    fixture.store.calls = 0;
    for (int second = 2; second < seconds; ++second) {
        fixture.put(std::to_string(second).c_str());
        fixture.scheduler.advance(1s);
    }
    BOOST_TEST(fixture.store.calls <= 7);
}

// Guards against a fleet that misses changes for a long time after its readers have left: a new reader must
// poll at once.
BOOST_AUTO_TEST_CASE(ANewReaderPollsAtOnce)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(100ms);
    fixture.tracker.setReader(false);
    fixture.scheduler.advance(3s);
    fixture.put("8");
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.revision() == 3);
    fixture.tracker.setReader(true);
    fixture.scheduler.advance(100ms);
    BOOST_TEST(fixture.revision() == 8);
}

// Guards against a change that is ignored because the store, which has come back from a copy, gives it a
// lower version than the one before the loss had.
BOOST_AUTO_TEST_CASE(AChangeAfterALossIsInForceAlthoughItsVersionIsLower)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(2s);
    for (int revision = 4; revision < 20; ++revision)
        fixture.put(std::to_string(revision).c_str());
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.revision() == 19);
    fixture.store.restore(2s);
    fixture.put("22");
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.revision() == 22);
    BOOST_TEST(fixture.tracker.isFresh());
}

// Guards against a withdrawn key that works again while the store shows an older configuration, in any number
// of losses, and against a host that can't deny anything meanwhile.
BOOST_AUTO_TEST_CASE(AConfirmedConfigurationNeverGoesBack)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(5s);
    fixture.put("8");
    fixture.scheduler.advance(1s);
    for (int loss = 0; loss < 5; ++loss) {
        fixture.store.restore(3s);
        fixture.scheduler.advance(1700ms);
        BOOST_TEST(fixture.revision() == 8);
        BOOST_TEST(fixture.tracker.isFresh());
    }
    fixture.put("8");
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.revision() == 8);
    BOOST_TEST(fixture.applied == 2);
}

// Guards against a host that starts after a loss and serves an older configuration although its peers know a
// newer one, and against peers that take the older one over from it.
BOOST_AUTO_TEST_CASE(AHostThatStartsAfterALossGetsTheNewerConfigurationFromAPeer)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(5s);
    fixture.put("8");
    fixture.scheduler.advance(1s);
    fixture.store.restore(3s);
    fixture.scheduler.advance(2s);
    ConfigurationTracker started { fixture.scheduler, fixture.store, fixture.decoder,
        { [] {}, [](const AdapterRelease&) {} } };
    started.start();
    fixture.scheduler.advance(1s);
    BOOST_TEST(started.revision() == Revision(3));
    started.recordPeerVersion(fixture.tracker.rowVersion(), fixture.tracker.revision(), 0ms);
    BOOST_TEST(!started.isFresh());
    fixture.tracker.peerOffered(started.rowsAfter(RowVersion()), true);
    started.peerOffered(fixture.tracker.rowsAfter(started.newestRowVersion()), true);
    BOOST_TEST(started.revision() == Revision(8));
    BOOST_TEST(fixture.revision() == 8);
    BOOST_TEST(started.isFresh());
}

// Guards against an evacuated data centre that gets requests, and against a restored one that gets none
// because the change feed or a read of the whole table shows the removal.
BOOST_AUTO_TEST_CASE(AnEvacuationHoldsUntilItsRowIsRemoved)
{
    for (const bool isCompacted : { false, true }) {
        Fixture fixture;
        fixture.put("3");
        fixture.tracker.start();
        fixture.scheduler.advance(1s);
        fixture.store.put(evacuation, "not readable");
        fixture.scheduler.advance(100ms);
        BOOST_TEST(fixture.isEvacuated());
        fixture.store.fault = RowStoreError::Unknown;
        fixture.scheduler.advance(60s);
        BOOST_TEST(fixture.isEvacuated());
        const RowVersion before = fixture.tracker.newestRowVersion();
        fixture.store.remove(evacuation);
        if (isCompacted)
            fixture.store.compact();
        fixture.store.fault.reset();
        fixture.scheduler.advance(2s);
        BOOST_TEST(!fixture.isEvacuated());
        BOOST_TEST(fixture.tracker.newestRowVersion() > before);
    }
}

// Guards against an evacuation that ends early because the store comes back from a copy without it, and
// against one that never ends.
BOOST_AUTO_TEST_CASE(AnEvacuationThatACopyLacksHoldsForSomeReadableTime)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(5s);
    fixture.store.put(evacuation, "{}");
    fixture.scheduler.advance(1s);
    fixture.store.restore(3s);
    fixture.scheduler.advance(20s);
    fixture.store.fault = RowStoreError::Refused;
    fixture.scheduler.advance(60s);
    fixture.store.fault.reset();
    fixture.scheduler.advance(5s);
    BOOST_TEST(fixture.isEvacuated());
    fixture.scheduler.advance(12s);
    BOOST_TEST(!fixture.isEvacuated());
}

// Guards against an evacuation that a copy of the store brings back to some hosts only, and against an
// operator who can't end one that the copy lacks.
BOOST_AUTO_TEST_CASE(TheOperatorDecidesAfterALoss)
{
    Fixture fixture;
    fixture.put("3");
    fixture.tracker.start();
    fixture.scheduler.advance(5s);
    fixture.store.put(evacuation, "{}");
    fixture.scheduler.advance(5s);
    fixture.store.remove(evacuation);
    fixture.scheduler.advance(1s);
    BOOST_TEST(!fixture.isEvacuated());
    fixture.store.restore(3s);
    fixture.scheduler.advance(2s);
    BOOST_TEST(fixture.isEvacuated());
    fixture.store.remove(evacuation);
    fixture.scheduler.advance(1s);
    BOOST_TEST(!fixture.isEvacuated());
}

BOOST_AUTO_TEST_SUITE_END()
