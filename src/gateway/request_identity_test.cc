#include "gateway/request_identity.h"

#include "gateway/part_set.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lacewing::gateway;

BOOST_AUTO_TEST_SUITE(RequestIdentityTest)

// Guards against holding other requests than the one on which servers end.
BOOST_AUTO_TEST_CASE(EachFieldCountsAndFieldsAreKeptApart)
{
    const RequestIdentity request { "POST", "a.example", "/post/1", "", "Bearer key-1", "{}" };
    std::set<uint64_t> hashes { requestHash(request) };
    for (auto field : { &RequestIdentity::method, &RequestIdentity::authority, &RequestIdentity::path,
             &RequestIdentity::query, &RequestIdentity::caller, &RequestIdentity::body }) {
        RequestIdentity other = request;
        other.*field = "other";
        hashes.insert(requestHash(other));
    }
    hashes.insert(requestHash({ "POST", "a.example", "/post/", "1", "Bearer key-1", "{}" }));
    BOOST_TEST(hashes.size() == 8);
    BOOST_TEST(requestHash(request) == requestHash(request));
    for (const uint64_t hash : hashes)
        BOOST_TEST(isRequestHash(hash));
}

// Guards against taking a part of a prompt for a request.
BOOST_AUTO_TEST_CASE(PartsOfPromptsAreNoRequests)
{
    PromptPart part;
    part.id = ~uint64_t(0);
    const PartSet parts = PartSet::of({ part });
    BOOST_TEST(parts.size() == 1);
    for (const uint64_t hash : parts.hashes())
        BOOST_TEST(!isRequestHash(hash));
}

BOOST_AUTO_TEST_SUITE_END()
