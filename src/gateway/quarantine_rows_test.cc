#include "gateway/quarantine_rows.h"

#include "base/virtual_scheduler.h"
#include "gateway/fake_row_store_test.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    /// @return what a host reads that starts now.
    std::vector<Quarantine> restarted()
    {
        QuarantineRows host(scheduler, store);
        std::vector<Quarantine> read;
        host.read([&read](const Quarantine& quarantine) { read.push_back(quarantine); });
        scheduler.advance(3s);
        return read;
    }

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    QuarantineRows rows { scheduler, store };
    const Quarantine quarantine { PartSet({ 66, 77 }), QuarantineRevision(3), false, 1, 5s };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuarantineRowsTest, Fixture)

// Guards against hosts that crash engines anew because all hosts have lost power.
BOOST_AUTO_TEST_CASE(AQuarantineOutlastsAllHosts)
{
    rows.save(quarantine);
    scheduler.advance(1s);
    const auto read = restarted();
    BOOST_REQUIRE(read.size() == 1);
    BOOST_TEST((read[0].parts == quarantine.parts));
    BOOST_TEST((read[0].revision == quarantine.revision));
    BOOST_TEST(read[0].probes == 1);
    BOOST_TEST((read[0].untilProbe == PromptQuarantine::probeDelay(1)));
}

BOOST_AUTO_TEST_CASE(ALiftedQuarantineIsRemoved)
{
    rows.save(quarantine);
    Quarantine lifted = quarantine;
    lifted.isLifted = true;
    rows.save(lifted);
    scheduler.advance(2s);
    BOOST_TEST(restarted().empty());
}

// Guards against a quarantine that is not kept, or read, because the store was away at that moment.
BOOST_AUTO_TEST_CASE(OutlastsAnOutageOfTheStore)
{
    store.fault = RowStoreError::Refused;
    rows.save(quarantine);
    scheduler.advance(5s);
    store.fault.reset();
    scheduler.advance(2s);
    BOOST_TEST(restarted().size() == 1);
    QuarantineRows late(scheduler, store);
    int count = 0;
    store.fault = RowStoreError::Unknown;
    late.read([&count](const Quarantine&) { ++count; });
    scheduler.advance(4s);
    store.fault.reset();
    scheduler.advance(2s);
    BOOST_TEST(count == 1);
}

// Guards against a row of another writer that ends the process or hides the others.
BOOST_AUTO_TEST_CASE(SkipsUnreadableRows)
{
    rows.save(quarantine);
    scheduler.advance(1s);
    for (const char* value : { "", "{", "[]", "{\"parts\":[]}", "{\"parts\":[-1,1e99],\"revision\":\"x\"}",
             "{\"parts\":\"66\",\"revision\":1,\"probes\":0}", "\xff" })
        store.put({ "lacewinglb-quarantine", std::string("odd-") + value }, value);
    BOOST_TEST(restarted().size() == 1);
}

// Guards against a quarantine that is forgotten, and one that comes back after it was lifted, because the
// store has come back from a copy.
BOOST_AUTO_TEST_CASE(TheTableIsBroughtInLineAfterALoss)
{
    Quarantine lifted { PartSet({ 5 }), QuarantineRevision(2), false, 0, 3s };
    rows.save(lifted);
    scheduler.advance(5s);
    lifted.isLifted = true;
    rows.save(lifted);
    rows.save(quarantine);
    scheduler.advance(1s);
    store.restore(3s);
    size_t count = 0;
    rows.reconcile(
        [&] {
            return std::vector<Quarantine> { quarantine, lifted };
        },
        [](const Quarantine&) {}, [&count](size_t rewritten) { count += rewritten; });
    scheduler.advance(1s);
    BOOST_TEST(count == 1);
    const auto read = restarted();
    BOOST_REQUIRE(read.size() == 1);
    BOOST_TEST((read[0].parts == quarantine.parts));
}

BOOST_AUTO_TEST_SUITE_END()
