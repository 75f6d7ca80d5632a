#include "protocol/configuration_codec.h"

#include "base/random.h"
#include "protocol/configuration_json.h"
#include "state/configuration_diff.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace lacewing;

namespace {

Configuration manyAdapters(int count)
{
    Configuration configuration;
    configuration.workspaces[WorkspaceId("w")] = { WorkspaceId("w"), Tokens(1000), Tokens(5000) };
    for (int i = 0; i < count; ++i) {
        const AdapterId id("adapter-" + std::to_string(i));
        configuration.adapters[id]
            = { id, WorkspaceId("w"), ModelId("m"), { AdapterVersion("v1") }, AdapterVersion("v1") };
    }
    for (int i = 0; i < count / 10; ++i)
        configuration.keys.push_back({ "key-" + std::to_string(i), WorkspaceId("w"), std::string(64, 'a') });
    return configuration;
}

size_t changedBytes(const EncodedConfiguration& before, const EncodedConfiguration& after)
{
    size_t bytes = 0;
    for (const auto& [hash, content] : after.objects) {
        if (before.objects.count(hash) == 0)
            bytes += content.size();
    }
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationCodecTest)

// Guards against fields that are lost in the object store, and against trees that lose entries when split.
BOOST_AUTO_TEST_CASE(DecodeRestoresEverything)
{
    for (const int count : { 0, 1, 256, 257, 6000 }) {
        const Configuration original = manyAdapters(count);
        const ConfigurationCodec codec;
        const EncodedConfiguration encoded = codec.encode(original);
        const auto decoded = codec.decode(encoded.root, encoded.objects);
        BOOST_REQUIRE(decoded);
        BOOST_TEST(diffConfigurations(original, *decoded).empty());
        BOOST_TEST(codec.encode(*decoded).root == encoded.root);
    }
}

// Guards against a daemon that cannot follow all references, or that takes a partial configuration for a
// whole one.
BOOST_AUTO_TEST_CASE(ReferencesReachEveryObjectAndMissingObjectsAreNoticed)
{
    const ConfigurationCodec codec;
    const EncodedConfiguration encoded = codec.encode(manyAdapters(600));
    std::vector<ContentHash> pending { encoded.root };
    ConfigurationObjects reached;
    while (!pending.empty()) {
        const ContentHash hash = pending.back();
        pending.pop_back();
        reached[hash] = encoded.objects.at(hash);
        const auto references = codec.references(reached[hash]);
        BOOST_REQUIRE(references);
        pending.insert(pending.end(), references->begin(), references->end());
    }
    BOOST_TEST(reached.size() == encoded.objects.size());
    for (const auto& [hash, content] : encoded.objects) {
        ConfigurationObjects partial = encoded.objects;
        partial.erase(hash);
        BOOST_TEST(!codec.decode(encoded.root, partial));
    }
}

// Guards against a change of one key that moves the whole configuration at design size.
BOOST_AUTO_TEST_CASE(ChangeOfOneKeyMovesLittle)
{
    const ConfigurationCodec codec;
    Configuration configuration = manyAdapters(43000);
    const EncodedConfiguration before = codec.encode(configuration);
    configuration.keys[77].hash = std::string(64, 'b');
    const size_t bytes = changedBytes(before, codec.encode(configuration));
    BOOST_TEST_MESSAGE("bytes moved: " << bytes);
    BOOST_TEST(bytes < 6000U);
}

// Guards against an update that differs from decoding everything, also when trees are split and joined.
BOOST_AUTO_TEST_CASE(UpdateEqualsDecoding)
{
    const ConfigurationCodec codec;
    Random random(7);
    Configuration current = manyAdapters(300);
    EncodedConfiguration encoded = codec.encode(current);
    for (int step = 0; step < 60; ++step) {
        Configuration next = manyAdapters(static_cast<int>(random.below(600)));
        next.loadLimits.maximumInFlight = step;
        next.keys.resize(random.below(next.keys.size() + 1));
        if (!next.adapters.empty())
            next.adapters.begin()->second.defaultVersion = AdapterVersion(std::to_string(step));
        const EncodedConfiguration later = codec.encode(next);
        ConfigurationObjects objects = encoded.objects;
        objects.insert(later.objects.begin(), later.objects.end());
        const auto expected = diffConfigurations(current, next).size();
        const auto delta = codec.update(current, encoded.root, later.root, objects);
        BOOST_REQUIRE(delta);
        BOOST_TEST(diffConfigurations(delta->before, delta->after).size() == expected);
        BOOST_TEST(diffConfigurations(next, current).empty());
        BOOST_TEST(codec.encode(current).root == later.root);
        encoded = later;
    }
}

// Guards against crashes on objects that are not what they claim to be.
BOOST_AUTO_TEST_CASE(MalformedObjectsAreRefused)
{
    const ConfigurationCodec codec;
    const ContentHash root("r");
    for (const std::string& content : { std::string(), std::string("\xff\x00", 2), std::string("\xa0", 1) }) {
        BOOST_TEST(!codec.decode(root, { { root, content } }));
    }
    BOOST_TEST(!codec.references("\xff"));
    // {"children": 5}
    BOOST_TEST(!codec.references(std::string("\xa1\x68"
                                             "children\x05")));
}

// Guards against operator requests whose misspelt members are ignored.
BOOST_AUTO_TEST_CASE(OperatorJsonIsStrict)
{
    ConfigurationJson json;
    BOOST_TEST(!json.decode(nlohmann::json::parse(R"({"workspaces": {"w": {"rate": 5, "brust": 5}}})")));
    BOOST_TEST(json.lastError() == "workspaces.w.burst is missing");
    BOOST_TEST(!json.decode(nlohmann::json::parse(R"({"workspaces": {"w": {"rate": "5", "burst": 5}}})")));
    BOOST_TEST(json.lastError() == "workspaces.w.rate has the wrong kind of value");
    BOOST_TEST(!json.decode(nlohmann::json::parse(R"({"workspaces": {"w": {"rate":5,"burst":5,"x":1}}})")));
    BOOST_TEST(json.lastError() == "workspaces.w.x is not known");
    BOOST_TEST(!json.decode(nlohmann::json::parse(R"({"plans": {}})")));
}

BOOST_AUTO_TEST_SUITE_END()
