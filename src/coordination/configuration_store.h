#pragma once

#include "base/lifetime.h"
#include "coordination/configuration_submission.h"
#include "coordination/head_tracker.h"
#include "coordination/object_cache.h"
#include "coordination/object_fetcher.h"
#include "coordination/peer_revision_tracker.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

struct ConfigurationStoreOptions {
    HostId self;
    Incarnation incarnation;
    /// Interval at which a polling daemon reads the head.
    Duration pollInterval = std::chrono::seconds(1);
    /// Head age above which keyed routes close, so that requests with API keys are refused.
    Duration maximumHeadAge = std::chrono::seconds(4);
    /// Head age above which a non-polling daemon reads the head itself. Polls and heartbeats every second
    /// keep the age below 2.2 s in normal operation.
    Duration probeHeadAge = std::chrono::milliseconds(2500);
    /// Minimum interval between these reads.
    Duration probeInterval = std::chrono::seconds(2);
};

/// Services that the store uses. All must outlive it.
struct ConfigurationStoreDependencies {
    Scheduler& scheduler;
    TableService& table;
    ObjectStore& objectStore;
    PeerMessenger& messenger;
    const ConfigurationEncoding& encoding;
    const SessionPeers& peers;
};

/// Keeps this daemon's configuration up to date and submits new ones (section 4.5 of the design).
///
/// The revision applied by this daemon never decreases. keyedRoutesOpen() is true only if every submission
/// that was accepted more than 5 s ago is applied here.
class ConfigurationStore : private SubmissionContext {
public:
    using AppliedCallback = std::function<void(const ConfigurationDelta& delta)>;

    ConfigurationStore(ConfigurationStoreOptions options, const ConfigurationStoreDependencies& dependencies);

    /// Starts tracking the head.
    void start();
    /// Sets whether this daemon is one of the two in its data centre that poll the head.
    void setPolling(bool polling) { m_isPolling = polling; }
    /// Sets the callback that runs after each change of the applied configuration. Sending a heartbeat to all
    /// peers from it propagates the revision without delay.
    void onApplied(AppliedCallback callback) { m_onApplied = std::move(callback); }

    /// @return the applied configuration, empty at revision 0. Later changes modify it in place.
    const Configuration& configuration() const { return m_configuration; }
    Revision revision() const override { return m_knowledge.appliedRevision(); }
    const ContentHash& hash() const { return m_knowledge.appliedHash(); }

    /// @return the time since the applied revision was last known to be the latest, or std::nullopt if it
    /// never was.
    std::optional<Duration> headAge() const;
    /// @return whether the most recent call to the table succeeded.
    bool tableUp() const { return m_tableUp; }
    /// @return whether requests with API keys may be admitted and may continue.
    bool keyedRoutesOpen() const;

    /// Submits a configuration. The callback never runs inside the call.
    void submit(SubmitRequest request, ConfigurationSubmission::Callback callback);

    /// Sets the message's revision, hash, head age and table state.
    void fillStatus(Heartbeat& heartbeat) const { fillStatusFields(heartbeat); }
    void fillStatus(HeartbeatAck& ack) const { fillStatusFields(ack); }

    void onHeartbeat(const HostId& peer, const Heartbeat& heartbeat);
    /// @param heartbeatSent when the acknowledged heartbeat was sent. The peer computed its head age later,
    /// so subtracting the age from this time is conservative.
    void onHeartbeatAck(const HostId& peer, const HeartbeatAck& ack, MonotonicTime heartbeatSent);
    /// The peer must have sent a heartbeat immediately before.
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
    HeadTracker m_knowledge;
    PeerRevisionTracker m_peerRevisions;
    ObjectCache m_cache;
    ObjectFetcher m_fetcher;
    Configuration m_configuration;
    ContentHash m_previousHash;
    /// Hash of the last configuration that could not be decoded.
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
