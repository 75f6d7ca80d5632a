#include "ctl/commands.h"

#include "base/digest.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace lacewing;

namespace {

/// Stand-in for a daemon's operator interface, on the same loop as the client.
class StandIn {
public:
    StandIn()
    {
        std::string error;
        m_server = HttpServer::listen(
            m_loop, {}, [this](auto exchange) { answer(*exchange); }, [](const std::string&) {}, error);
        BOOST_REQUIRE_MESSAGE(m_server, error);
        const WorkspaceId workspace("w");
        current.revision = Revision(7);
        current.workspaces[workspace] = { workspace, Tokens(100), Tokens(500) };
        current.keys.push_back({ "old", workspace, sha256Hex("old") });
    }

    /// Runs one command and keeps its output.
    int run(const std::vector<std::string>& words, CommandOptions options = {}, const std::string& input = "")
    {
        OperatorClient client(m_loop, m_server->address(), secret, std::chrono::seconds(30));
        std::istringstream in(input);
        std::ostringstream outStream;
        std::ostringstream errStream;
        Commands commands(
            std::move(options), { in, outStream, errStream }, [&](std::ostream&) { return &client; });
        const ExitCode code = commands.run(words);
        out = outStream.str();
        err = errStream.str();
        return static_cast<int>(code);
    }

    Configuration current;
    std::string secret = "operator-secret";
    /// Number of submissions before which somebody else makes a change.
    int racers = 0;
    int submissions = 0;
    std::string refusal;
    std::string out;
    std::string err;

private:
    void answer(HttpExchange& exchange)
    {
        if (exchange.headers().find("Authorization") != "Bearer operator-secret")
            return exchange.reply(401, {}, "");
        if (exchange.path() == operatorStatusPath)
            return exchange.reply(200, {}, OperatorApi::encode(status()));
        if (exchange.method() == "GET")
            return exchange.reply(200, {}, OperatorApi::encode(OperatorConfiguration { current, {} }));
        const OperatorSubmitAnswer result = submit(exchange.body());
        exchange.reply(result.httpStatus(), {}, OperatorApi::encode(result));
    }

    OperatorSubmitAnswer submit(const std::string& body)
    {
        ++submissions;
        const auto request = OperatorApi().decodeSubmitRequest(body);
        BOOST_REQUIRE(request);
        if (!refusal.empty())
            return { refusal, current.revision, "the reason", {}, {} };
        if (racers > 0) {
            --racers;
            current.revision += Revision(1);
            current.workspaces[WorkspaceId("w")].rate += Tokens(1);
        }
        if (request->expectedRevision != current.revision)
            return { "conflict", current.revision, "too late",
                diffConfigurations(request->configuration, current), {} };
        const Revision next = current.revision + Revision(1);
        current = request->configuration;
        current.revision = next;
        return { "accepted", next, "", {}, {} };
    }

    OperatorStatus status() const
    {
        OperatorStatus status;
        status.host = HostId("host-1");
        status.revision = current.revision;
        status.hosts.push_back({ HostId("host-1"), DataCentreId("dc-1"), "127.0.0.1:1", "self", "live",
            Incarnation(3), current.revision, 12, true, 4 });
        status.upstreams.push_back(
            { UpstreamId("engine-1"), "live", HostId("host-1"), FencingNumber(5), 2, 1 });
        return status;
    }

    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_server;
};

bool has(const std::string& text, const std::string& part)
{
    BOOST_TEST_INFO(text);
    return text.find(part) != std::string::npos;
}

CommandOptions withFiles()
{
    CommandOptions options;
    options.baseFile = LACEWING_EXAMPLES "/base.yaml";
    options.overlayFiles = { LACEWING_EXAMPLES "/site-lagos.yaml" };
    return options;
}

/// A file that is removed at the end of the test.
struct TemporaryFile {
    explicit TemporaryFile(const std::string& text)
    {
        name = (std::filesystem::temp_directory_path() / "lacewinglbctl-test-XXXXXX").string();
        close(mkstemp(name.data()));
        std::ofstream(name) << text;
    }
    ~TemporaryFile() { std::remove(name.c_str()); }
    std::string name;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CommandsTest)

// Guards against a dry run that submits, and against a submission that hides what it changes.
BOOST_AUTO_TEST_CASE(SubmitShowsChangesAndHosts)
{
    StandIn daemon;
    CommandOptions options = withFiles();
    options.dryRun = true;
    BOOST_TEST(daemon.run({ "submit" }, options) == 0);
    BOOST_TEST(daemon.submissions == 0);
    BOOST_TEST(has(daemon.out, "key old removed (workspace w)"));
    options.dryRun = false;
    BOOST_TEST(daemon.run({ "submit" }, options) == 0);
    BOOST_TEST(has(daemon.out, "accepted as revision 8"));
    BOOST_TEST(has(daemon.out, "host-1  dc-1         127.0.0.1:1  self  live   8"));
    BOOST_TEST(daemon.run({ "diff" }, options) == 0);
    BOOST_TEST(daemon.out == "no changes\n");
}

// Guards against an operator who overwrites somebody else's change unnoticed.
BOOST_AUTO_TEST_CASE(ConflictNamesTheOtherChange)
{
    StandIn daemon;
    daemon.racers = 1;
    BOOST_TEST(daemon.run({ "submit" }, withFiles()) == 3);
    BOOST_TEST(has(daemon.err, "revision 8 came first and changed:"));
    BOOST_TEST(daemon.current.workspaces.size() == 1U);
    CommandOptions stale = withFiles();
    stale.expectedRevision = Revision(7);
    BOOST_TEST(daemon.run({ "submit" }, stale) == 3);
}

// Guards against keys that are granted under the wrong hash, and edits that lose a race for good.
BOOST_AUTO_TEST_CASE(KeysAreGrantedAndWithdrawn)
{
    StandIn daemon;
    const TemporaryFile secret("key-secret\n");
    CommandOptions options;
    options.keySecretFile = secret.name;
    BOOST_TEST(daemon.run({ "key", "hash" }, options, "my-key\n") == 0);
    BOOST_TEST(daemon.out == hmacSha256Hex("key-secret", "my-key") + "\n");
    daemon.racers = 2;
    BOOST_TEST(daemon.run({ "key", "grant", "new", "w" }, options, "my-key\n") == 0);
    BOOST_REQUIRE(daemon.current.keys.size() == 2U);
    BOOST_TEST(daemon.current.workspaces.at(WorkspaceId("w")).rate == Tokens(102));
    BOOST_TEST(daemon.run({ "key", "grant", "new", "w" }, options, "my-key\n") == 1);
    BOOST_TEST(daemon.run({ "key", "withdraw", "old" }) == 0);
    BOOST_REQUIRE(daemon.current.keys.size() == 1U);
    BOOST_TEST(daemon.current.keys.front().hash == hmacSha256Hex("key-secret", "my-key"));
    BOOST_TEST(daemon.run({ "key", "withdraw", "old" }) == 1);
    BOOST_TEST(daemon.run({ "upstream", "leave", "absent" }) == 1);
    BOOST_TEST(daemon.run({ "key", "grant", "x", "w" }, options, "") == 1);
}

// Guards against scripts that take a refusal, an open outcome or a missing daemon for a success.
BOOST_AUTO_TEST_CASE(ExitCodesTellHowItEnded)
{
    StandIn daemon;
    daemon.refusal = "unavailable";
    BOOST_TEST(daemon.run({ "key", "withdraw", "old" }) == 1);
    daemon.refusal = "unconfirmed";
    BOOST_TEST(daemon.run({ "key", "withdraw", "old" }) == 5);
    BOOST_TEST(daemon.run({ "status" }) == 0);
    BOOST_TEST(has(daemon.out, "engine-1  live   host-1  5"));
    daemon.secret = "wrong";
    BOOST_TEST(daemon.run({ "hosts" }) == 4);
    BOOST_TEST(daemon.run({ "key", "fly" }) == 2);
    BOOST_TEST(daemon.run({}) == 2);
    BOOST_TEST(daemon.run({ "validate" }) == 1);
    BOOST_TEST(daemon.run({ "validate" }, withFiles()) == 0);

    EventLoop loop;
    // Port 1 is reserved and has no listener.
    OperatorClient nobody(loop, { "127.0.0.1", 1 }, "secret", std::chrono::seconds(30));
    BOOST_TEST(!nobody.status());
    BOOST_TEST((nobody.lastErrorKind() == OperatorClientError::Unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
