#include "coordination/object_fetcher.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr size_t maximumPending = 32;
constexpr Duration answerTimeout = std::chrono::seconds(1);
constexpr Duration retryDelay = std::chrono::milliseconds(100);

} // namespace

ObjectFetcher::ObjectFetcher(Scheduler& scheduler, ObjectStore& store, PeerMessenger& messenger,
    ObjectCache& cache, std::function<void()> onComplete)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_messenger(messenger)
    , m_cache(cache)
    , m_onComplete(std::move(onComplete))
{
}

void ObjectFetcher::setTarget(const ContentHash& root)
{
    if (m_target == root)
        return;
    m_target = root;
    m_sources.clear();
    m_pending.clear();
    // Runs later so that the caller can add sources first.
    m_scheduler.runAfter(Duration::zero(), m_lifetime.guard([this] { advance(); }));
}

void ObjectFetcher::clearTarget()
{
    m_target.reset();
    m_sources.clear();
    m_pending.clear();
}

void ObjectFetcher::addSource(const HostId& peer)
{
    if (m_target && std::find(m_sources.begin(), m_sources.end(), peer) == m_sources.end())
        m_sources.push_back(peer);
}

void ObjectFetcher::onConfigData(const HostId& peer, const ConfigData& data)
{
    const auto found = m_pending.find(data.hash);
    if (found == m_pending.end())
        return;
    if (data.content.empty())
        scheduleRetry(data.hash, found->second.number);
    else
        addObject(data.hash, data.content);
}

void ObjectFetcher::advance()
{
    if (!m_target)
        return;
    const std::set<ContentHash> missing = m_cache.missing(*m_target);
    if (missing.empty()) {
        clearTarget();
        m_onComplete();
        return;
    }
    for (const ContentHash& hash : missing) {
        if (m_pending.size() >= maximumPending)
            return;
        if (m_pending.count(hash) == 0)
            request(hash);
    }
}

void ObjectFetcher::request(const ContentHash& hash)
{
    Attempt& attempt = m_pending[hash];
    attempt.number = ++m_lastNumber;
    // Alternates between peers that have the configuration and the store, so that an outage of either is
    // tolerated.
    const size_t turn = static_cast<size_t>(attempt.count++);
    const bool usePeer = !m_sources.empty() && turn % 2 == 0;
    if (usePeer)
        requestFromPeer(m_sources[(turn / 2) % m_sources.size()], hash, attempt.number);
    else
        requestFromStore(hash, attempt.number);
}

void ObjectFetcher::requestFromPeer(const HostId& peer, const ContentHash& hash, uint64_t number)
{
    const bool sent = m_messenger.send(peer, ConfigFetch { hash });
    m_scheduler.runAfter(sent ? answerTimeout : Duration::zero(),
        m_lifetime.guard([this, hash, number] { scheduleRetry(hash, number); }));
}

void ObjectFetcher::requestFromStore(const ContentHash& hash, uint64_t number)
{
    m_store.fetch(hash,
        m_lifetime.guard([this, hash, number](const std::optional<std::string>& content,
                             std::optional<ObjectStoreError> error) {
            if (!isPending(hash, number))
                return;
            if (content)
                addObject(hash, *content);
            else
                scheduleRetry(hash, number);
        }));
    m_scheduler.runAfter(
        answerTimeout, m_lifetime.guard([this, hash, number] { scheduleRetry(hash, number); }));
}

void ObjectFetcher::scheduleRetry(const ContentHash& hash, uint64_t number)
{
    if (!isPending(hash, number))
        return;
    // A new number invalidates later responses and timeouts of this attempt.
    const uint64_t waiting = ++m_lastNumber;
    m_pending[hash].number = waiting;
    m_scheduler.runAfter(retryDelay, m_lifetime.guard([this, hash, waiting] {
        if (isPending(hash, waiting))
            request(hash);
    }));
}

void ObjectFetcher::addObject(const ContentHash& hash, const std::string& content)
{
    const auto found = m_pending.find(hash);
    if (!m_cache.add(hash, content)) {
        scheduleRetry(hash, found->second.number);
        return;
    }
    m_pending.erase(found);
    // Finding the missing objects visits the whole tree, so it is not done after each object of a large one.
    if (m_pending.size() <= maximumPending / 2)
        advance();
}

bool ObjectFetcher::isPending(const ContentHash& hash, uint64_t number) const
{
    const auto found = m_pending.find(hash);
    return found != m_pending.end() && found->second.number == number;
}

} // namespace lacewing
