#pragma once

#include "base/digest.h"
#include "base/simulated_network.h"
#include "base/virtual_scheduler.h"
#include "coordination/configuration_store.h"
#include "coordination/key_ring.h"
#include "state/simulated_table.h"

#include <set>
#include <sstream>

namespace lacewing::simulation {

using namespace std::chrono_literals;

/// Text encoding with the workspaces in the root object and the keys in a second object.
class TextEncoding : public ConfigurationEncoding {
public:
    EncodedConfiguration encode(const Configuration& configuration) const override
    {
        std::ostringstream keys;
        keys << "keys\n";
        for (const KeyConfig& key : configuration.keys)
            keys << key.id << ' ' << key.workspace << ' ' << key.hash << '\n';
        const ContentHash keysHash(sha256Hex(keys.str()));
        std::ostringstream root;
        root << "root " << keysHash;
        for (const auto& [id, workspace] : configuration.workspaces)
            root << ' ' << id << ' ' << workspace.rate << ' ' << workspace.burst;
        const ContentHash rootHash(sha256Hex(root.str()));
        return { rootHash, { { rootHash, root.str() }, { keysHash, keys.str() } } };
    }
    std::optional<std::vector<ContentHash>> references(const std::string& object) const override
    {
        std::istringstream input(object);
        std::string kind;
        std::string hash;
        input >> kind >> hash;
        return kind == "root" ? std::vector<ContentHash> { ContentHash(hash) } : std::vector<ContentHash> {};
    }
    std::optional<Configuration> decode(
        const ContentHash& root, const ConfigurationObjects& objects) const override
    {
        const auto found = objects.find(root);
        if (found == objects.end())
            return std::nullopt;
        std::istringstream input(found->second);
        std::string kind;
        std::string keysHash;
        input >> kind >> keysHash;
        Configuration result;
        int64_t rate = 0;
        int64_t burst = 0;
        for (std::string id; input >> id >> rate >> burst;)
            result.workspaces[WorkspaceId(id)] = { WorkspaceId(id), Tokens(rate), Tokens(burst) };
        const auto keys = objects.find(ContentHash(keysHash));
        if (keys == objects.end())
            return std::nullopt;
        std::istringstream lines(keys->second);
        std::string workspace;
        std::string hash;
        lines >> kind;
        for (std::string id; lines >> id >> workspace >> hash;)
            result.keys.push_back({ id, WorkspaceId(workspace), hash });
        return result;
    }
    std::optional<ConfigurationDelta> update(Configuration& target, const ContentHash& from,
        const ContentHash& to, const ConfigurationObjects& objects) const override
    {
        std::optional<Configuration> after = decode(to, objects);
        if (!after)
            return std::nullopt;
        ConfigurationDelta delta { target, *after };
        const Revision revision = target.revision;
        target = std::move(*after);
        target.revision = revision;
        return delta;
    }
};

/// In-memory object store shared by all daemons of a simulation.
struct SharedObjectStore {
    std::map<ContentHash, std::string> contents;
    bool isDown = false;
};

/// Scheduler, network and stores shared by all daemons of a simulation.
struct SimulatedEnvironment {
    explicit SimulatedEnvironment(uint64_t seed)
        : network(scheduler, seed)
        , table(scheduler, seed + 1)
    {
    }
    VirtualScheduler scheduler;
    SimulatedNetwork network;
    SimulatedTable table;
    SharedObjectStore objects;
    TextEncoding encoding;
    std::set<std::pair<HostId, HostId>> cuts;
    bool hidesPeers = false;
};

/// Simulated daemon process of one host, reduced to the parts that the store depends on. Callbacks are
/// deferred while it is paused and dropped once it has crashed.
class SimulatedDaemon : public Scheduler,
                        public TableService,
                        public ObjectStore,
                        public PeerMessenger,
                        public SessionPeers {
public:
    SimulatedDaemon(SimulatedEnvironment& environment, HostId host, std::vector<SimulatedDaemon*>& all)
        : m_environment(environment)
        , m_host(std::move(host))
        , m_all(all)
        , m_client(environment.table.client(m_host))
    {
    }

    void start(const ConfigurationStoreOptions& options)
    {
        m_incarnation += Incarnation(1);
        ConfigurationStoreOptions own = options;
        own.self = m_host;
        own.incarnation = m_incarnation;
        m_store = std::make_unique<ConfigurationStore>(own,
            ConfigurationStoreDependencies { *this, *this, *this, *this, m_environment.encoding, *this });
        m_ring = std::make_unique<KeyRing>("secret");
        m_lastSeenRevision = Revision(0);
        m_store->onApplied([this](const ConfigurationDelta&) {
            m_ring->update(m_store->configuration().keys);
            runAfter(0s, [this] { sendHeartbeats(); });
        });
        m_store->start();
        heartbeatTick();
        createSession();
    }
    void crash()
    {
        ++m_epoch;
        m_store.reset();
        m_deferredCallbacks.clear();
        m_isPaused = false;
        m_sessionVersion.reset();
        m_sessions.reset();
        m_stopped.clear();
        m_sentHeartbeats.clear();
        m_lastAck.reset();
        m_environment.network.crash(m_host);
    }
    /// Sends a last heartbeat and a goodbye to all peers, then stops.
    void stopGracefully()
    {
        for (SimulatedDaemon* peer : m_all) {
            if (peer == this)
                continue;
            Heartbeat last = heartbeat();
            toPeer(*peer, [host = m_host, last](SimulatedDaemon& receiver) {
                receiver.m_store->onHeartbeat(host, last);
                receiver.m_store->onGoodbye(host, Goodbye { last.incarnation });
            });
        }
        crash();
    }
    void setPaused(bool paused)
    {
        m_isPaused = paused;
        if (paused)
            return;
        for (std::function<void()>& callback : std::exchange(m_deferredCallbacks, {}))
            runAfter(0s, std::move(callback));
    }
    std::optional<TableCondition> sessionCondition() const
    {
        constexpr Duration guardTtl = 6s;
        const bool guarded = (m_lastAck && now() - *m_lastAck < guardTtl) || m_all.size() == 1;
        if (!m_sessionVersion || !guarded)
            return std::nullopt;
        return TableCondition { sessionKey(), *m_sessionVersion };
    }

    bool isRunning() const { return m_store != nullptr; }
    bool isActive() const { return isRunning() && !m_isPaused; }
    const HostId& host() const { return m_host; }
    Incarnation incarnation() const { return m_incarnation; }
    ConfigurationStore& store() { return *m_store; }
    const KeyRing& ring() const { return *m_ring; }
    /// Revision of this incarnation at the last check of the test.
    Revision& lastSeenRevision() { return m_lastSeenRevision; }

    MonotonicTime now() const override { return m_environment.scheduler.now(); }
    TimerId runAfter(Duration delay, std::function<void()> callback) override
    {
        return m_environment.scheduler.runAfter(delay, later(std::move(callback)));
    }
    void cancel(TimerId timer) override { m_environment.scheduler.cancel(timer); }
    void read(std::vector<std::string> keys, RowsCallback callback) override
    {
        m_client->read(std::move(keys), laterRows(std::move(callback)));
    }
    void list(std::string prefix, RowsCallback callback) override
    {
        m_client->list(std::move(prefix), laterRows(std::move(callback)));
    }
    void commit(TableTransaction transaction, CommitCallback callback) override
    {
        m_client->commit(std::move(transaction), [this, epoch = m_epoch, callback](auto error) {
            deliver(epoch, [callback, error] { callback(error); });
        });
    }
    void fetch(ContentHash hash, FetchCallback callback) override
    {
        runAfter(5ms, [this, hash, callback] {
            const auto found = m_environment.objects.contents.find(hash);
            if (m_environment.objects.isDown)
                callback(std::nullopt, ObjectStoreError::Unavailable);
            else if (found == m_environment.objects.contents.end())
                callback(std::nullopt, ObjectStoreError::NotFound);
            else
                callback(found->second, std::nullopt);
        });
    }
    void store(ContentHash hash, std::string content, StoreCallback callback) override
    {
        runAfter(5ms, [this, hash, content, callback] {
            if (m_environment.objects.isDown)
                return callback(ObjectStoreError::Unavailable);
            m_environment.objects.contents[hash] = content;
            callback(std::nullopt);
        });
    }
    bool send(const HostId& peer, const PeerMessage& message) override
    {
        for (SimulatedDaemon* other : m_all) {
            if (other->m_host == peer)
                toPeer(*other, [from = m_host, message](SimulatedDaemon& to) { to.receive(from, message); });
        }
        return true;
    }
    std::optional<std::vector<SessionPeer>> sessionPeers() const override
    {
        if (!m_sessions)
            return std::nullopt;
        std::vector<SessionPeer> peers;
        if (m_environment.hidesPeers)
            return peers;
        for (const HostId& peer : *m_sessions) {
            const auto stopped = m_stopped.find(peer);
            peers.push_back({ peer, std::nullopt });
            if (stopped != m_stopped.end())
                peers.back().stopped = stopped->second;
        }
        return peers;
    }

private:
    std::string sessionKey() const { return "session/" + m_host.value(); }

    std::function<void()> later(std::function<void()> callback)
    {
        return [this, epoch = m_epoch, callback = std::move(callback)] { deliver(epoch, callback); };
    }
    RowsCallback laterRows(RowsCallback callback)
    {
        return [this, epoch = m_epoch, callback = std::move(callback)](
                   const std::vector<TableRow>& rows, std::optional<TableError> error) {
            deliver(epoch, [callback, rows, error] { callback(rows, error); });
        };
    }
    void deliver(uint64_t epoch, const std::function<void()>& callback)
    {
        if (epoch != m_epoch || !isRunning())
            return;
        if (m_isPaused)
            m_deferredCallbacks.push_back(callback);
        else
            callback();
    }
    void toPeer(SimulatedDaemon& peer, std::function<void(SimulatedDaemon&)> action)
    {
        m_environment.network.send(
            m_host, peer.m_host, [&peer, epoch = peer.m_epoch, action = std::move(action)] {
                peer.deliver(epoch, [&peer, action] { action(peer); });
            });
    }
    bool isCut(const HostId& peer) const
    {
        const auto pair = std::minmax(m_host, peer);
        return m_environment.cuts.count({ pair.first, pair.second }) != 0;
    }
    Heartbeat heartbeat()
    {
        Heartbeat message;
        message.seq = ++m_lastSeq;
        message.incarnation = m_incarnation;
        m_store->fillStatus(message);
        return message;
    }
    void heartbeatTick()
    {
        runAfter(1s, [this] { heartbeatTick(); });
        list("session/", [this](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            if (error)
                return;
            m_sessions.emplace();
            for (const TableRow& row : rows) {
                if (row.key != sessionKey())
                    m_sessions->push_back(HostId(row.key.substr(8)));
            }
        });
        sendHeartbeats();
    }
    void sendHeartbeats()
    {
        for (SimulatedDaemon* peer : m_all) {
            if (peer == this)
                continue;
            if (peer->isRunning() || isCut(peer->m_host))
                m_stopped.erase(peer->m_host);
            else
                m_stopped.emplace(peer->m_host, StoppedPeriod { now(), now() }).first->second.last = now();
            const Heartbeat message = heartbeat();
            m_sentHeartbeats[message.seq] = now();
            send(peer->m_host, message);
        }
    }
    void createSession()
    {
        read({ sessionKey() }, [this](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            const std::string writeId = m_host.value() + std::to_string(m_incarnation.value());
            if (!error && !rows.empty() && rows.front().writeId == writeId) {
                m_sessionVersion = rows.front().version;
                return;
            }
            const RowVersion version = rows.empty() ? RowVersion(0) : rows.front().version;
            if (!error)
                commit({ writeId, { { sessionKey(), version } }, { { sessionKey(), writeId } } },
                    [](std::optional<TableError>) {});
            runAfter(100ms, [this] { createSession(); });
        });
    }
    void receive(const HostId& from, const PeerMessage& message)
    {
        if (const auto* received = std::get_if<Heartbeat>(&message)) {
            m_store->onHeartbeat(from, *received);
            HeartbeatAck ack;
            ack.seq = received->seq;
            ack.incarnation = m_incarnation;
            ack.peerIncarnation = received->incarnation;
            m_store->fillStatus(ack);
            send(from, ack);
        } else if (const auto* ack = std::get_if<HeartbeatAck>(&message)) {
            const auto sent = m_sentHeartbeats.find(ack->seq);
            if (ack->peerIncarnation != m_incarnation || sent == m_sentHeartbeats.end())
                return;
            m_store->onHeartbeatAck(from, *ack, sent->second);
            m_lastAck = std::max(m_lastAck.value_or(sent->second), sent->second);
            m_sentHeartbeats.erase(sent);
        } else if (const auto* fetch = std::get_if<ConfigFetch>(&message)) {
            m_store->onConfigFetch(from, *fetch);
        } else if (const auto* data = std::get_if<ConfigData>(&message)) {
            m_store->onConfigData(from, *data);
        }
    }

    SimulatedEnvironment& m_environment;
    HostId m_host;
    std::vector<SimulatedDaemon*>& m_all;
    std::unique_ptr<TableService> m_client;
    Incarnation m_incarnation;
    std::unique_ptr<ConfigurationStore> m_store;
    std::unique_ptr<KeyRing> m_ring;
    Revision m_lastSeenRevision;
    uint64_t m_epoch = 0;
    bool m_isPaused = false;
    std::vector<std::function<void()>> m_deferredCallbacks;
    std::optional<RowVersion> m_sessionVersion;
    std::optional<std::vector<HostId>> m_sessions;
    std::map<HostId, StoppedPeriod> m_stopped;
    std::map<uint64_t, MonotonicTime> m_sentHeartbeats;
    uint64_t m_lastSeq = 0;
    std::optional<MonotonicTime> m_lastAck;
};

} // namespace lacewing::simulation
