#include "protocol/configuration_yaml.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace lacewing;

namespace {

const std::string examples = LACEWING_EXAMPLES;

YamlSource readExample(const std::string& name)
{
    std::ifstream file(examples + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return { name, text.str() };
}

std::vector<std::string> problemsOf(const std::string& base, const std::vector<YamlSource>& overlays = {})
{
    ConfigurationYaml yaml;
    BOOST_TEST(!yaml.parse({ "base.yaml", base }, overlays));
    std::vector<std::string> texts;
    for (const FileProblem& problem : yaml.problems())
        texts.push_back(problem.text());
    return texts;
}

bool contains(const std::vector<std::string>& texts, const std::string& part)
{
    for (const std::string& text : texts) {
        if (text.find(part) != std::string::npos)
            return true;
    }
    for (const std::string& text : texts)
        BOOST_TEST_MESSAGE(text);
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationYamlTest)

// Guards against an overlay that replaces whole entries instead of merging, or that does not delete.
BOOST_AUTO_TEST_CASE(OverlayMergesReplacesAndDeletes)
{
    ConfigurationYaml yaml;
    const auto merged = yaml.parse(readExample("base.yaml"), { readExample("site-lagos.yaml") });
    for (const FileProblem& problem : yaml.problems())
        BOOST_TEST_MESSAGE(problem.text());
    BOOST_REQUIRE(merged);
    BOOST_TEST(merged->workspaces.at(WorkspaceId("night-walks")).rate == Tokens(12000));
    BOOST_TEST(merged->workspaces.at(WorkspaceId("night-walks")).burst == Tokens(160000));
    BOOST_TEST(merged->keys.size() == 3U);
    BOOST_TEST(merged->adapters.at(AdapterId("city-tours-harbour")).versions.size() == 3U);
    const UpstreamConfig& engine = merged->upstreams.at(UpstreamId("engine-2"));
    BOOST_TEST((engine.state == UpstreamState::Draining));
    BOOST_TEST(engine.address == "127.0.0.1:9102");
    BOOST_TEST(merged->upstreams.size() == 5U);
    BOOST_TEST(merged->routes.size() == 5U);
    BOOST_TEST(merged->loadLimits.loadsPerSecond == 20);
}

// Guards against stopping at the first problem, and against messages without the line or the remedy.
BOOST_AUTO_TEST_CASE(EveryProblemIsReportedWithItsLineAndRemedy)
{
    const auto problems
        = problemsOf("workspaces:\n"
                     "  a: { rate: 1000, burst: 5 tokens }\n"
                     "  a: { rate: 1 tokens/s, burst: 5 tokens }\n"
                     "  b: { rate: 0 tokens/s, burst: 5 tokens, colour: red }\n"
                     "keys:\n"
                     "  k: { workspace: c, hash: secret }\n"
                     "adapters:\n"
                     "  x: { workspace: c, baseModel: m, versions: [v1], defaultVersion: v2 }\n"
                     "routes:\n"
                     "  r: { path: /r/, service: none, startDeadline: 30 }\n"
                     "  s: [1]\n"
                     "  t: { path: /t/, service: none, startDeadline: 2h, open: yes }\n"
                     "shelves: {}\n");
    const std::vector<std::string> expected = {
        "base.yaml:2: workspaces.a.rate: `1000` is not valid; write a rate such as `1000 tokens/s`",
        "base.yaml:3: key \"a\" was already given on line 2; write each key once",
        "base.yaml:4: workspaces.b.rate: 0 tokens/s is out of range; write 1 tokens/s to",
        "base.yaml:4: workspaces.b.colour: is not a known key; write one of rate, burst",
        "base.yaml:6: keys.k.workspace: workspace \"c\" does not exist; write",
        "base.yaml:6: keys.k.hash: is not an HMAC-SHA-256; write 64 lower-case hex digits",
        "base.yaml:8: adapters.x.workspace: workspace \"c\" does not exist",
        "base.yaml:8: adapters.x.baseModel: no engine serves base model \"m\"",
        "base.yaml:8: adapters.x.defaultVersion: \"v2\" is not listed under versions; write one of",
        "base.yaml:10: routes.r.service: no upstream belongs to service \"none\"",
        "base.yaml:10: routes.r.startDeadline: `30` is not valid; write a duration such as `250ms`",
        "base.yaml:11: routes.s: is a list; write a map",
        "base.yaml:12: routes.t.startDeadline: 7200000ms is out of range; write 1ms to 3600000ms",
        "base.yaml:12: routes.t.open: `yes` is not valid; write true or false",
        "base.yaml:13: shelves: is not a known section; write one of workspaces,",
    };
    for (const std::string& part : expected)
        BOOST_TEST(contains(problems, part), part);
}

// Guards against problems of an overlay that are blamed on the base file.
BOOST_AUTO_TEST_CASE(OverlayProblemsNameTheOverlay)
{
    const auto problems = problemsOf("workspaces:\n  a: { rate: 1 tokens/s, burst: 5 tokens }\n",
        { { "site.yaml", "\nworkspaces:\n  a:\n    rate: fast\n  b: null\n" } });
    BOOST_TEST(contains(problems, "site.yaml:4: workspaces.a.rate: `fast` is not valid"));
    BOOST_TEST(contains(problems, "site.yaml:5: workspaces.b: null deletes nothing here"));
    BOOST_TEST(problems.size() == 2U);
}

// Guards against crashes and silent acceptance of text that is no plain YAML document.
BOOST_AUTO_TEST_CASE(BrokenYamlIsReported)
{
    BOOST_TEST(contains(problemsOf("a: [1\nb: }"), "this is not YAML"));
    BOOST_TEST(contains(problemsOf(""), "the file is empty"));
    BOOST_TEST(contains(problemsOf("- 1\n"), "the file is a list"));
    BOOST_TEST(contains(problemsOf("keys: &x {}\nroutes: *x\n"), "base.yaml:2: an alias (*) is not allowed"));
    BOOST_TEST(contains(problemsOf("keys: {}\n---\nroutes: {}\n"), "more than one document"));
    BOOST_TEST(contains(problemsOf("? [a]\n: 1\n"), "a key is a list"));
    // An open route has no workspace to which a claim could belong.
    BOOST_TEST(contains(problemsOf("routes:\n  r: { path: /r/, open: true, repeatable: false, "
                                   "startDeadline: 1s }\n"),
        "routes.r.repeatable: a call that may not be repeated needs a workspace"));
}

BOOST_AUTO_TEST_SUITE_END()
