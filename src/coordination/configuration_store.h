#pragma once

#include "base/lifetime.h"
#include "coordination/configuration_submission.h"
#include "coordination/head_knowledge.h"
#include "coordination/object_cache.h"
#include "coordination/object_fetcher.h"
#include "coordination/peer_vouchers.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

struct ConfigurationStoreOptions {
    HostId self;
    Incarnation incarnation;
    /// Interval at which a poller reads the head.
    Duration pollInterval = std::chrono::seconds(1);
    /// Head age above which keyed routes close.
    Duration maximumHeadAge = std::chrono::seconds(4);
    /// Head age above which a daemon reads the head although it is no poller. Polls and heartbeats each
    /// second keep the age below 2.2 s while all is well.
    Duration probeHeadAge = std::chrono::milliseconds(2500);
    /// Interval of these reads.
    Duration probeInterval = std::chrono::seconds(2);
};

/// Ports of the store. All must outlive it.
struct ConfigurationStoreDependencies {
    Scheduler& scheduler;
    TableService& table;
    ObjectStore& objectStore;
    PeerMessenger& messenger;
    const ConfigurationEncoding& encoding;
    const SessionPeers& peers;
};

/// Follows the configuration in force and submits new ones (section 4.5 of the design).
///
/// The revision in force here never goes back. keyedRoutesOpen() is true only if no submission was accepted
/// more than 5 s ago that is not in force here.
class ConfigurationStore : private SubmissionContext {
public:
    using AppliedCallback = std::function<void(const ConfigurationDelta& delta)>;

    ConfigurationStore(ConfigurationStoreOptions options, const ConfigurationStoreDependencies& dependencies);

    /// Starts to follow the head.
    void start();
    /// Says whether this daemon is one of the two of its data centre that poll the head.
    void setPolling(bool polling) { m_isPolling = polling; }
    /// Called after each change of the configuration in force. A heartbeat to all peers at this time spreads
    /// the revision without delay.
    void onApplied(AppliedCallback callback) { m_onApplied = std::move(callback); }

    /// @return the configuration in force, empty at revision 0. It changes in place.
    const Configuration& configuration() const { return m_configuration; }
    Revision revision() const override { return m_knowledge.appliedRevision(); }
    const ContentHash& hash() const { return m_knowledge.appliedHash(); }

    /// @return how long ago no revision above the one in force existed, or nothing if that was never known.
    std::optional<Duration> headAge() const;
    /// @return whether the last call to the table succeeded.
    bool tableUp() const { return m_tableUp; }
    /// @return whether requests with keys may be admitted and go on.
    bool keyedRoutesOpen() const;

    /// Submits a configuration. The answer is never given inside the call.
    void submit(SubmitRequest request, ConfigurationSubmission::Callback callback);

    /// Fills in revision, hash, head age and table state.
    void fillStatus(Heartbeat& heartbeat) const { fillStatusFields(heartbeat); }
    void fillStatus(HeartbeatAck& ack) const { fillStatusFields(ack); }

    void onHeartbeat(const HostId& peer, const Heartbeat& heartbeat);
    /// @param heartbeatSent when the heartbeat was sent that this answers. The head age in the answer was
    /// taken later than that, so counting it from there is conservative.
    void onHeartbeatAck(const HostId& peer, const HeartbeatAck& ack, MonotonicTime heartbeatSent);
    /// The peer must have sent a heartbeat just before it.
    void onGoodbye(const HostId& peer, const Goodbye& goodbye);
    void onConfigFetch(const HostId& peer, const ConfigFetch& fetch);
    void onConfigData(const HostId& peer, const ConfigData& data);

private:
    struct ChangeRecord {
        Revision from;
        Revision to;
        std::vector<ConfigurationChange> changes;
    };

    void learnHead(const std::optional<ConfigurationHead>& head, MonotonicTime readSent) override;
    void recordTableCall(std::optional<TableError> error, MonotonicTime sent) override;
    void applySubmitted(const ConfigurationHead& head, const EncodedConfiguration& encoded) override;
    std::set<ContentHash> storedObjects() const override;
    std::vector<ConfigurationChange> changesSince(Revision earlier) const override;
    bool isConfirmed(Revision revision) const override;

    void tick();
    bool shouldRead() const;
    void readHead();
    void learnFromPeer(const HostId& peer, Revision revision, const ContentHash& hash);
    void follow(Revision revision, const ContentHash& hash);
    void applyKnown();
    bool replaceConfiguration(const ContentHash& hash, ConfigurationDelta& delta);
    template <typename Message> void fillStatusFields(Message& message) const;

    ConfigurationStoreOptions m_options;
    ConfigurationStoreDependencies m_dependencies;
    HeadKnowledge m_knowledge;
    PeerVouchers m_vouchers;
    ObjectCache m_cache;
    ObjectFetcher m_fetcher;
    Configuration m_configuration;
    ContentHash m_previousHash;
    /// A configuration that could not be decoded.
    ContentHash m_malformedHash;
    std::deque<ChangeRecord> m_changes;
    AppliedCallback m_onApplied;
    bool m_isPolling = false;
    int m_openReads = 0;
    std::optional<MonotonicTime> m_lastReadSent;
    std::optional<MonotonicTime> m_lastTableCallSent;
    bool m_tableUp = false;
    std::vector<std::unique_ptr<ConfigurationSubmission>> m_submissions;
    int64_t m_submissionCount = 0;
    Lifetime m_lifetime;
};

} // namespace lacewing
