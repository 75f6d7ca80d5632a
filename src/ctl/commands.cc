#include "ctl/commands.h"

#include "base/digest.h"
#include "ctl/log_story.h"
#include "ctl/text_table.h"
#include "protocol/configuration_yaml.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace lacewing {

namespace {

constexpr int maximumEditAttempts = 5;
constexpr Duration statusInterval = std::chrono::milliseconds(200);

std::string ageText(const std::optional<int64_t>& headAgeMs)
{
    return headAgeMs ? std::to_string(*headAgeMs) + "ms" : "unknown";
}

const char* yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::optional<std::string> readFile(const std::string& name)
{
    std::ifstream file(name);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return std::nullopt;
    return text.str();
}

std::string withoutLineEnd(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
        text.pop_back();
    return text;
}

bool hasRevision(const OperatorHostStatus& host, Revision revision)
{
    return host.link == "stopped" || host.revision >= revision;
}

} // namespace

Commands::Commands(CommandOptions options, CommandStreams streams, ConnectFunction connect)
    : m_options(std::move(options))
    , m_streams(streams)
    , m_connect(std::move(connect))
{
}

std::string Commands::help()
{
    return R"(Usage: lacewinglbctl COMMAND [ARGUMENT...] [FLAG...]

Commands:
  validate                   check the files of --base and --overlay
  diff                       show what submitting the files would change
  submit                     put the files in force; shows the changes first and then which hosts have them
  key hash                   print the hash of a key read from standard input
  key grant ID WORKSPACE     put a key read from standard input in force
  key withdraw ID            withdraw a key; its running requests are cancelled within 5 s
  upstream leave ID          give an upstream no new work
  status                     state of the daemon and of the upstreams
  hosts                      all daemons and the revision that each has in force
  story REQUEST FILE...      explain a request's outcome from the logs of lacewinglb-gateway, one file a host

A key or upstream that is changed by a command must be changed in the files too, or the next submit of the
files takes the change back; diff and submit --dry-run show that.

Exit status:
  0  success
  1  the files are invalid or the daemon refused, and nothing was changed; no log names the request
  2  wrong usage
  3  another change came first; nothing was changed
  4  the daemon was not reached or refused the secret; nothing was changed
  5  the change may have taken effect, or not all hosts had it within --wait
)";
}

ExitCode Commands::run(const std::vector<std::string>& words)
{
    const std::string command = words.empty() ? "" : words[0];
    const std::string object = words.size() > 1 ? words[1] : "";
    if (words.size() == 1) {
        if (command == "validate")
            return validate();
        if (command == "diff")
            return submit(true);
        if (command == "submit")
            return submit(m_options.dryRun);
        if (command == "status")
            return status();
        if (command == "hosts")
            return hosts();
    }
    if (command == "key" && object == "hash" && words.size() == 2)
        return keyHash();
    if (command == "key" && object == "grant" && words.size() == 4)
        return keyGrant(words[2], WorkspaceId(words[3]));
    if (command == "key" && object == "withdraw" && words.size() == 3)
        return keyWithdraw(words[2]);
    if (command == "upstream" && object == "leave" && words.size() == 3)
        return upstreamLeave(UpstreamId(words[2]));
    if (command == "story" && words.size() >= 3)
        return story(object, { words.begin() + 2, words.end() });
    return usage(words.empty() ? "no command was given" : "unknown command or wrong number of arguments");
}

ExitCode Commands::story(const std::string& request, const std::vector<std::string>& files)
{
    LogStory story;
    for (const std::string& file : files) {
        std::ifstream log(file);
        if (!log) {
            m_streams.err << file << ": cannot be read\n";
            return ExitCode::Failure;
        }
        story.addLog(file, log);
    }
    const std::vector<LogStory::Line> lines = story.tell(request);
    if (lines.empty()) {
        m_streams.err << "no log names the request \"" << request << "\"\n";
        return ExitCode::Failure;
    }
    for (const LogStory::Line& line : lines)
        m_streams.out << line.host << "  " << toString(line.part) << "  " << line.text << '\n';
    return ExitCode::Success;
}

ExitCode Commands::validate()
{
    const std::optional<Configuration> configuration = readFiles();
    if (!configuration)
        return ExitCode::Failure;
    m_streams.out << "valid: " << configuration->workspaces.size() << " workspaces, "
                  << configuration->keys.size() << " keys, " << configuration->adapters.size()
                  << " adapters, " << configuration->upstreams.size() << " upstreams, "
                  << configuration->routes.size() << " routes\n";
    return ExitCode::Success;
}

ExitCode Commands::submit(bool dryRun)
{
    const std::optional<Configuration> configuration = readFiles();
    if (!configuration)
        return ExitCode::Failure;
    if (!connect())
        return ExitCode::Unreachable;
    const std::optional<OperatorConfiguration> current = m_client->configuration();
    if (!current)
        return connectionFailure(false);
    const auto changes = diffConfigurations(current->configuration, *configuration);
    if (dryRun || !m_options.json)
        showChanges(changes);
    if (dryRun)
        return ExitCode::Success;
    return submitConfiguration(
        *configuration, m_options.expectedRevision.value_or(current->configuration.revision));
}

ExitCode Commands::status()
{
    if (!connect())
        return ExitCode::Unreachable;
    const std::optional<OperatorStatus> status = m_client->status();
    if (!status)
        return connectionFailure(false);
    if (m_options.json) {
        m_streams.out << OperatorApi::encode(*status) << '\n';
        return ExitCode::Success;
    }
    TextTable daemon({ "HOST", "VERSION", "REVISION", "HEAD AGE", "TABLE", "SESSION", "KEYED ROUTES" });
    daemon.add({ status->host.value(), status->version, std::to_string(status->revision.value()),
        ageText(status->headAgeMs), status->tableUp ? "up" : "down",
        status->sessionValid ? "valid" : "invalid", status->keyedRoutesOpen ? "open" : "closed" });
    daemon.print(m_streams.out);
    TextTable upstreams({ "UPSTREAM", "STATE", "OWNER", "FENCING NUMBER", "RUNNING", "QUEUED" });
    for (const OperatorUpstreamStatus& upstream : status->upstreams)
        upstreams.add({ upstream.upstream.value(), upstream.state,
            upstream.owner.empty() ? "none" : upstream.owner.value(),
            std::to_string(upstream.fencingNumber.value()), std::to_string(upstream.running),
            std::to_string(upstream.queued) });
    m_streams.out << '\n';
    upstreams.print(m_streams.out);
    return ExitCode::Success;
}

ExitCode Commands::hosts()
{
    if (!connect())
        return ExitCode::Unreachable;
    const std::optional<OperatorStatus> status = m_client->status();
    if (!status)
        return connectionFailure(false);
    showHosts(*status);
    return ExitCode::Success;
}

ExitCode Commands::keyHash()
{
    const std::optional<std::string> hash = readKeyHash();
    if (!hash)
        return ExitCode::Failure;
    m_streams.out << *hash << '\n';
    return ExitCode::Success;
}

ExitCode Commands::keyGrant(const std::string& id, const WorkspaceId& workspace)
{
    const std::optional<std::string> hash = readKeyHash();
    if (!hash)
        return ExitCode::Failure;
    return edit([&](Configuration& configuration) {
        const auto isKey = [&](const KeyConfig& key) { return key.id == id; };
        auto& keys = configuration.keys;
        if (std::any_of(keys.begin(), keys.end(), isKey)) {
            m_streams.err << "key \"" << id << "\" exists; withdraw it first or use another id\n";
            return false;
        }
        keys.push_back({ id, workspace, *hash });
        return true;
    });
}

ExitCode Commands::keyWithdraw(const std::string& id)
{
    return edit([&](Configuration& configuration) {
        auto& keys = configuration.keys;
        const auto isKey = [&](const KeyConfig& key) { return key.id == id; };
        const auto removed = std::remove_if(keys.begin(), keys.end(), isKey);
        if (removed == keys.end()) {
            m_streams.err << "key \"" << id << "\" does not exist\n";
            return false;
        }
        keys.erase(removed, keys.end());
        return true;
    });
}

ExitCode Commands::upstreamLeave(const UpstreamId& id)
{
    return edit([&](Configuration& configuration) {
        const auto found = configuration.upstreams.find(id);
        if (found == configuration.upstreams.end()) {
            m_streams.err << "upstream \"" << id << "\" does not exist\n";
            return false;
        }
        found->second.state = UpstreamState::Draining;
        return true;
    });
}

std::optional<Configuration> Commands::readFiles()
{
    if (m_options.baseFile.empty()) {
        m_streams.err << "--base is needed\n";
        return std::nullopt;
    }
    std::vector<YamlSource> sources;
    std::vector<std::string> names { m_options.baseFile };
    names.insert(names.end(), m_options.overlayFiles.begin(), m_options.overlayFiles.end());
    for (const std::string& name : names) {
        std::optional<std::string> text = readFile(name);
        if (!text) {
            m_streams.err << name << ": cannot be read\n";
            return std::nullopt;
        }
        sources.push_back({ name, std::move(*text) });
    }
    ConfigurationYaml yaml;
    std::optional<Configuration> configuration
        = yaml.parse(sources.front(), { sources.begin() + 1, sources.end() });
    for (const FileProblem& problem : yaml.problems())
        m_streams.err << problem.text() << '\n';
    return configuration;
}

std::optional<std::string> Commands::readKeyHash()
{
    if (m_options.keySecretFile.empty()) {
        m_streams.err << "--key-secret-file is needed\n";
        return std::nullopt;
    }
    const std::optional<std::string> secret = readFile(m_options.keySecretFile);
    if (!secret || withoutLineEnd(*secret).empty()) {
        m_streams.err << m_options.keySecretFile << ": cannot be read or is empty\n";
        return std::nullopt;
    }
    std::string key;
    std::getline(m_streams.in, key);
    key = withoutLineEnd(key);
    if (key.empty()) {
        m_streams.err << "standard input holds no key\n";
        return std::nullopt;
    }
    return hmacSha256Hex(withoutLineEnd(*secret), key);
}

/// A single edit doesn't depend on what others change, so it is made again on the newer configuration.
ExitCode Commands::edit(const Edit& change)
{
    if (!connect())
        return ExitCode::Unreachable;
    ExitCode code = ExitCode::Conflict;
    for (int attempt = 0; attempt < maximumEditAttempts && code == ExitCode::Conflict; ++attempt) {
        const std::optional<OperatorConfiguration> current = m_client->configuration();
        if (!current)
            return connectionFailure(false);
        Configuration configuration = current->configuration;
        if (!change(configuration))
            return ExitCode::Failure;
        if (m_options.dryRun || !m_options.json)
            showChanges(diffConfigurations(current->configuration, configuration));
        if (m_options.dryRun)
            return ExitCode::Success;
        code = submitConfiguration(configuration, current->configuration.revision);
    }
    return code;
}

ExitCode Commands::submitConfiguration(const Configuration& configuration, Revision expected)
{
    const std::optional<OperatorSubmitAnswer> answer = m_client->submit({ expected, configuration });
    if (!answer)
        return connectionFailure(true);
    if (answer->code != "accepted")
        return showRefusal(*answer);
    if (!m_options.json)
        m_streams.out << "accepted as revision " << answer->revision << '\n';
    return awaitRevision(answer->revision);
}

ExitCode Commands::showRefusal(const OperatorSubmitAnswer& answer)
{
    m_streams.err << answer.code << ": " << answer.message << '\n';
    for (const std::string& problem : answer.problems)
        m_streams.err << "  " << problem << '\n';
    if (answer.code == "conflict") {
        m_streams.err << "revision " << answer.revision << " came first and changed:\n";
        for (const ConfigurationChange& change : answer.changes)
            m_streams.err << "  " << change.text() << '\n';
        return ExitCode::Conflict;
    }
    const bool isUnsettled = answer.code == "unconfirmed" || answer.code == "unknown";
    return isUnsettled ? ExitCode::Unsettled : ExitCode::Failure;
}

ExitCode Commands::awaitRevision(Revision revision)
{
    std::optional<OperatorStatus> status;
    for (Duration waited {}; waited <= m_options.wait; waited += statusInterval) {
        status = m_client->status();
        if (!status)
            return connectionFailure(true);
        const bool everywhere = std::all_of(status->hosts.begin(), status->hosts.end(),
            [&](const OperatorHostStatus& host) { return hasRevision(host, revision); });
        if (everywhere) {
            showHosts(*status);
            return ExitCode::Success;
        }
        m_client->wait(statusInterval);
    }
    if (status)
        showHosts(*status);
    m_streams.err << "revision " << revision << " is accepted, but not all hosts have it yet\n";
    return ExitCode::Unsettled;
}

void Commands::showChanges(const std::vector<ConfigurationChange>& changes)
{
    if (m_options.json) {
        m_streams.out << OperatorApi::encode(changes) << '\n';
        return;
    }
    for (const ConfigurationChange& change : changes)
        m_streams.out << change.text() << '\n';
    if (changes.empty())
        m_streams.out << "no changes\n";
}

void Commands::showHosts(const OperatorStatus& status)
{
    if (m_options.json) {
        m_streams.out << OperatorApi::encode(status) << '\n';
        return;
    }
    TextTable table(
        { "HOST", "DATA CENTRE", "ADDRESS", "LINK", "STATE", "REVISION", "HEAD AGE", "TABLE UP", "LOAD" });
    for (const OperatorHostStatus& host : status.hosts)
        table.add({ host.host.value(), host.dataCentre.value(), host.address, host.link, host.state,
            std::to_string(host.revision.value()), ageText(host.headAgeMs), yesNo(host.tableUp),
            std::to_string(host.load) });
    table.print(m_streams.out);
}

bool Commands::connect()
{
    if (m_client == nullptr)
        m_client = m_connect(m_streams.err);
    return m_client != nullptr;
}

ExitCode Commands::connectionFailure(bool wasSubmission)
{
    m_streams.err << m_client->lastError() << '\n';
    switch (m_client->lastErrorKind()) {
    case OperatorClientError::Unreachable:
    case OperatorClientError::Unauthorized:
        return ExitCode::Unreachable;
    case OperatorClientError::NoAnswer:
    case OperatorClientError::Invalid:
        break;
    }
    if (!wasSubmission)
        return ExitCode::Failure;
    m_streams.err << "the change may have taken effect; see `lacewinglbctl diff`\n";
    return ExitCode::Unsettled;
}

ExitCode Commands::usage(const std::string& message)
{
    m_streams.err << message << "; see lacewinglbctl --help\n";
    return ExitCode::Usage;
}

} // namespace lacewing
