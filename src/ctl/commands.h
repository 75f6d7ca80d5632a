#pragma once

#include "ctl/operator_client.h"
#include "state/configuration.h"

#include <functional>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace lacewing {

/// Exit status of lacewinglbctl.
enum class ExitCode {
    Success = 0,
    /// Files are invalid, or the daemon refused; nothing was changed.
    Failure = 1,
    Usage = 2,
    /// Another change came first; nothing was changed.
    Conflict = 3,
    /// The daemon was not reached or refused the secret; nothing was changed.
    Unreachable = 4,
    /// A submission may have taken effect, or is not in force on all hosts yet.
    Unsettled = 5,
};

struct CommandOptions {
    std::string baseFile;
    /// Laid over the base in this order.
    std::vector<std::string> overlayFiles;
    std::string keySecretFile;
    /// Nothing takes the revision that the daemon reports.
    std::optional<Revision> expectedRevision;
    bool dryRun = false;
    bool json = false;
    /// How long to wait until all hosts have a submitted revision.
    Duration wait = std::chrono::seconds(15);
};

struct CommandStreams {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/// The commands of lacewinglbctl.
class Commands {
public:
    /// Makes the connection when the first command needs it, or reports why it can't and returns null.
    using ConnectFunction = std::function<OperatorClient*(std::ostream& err)>;

    Commands(CommandOptions options, CommandStreams streams, ConnectFunction connect);

    /// @param words command and arguments, for example {"key", "withdraw", "city-desk"}.
    ExitCode run(const std::vector<std::string>& words);

    /// @return a text that lists all commands.
    static std::string help();

private:
    using Edit = std::function<bool(Configuration& configuration)>;

    ExitCode story(const std::string& request, const std::vector<std::string>& files);
    ExitCode validate();
    /// @param dryRun only shows what submitting the files would change.
    ExitCode submit(bool dryRun);
    ExitCode status();
    ExitCode hosts();
    ExitCode keyHash();
    ExitCode keyGrant(const std::string& id, const WorkspaceId& workspace);
    ExitCode keyWithdraw(const std::string& id);
    ExitCode upstreamLeave(const UpstreamId& id);

    std::optional<Configuration> readFiles();
    std::optional<std::string> readKeyHash();
    ExitCode edit(const Edit& change);
    ExitCode submitConfiguration(const Configuration& configuration, Revision expected);
    ExitCode showRefusal(const OperatorSubmitAnswer& answer);
    ExitCode awaitRevision(Revision revision);
    void showChanges(const std::vector<ConfigurationChange>& changes);
    void showHosts(const OperatorStatus& status);
    bool connect();
    ExitCode connectionFailure(bool wasSubmission);
    ExitCode usage(const std::string& message);

    CommandOptions m_options;
    CommandStreams m_streams;
    ConnectFunction m_connect;
    OperatorClient* m_client = nullptr;
};

} // namespace lacewing
