#include "affinity/prefix_digest.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::affinity;

namespace {

PromptPrefixes prefixes(const char* adapter, const std::vector<uint64_t>& parts)
{
    PromptPrefixes prompt(ModelId("base"), AdapterId(adapter));
    for (const uint64_t part : parts)
        prompt.append(part, Tokens(100));
    return prompt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixDigestTest)

// Guards against matches for another adapter, another order of parts, or a part without those before it.
BOOST_AUTO_TEST_CASE(MatchesWholePrefixesOfTheAdapter)
{
    const PrefixDigest digest({ prefixes("a1", { 1, 2 }).all()[1].fingerprint });
    BOOST_TEST((digest.longestMatch(prefixes("a1", { 1, 2, 3 })) == Tokens(200)));
    BOOST_TEST((digest.longestMatch(prefixes("a1", { 2, 1, 3 })) == Tokens(0)));
    BOOST_TEST((digest.longestMatch(prefixes("a1", { 2 })) == Tokens(0)));
    BOOST_TEST((digest.longestMatch(prefixes("a2", { 1, 2, 3 })) == Tokens(0)));
}

// Guards against fingerprints that differ between hosts or releases: the bytes are part of the protocol.
BOOST_AUTO_TEST_CASE(TravelsAsFourBytesForEachPrefix)
{
    const PrefixDigest digest({ PrefixFingerprint { 0x01020304 }, PrefixFingerprint { 0xfffefdfc } });
    const std::vector<uint8_t> bytes = digest.toBytes();
    BOOST_TEST((bytes == std::vector<uint8_t> { 1, 2, 3, 4, 0xff, 0xfe, 0xfd, 0xfc }));
    BOOST_TEST(PrefixDigest::fromBytes(bytes)->hasSamePrefixes(digest));
    BOOST_TEST(PrefixDigest::fromBytes({})->empty());
}

// Guards against memory that a peer fills, and against reading half a fingerprint.
BOOST_AUTO_TEST_CASE(IsBounded)
{
    const size_t most = 4 * PrefixDigest::maximumSize;
    BOOST_TEST(PrefixDigest::fromBytes(std::vector<uint8_t>(most))->size() == PrefixDigest::maximumSize);
    BOOST_TEST(!PrefixDigest::fromBytes(std::vector<uint8_t>(most + 4)));
    BOOST_TEST(!PrefixDigest::fromBytes(std::vector<uint8_t>(7)));
    BOOST_TEST(PrefixDigest(std::vector<PrefixFingerprint>(100)).size() == PrefixDigest::maximumSize);
}

BOOST_AUTO_TEST_SUITE_END()
