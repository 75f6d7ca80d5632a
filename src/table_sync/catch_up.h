#pragma once

#include "base/ids.h"
#include "base/lifetime.h"
#include "base/random.h"
#include "base/scheduler.h"

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace lacewing::table_sync {

/// @return a random delay, evenly distributed between two bounds.
inline Duration randomDelay(Random& random, Duration shortest, Duration longest)
{
    return shortest + std::chrono::duration_cast<Duration>(random.uniform() * (longest - shortest));
}

/// Delays between the news of a change and the request for it.
struct CatchUpDelays {
    /// Of a reader of the table, which usually gets the change from the store in this time.
    Duration reader;
    /// Bounds of the random delay of the other hosts, in which more and more peers get the change.
    Duration shortest;
    Duration longest;
};

/// Decides which peer a host asks for what it lacks, and when.
///
/// Load pattern: a change concerns all hosts at the same time, and no single peer may have to send it to all
/// of them. A host that learns of it waits for a delay, within which the change usually arrives by itself and
/// further peers receive it, and then asks one random peer of those that have the most. It asks no other one
/// before that peer has answered, is lost or has been silent for long: answers may be large and links slow,
/// and more requests would only slow them further.
///
/// @tparam Offer what a host has, as an ordered value.
template <typename Offer> class CatchUp {
public:
    struct Handlers {
        /// @return what this host has.
        std::function<Offer()> own;
        /// @return whether this host reads the table.
        std::function<bool()> isReader;
        std::function<void(const HostId& peer)> request;
    };

    /// @param scheduler, random must outlive this object.
    CatchUp(Scheduler& scheduler, Random& random, const CatchUpDelays& delays, Handlers handlers)
        : m_scheduler(scheduler)
        , m_random(random)
        , m_delays(delays)
        , m_handlers(std::move(handlers))
    {
    }

    /// A peer has told what it has.
    void offered(const HostId& peer, const Offer& offer)
    {
        if (isAwaitingAnswer())
            return;
        if (offer <= m_handlers.own() || offer < m_best)
            return;
        if (offer > m_best) {
            m_best = offer;
            m_sources.clear();
        }
        m_sources.push_back(peer);
        if (!std::exchange(m_isWaiting, true))
            m_scheduler.runAfter(delay(), m_lifetime.guard([this] { requestIfBehind(); }));
    }

    /// Rows have come from a peer.
    ///
    /// @return the time since this host asked the peer; nothing if the rows are no answer.
    std::optional<Duration> answered(const HostId& peer)
    {
        if (m_asked != peer)
            return std::nullopt;
        m_asked.reset();
        return m_scheduler.now() - m_askedAt;
    }

    /// The link to a peer has ended.
    void peerLost(const HostId& peer)
    {
        if (m_asked == peer)
            m_asked.reset();
    }

private:
    /// Time after which another peer is asked in place of one that hasn't answered.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(800);

    Duration delay()
    {
        return m_handlers.isReader() ? m_delays.reader
                                     : randomDelay(m_random, m_delays.shortest, m_delays.longest);
    }

    bool isAwaitingAnswer() const { return m_asked && m_scheduler.now() - m_askedAt < answerTimeout; }

    void requestIfBehind()
    {
        m_isWaiting = false;
        const auto sources = std::exchange(m_sources, {});
        const Offer best = std::exchange(m_best, {});
        if (sources.empty() || best <= m_handlers.own())
            return;
        m_asked = sources[m_random.below(sources.size())];
        m_askedAt = m_scheduler.now();
        m_handlers.request(*m_asked);
    }

    Scheduler& m_scheduler;
    Random& m_random;
    CatchUpDelays m_delays;
    Handlers m_handlers;
    bool m_isWaiting = false;
    /// The best offer of peers since the last request, and the peers that have made it.
    Offer m_best {};
    std::vector<HostId> m_sources;
    /// The peer that was asked last and has not answered.
    std::optional<HostId> m_asked;
    MonotonicTime m_askedAt;
    Lifetime m_lifetime;
};

} // namespace lacewing::table_sync
