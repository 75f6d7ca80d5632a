#include "ctl/log_story.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace lacewing;

namespace {

const char* entryLog = R"(time=10.000 event=started host=host-1
time=11.000 event=configuration_applied revision=1 source=store
time=12.000 event=configuration_applied revision=2 source=peer
time=12.500 event=store_lost table=op reason=unknown
time=13.000 event=upstream_changed upstream=e-1 service=engines draining=0
time=14.000 event=start_denied request=r-1 upstream=e-1 owner=host-2 run=7 reason=overloaded
time=14.001 event=call request=r-2 upstream=e-1 adapter=a1 outcome=answered reason=""
time=14.002 event=call request=r-1 upstream=e-1 adapter=a1 outcome=refused reason=overloaded
time=14.100 event=service_versions service=engines base=v1 others=1 revision=2
time=14.200 event=stream_taken_up request=r-4 stream=r-3 service=engines software_version=v2 source=record
)";

const char* ownerLog = R"(collector 17: time=10.000 event=started host=host-2
collector 17: time=13.900 event=engine_order engine=e-1 action=load adapter=a1 outcome=accepted
collector 17: time=13.950 event=engine_order engine=e-1 action=load adapter=a9 outcome=accepted
collector 17: time=13.999 event=run_denied engine=e-1 asker=host-1 run=7 reason=overloaded backlog_ms=900
collector 17: time=13.999 event=run_denied engine=e-1 asker=host-1 run=8 reason=overloaded backlog_ms=901
collector 17: time=13.999 event=run_denied engine=e-1 asker=host-3 run=7 reason=overloaded backlog_ms=902
)";

std::string storyOf(const std::string& request)
{
    std::istringstream entry(entryLog);
    std::istringstream owner(ownerLog);
    LogStory story;
    story.addLog("first.log", entry);
    story.addLog("second.log", owner);
    std::string text;
    for (const LogStory::Line& line : story.tell(request))
        text += line.host + ' ' + toString(line.part) + ' ' + line.text + '\n';
    return text;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogStoryTest)

// Guards against a story without the decision of the owner on another host that refused the request.
BOOST_AUTO_TEST_CASE(FollowsARequestToItsOwner)
{
    const std::string story = storyOf("r-1");
    BOOST_TEST(contains(
        story, "host-2 owner collector 17: time=13.999 event=run_denied engine=e-1 asker=host-1 run=7"));
    BOOST_TEST(contains(story, "host-2 owner collector 17: time=13.900 event=engine_order"));
    BOOST_TEST(contains(story, "host-1 request time=14.002 event=call request=r-1"));
    BOOST_TEST(story.find("run_denied") < story.find("event=call"));
}

// Guards against lines of other requests, runs and adapters that hide the cause.
BOOST_AUTO_TEST_CASE(LeavesOutOtherRequests)
{
    const std::string story = storyOf("r-1");
    for (const char* foreign : { "request=r-2", "run=8", "asker=host-3", "adapter=a9", "revision=1" })
        BOOST_TEST(!contains(story, foreign), foreign);
}

// Guards against a story of a stream that doesn't tell who took it up, and at which version.
BOOST_AUTO_TEST_CASE(TellsOfLaterTriesToTakeAStreamUp)
{
    for (const char* request : { "r-3", "r-4" }) {
        const std::string story = storyOf(request);
        BOOST_TEST(contains(story, "event=stream_taken_up request=r-4 stream=r-3"));
        BOOST_TEST(contains(story, "event=service_versions service=engines base=v1"));
    }
}

// Guards against a story that does not tell what the host knew.
BOOST_AUTO_TEST_CASE(TellsWhatTheHostBelieved)
{
    const std::string story = storyOf("r-2");
    BOOST_TEST(contains(story, "revision=2"));
    BOOST_TEST(contains(story, "store_lost table=op"));
    BOOST_TEST(contains(story, "upstream_changed upstream=e-1"));
    BOOST_TEST(storyOf("unknown").empty());
}

BOOST_AUTO_TEST_SUITE_END()
